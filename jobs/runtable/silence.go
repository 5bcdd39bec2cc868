package runtable

import (
	"time"

	"github.com/lichenfall/lichenfall/wire"
)

// checkSilence notes whether the backend server answers. While it does not, it
// gets no new runs, and its lease is not renewed any further, so that what it runs is
// known to be dead as soon as can be.
func (t *Table) checkSilence(now time.Time) {
	unheard := now.Sub(t.clockAt) > t.cfg.SilentAfter || t.isRefusing()
	silent := t.hasIdentity && unheard && (t.synced || t.mayBeRunning())
	if silent == t.silent {
		return
	}
	t.silent = silent
	t.queueStatuses()
	if !silent {
		clear(t.silentRuns) // it lives
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

// connectionRefused takes that no connection could be made to the backend server. It may refuse for a
// while and run on, so what is there ends with its lease, or when another life answers. Where
// nothing is there, or the life has said that it ends, it is given up until it is heard of again.
func (t *Table) connectionRefused(now time.Time) {
	t.refusedAt = now
	if len(t.runs) == 0 || t.reportNumber == noMoreReports {
		t.giveUpIncarnation(now, reasonRefused)
		return
	}
	t.checkSilence(now)
}

// isRefusing returns whether a connection was refused since the last answer.
func (t *Table) isRefusing() bool { return !t.refusedAt.IsZero() && !t.refusedAt.Before(t.clockAt) }

// mayBeRunning returns whether the life in force may run something.
func (t *Table) mayBeRunning() bool {
	for _, r := range t.runs {
		if r.state != runInherited {
			return true
		}
	}
	return false
}

// resendCalls makes the calls again that had no answer in the silence. The first copy of an
// order may be on its way yet, so the refusal of one says nothing of the other.
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

// lapseSilent lets the lease of a silent backend server lapse once the last
// renewal is over for certain.
func (t *Table) lapseSilent(now time.Time) {
	if t.silent && !t.lapsing && len(t.runs) > 0 && now.After(t.leaseEnds) {
		t.lapse(now, reasonSilent)
	}
}
