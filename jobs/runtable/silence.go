package runtable

import (
	"time"

	"github.com/lichenfall/lichenfall/wire"
)

// checkSilence notes whether the backend server answers. While it does not, it
// gets no new runs, and its lease is not renewed any further, so that what it runs is
// known to be dead as soon as can be.
func (t *Table) checkSilence(now time.Time) {
	unheard := now.Sub(t.clockAt) > t.cfg.SilentAfter || t.refuses()
	silent := t.known && unheard && (t.synced || t.atWork())
	if silent == t.silent {
		return
	}
	t.silent = silent
	t.touchOwners()
	if !silent {
		clear(t.silenced) // it lives
		t.note(BackendAnswers, wire.RunRef{}, "")
		t.repeatCalls(now)
		return
	}
	reason := reasonNoAnswer
	if t.refuses() {
		reason = reasonRefused
	}
	t.note(BackendSilent, wire.RunRef{}, reason)
}

// refused takes that no connection could be made to the backend server. It may refuse for a
// while and run on, so what is there ends with its lease, or when another life answers. Where
// nothing is there, or the life has said that it ends, it is given up until it is heard of again.
func (t *Table) refused(now time.Time) {
	t.refusedAt = now
	if len(t.runs) == 0 || t.reportNumber == lastReport {
		t.giveUpLife(now, reasonRefused)
		return
	}
	t.checkSilence(now)
}

// refuses returns whether a connection was refused since the last answer.
func (t *Table) refuses() bool { return !t.refusedAt.IsZero() && !t.refusedAt.Before(t.clockAt) }

// atWork returns whether the life in force may run something.
func (t *Table) atWork() bool {
	for _, r := range t.runs {
		if r.state != runInherited {
			return true
		}
	}
	return false
}

// repeatCalls makes the calls again that had no answer in the silence. The first copy of an
// order may be on its way yet, so the refusal of one says nothing of the other.
func (t *Table) repeatCalls(now time.Time) {
	for _, ref := range t.refs() {
		switch r := t.runs[ref]; r.state {
		case runStarting:
			r.unanswered = true
			t.repeatStart(now, r)
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
