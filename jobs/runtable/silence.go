package runtable

import (
	"time"

	"github.com/lichenfall/lichenfall/wire"
)

// checkSilence updates whether the backend server is silent. A silent one gets no new runs, and
// its lease is not extended, so that its runs are known to be over as soon as possible.
func (t *Table) checkSilence(now time.Time) {
	unresponsive := now.Sub(t.clockAt) > t.cfg.SilentAfter || t.isRefusing()
	silent := t.hasIdentity && unresponsive && (t.synced || t.mayBeRunning())
	if silent == t.silent {
		return
	}
	t.silent = silent
	t.queueStatuses()
	if !silent {
		clear(t.silentRuns) // it has not crashed
		t.note(BackendAnswers, wire.RunRef{}, "")
		t.resendCalls(now)
		return
	}
	reason := reasonNoAnswer
	if t.isRefusing() {
		reason = reasonRefused
	}
	t.note(BackendSilent, wire.RunRef{}, reason)
}

// connectionRefused handles a refused connection to the backend server. A server may refuse
// connections for a while and still run tasks, so its runs end only with its lease or when
// another incarnation answers. If it runs nothing, or has announced its end, the incarnation is
// given up until the backend server reports again.
func (t *Table) connectionRefused(now time.Time) {
	t.refusedAt = now
	if len(t.runs) == 0 || t.noMoreReports {
		t.giveUpIncarnation(now, reasonRefused)
		return
	}
	t.checkSilence(now)
}

// isRefusing returns whether a connection was refused since the last answer.
func (t *Table) isRefusing() bool { return !t.refusedAt.IsZero() && !t.refusedAt.Before(t.clockAt) }

// mayBeRunning returns whether the incarnation in force may be running something.
func (t *Table) mayBeRunning() bool {
	for _, r := range t.runs {
		if r.state != runInherited {
			return true
		}
	}
	return false
}

// resendCalls resends the calls that had no answer during the silence. The first order of a run
// may still be in transit, so that the run may start even if the resent order is refused.
func (t *Table) resendCalls(now time.Time) {
	for _, ref := range t.sortedRefs() {
		switch r := t.runs[ref]; r.state {
		case runStarting:
			r.unanswered = true
			t.resendStart(now, r)
		case runStopping:
			t.sendStop(r)
		}
	}
}

// lapseSilent lets the lease of a silent backend server lapse once the lease of the last renewal
// is over for certain.
func (t *Table) lapseSilent(now time.Time) {
	if t.silent && !t.lapsing && len(t.runs) > 0 && now.After(t.leaseEnds) {
		t.lapse(now, reasonSilent)
	}
}
