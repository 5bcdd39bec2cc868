package runtable

import (
	"time"

	"github.com/lichenfall/lichenfall/wire"
)

// succeeded takes the end of the life in force where another is there. One that goes by
// the same ID takes orders that were meant for the life before. So a run that was ordered
// and not yet listed may run there: it is stopped there before its owner hears of its end,
// else its task could run twice at once.
func (t *Table) succeeded(now time.Time, life Incarnation, reason string) {
	t.lifeOverBut(now, reason, func(r *run) bool { return !r.listed && life.Instance == t.identity.Instance })
}

// giveUpLife takes the life in force to be over, since nothing listens any more. An order that is
// on its way may still meet the next life, where that goes by the same ID, also if a stop
// follows it or a copy of it was answered.
func (t *Table) giveUpLife(now time.Time, reason string) {
	onItsWay := func(r *run) bool { return r.started.IsZero() || r.unanswered && !r.listed }
	t.lifeOverBut(now, reason, func(r *run) bool { return onItsWay(r) && t.identity.Born != 0 })
}

// lifeOverBut ends all runs but those that the next life may have.
func (t *Table) lifeOverBut(now time.Time, reason string, mayHave func(r *run) bool) {
	inherited := t.takeInherited(now, reason, mayHave)
	t.lifeOver(now, reason)
	for ref, r := range inherited {
		t.runs[ref] = r
	}
}

// takeInherited takes the runs out of the table that the next life may have, each with the
// end that its owner is told if it does not.
func (t *Table) takeInherited(now time.Time, reason string, mayHave func(r *run) bool) map[wire.RunRef]*run {
	suspects := t.suspects()
	taken := make(map[wire.RunRef]*run)
	for _, ref := range t.refsWhere(mayHave) {
		r := t.runs[ref]
		if r.lost == nil {
			e := t.crashedEnd(now, r, suspects, reason)
			if t.leaving() {
				e = r.lostEnd(now, wire.EndLost, reason)
			}
			r.lost = &e
		}
		r.state = runInherited
		r.until = now.Add(time.Duration(float64(t.cfg.MaxBackendLease)*(1+t.cfg.Drift)) + lapseMargin)
		taken[ref] = r
		delete(t.runs, ref)
	}
	return taken
}

// inheritedAnswered takes the answer to the order of a run after the life that was meant is
// over: one that was refused, or met nobody, is with no later life, unless it has a copy.
func (t *Table) inheritedAnswered(now time.Time, r *run, result StartResult) {
	if r.unanswered || result == StartAccepted || result == StartUnknown {
		return
	}
	t.endLost(now, r)
	delete(t.runs, r.order.Ref)
}

// stopInherited stops, in the life in force, the runs that were ordered of the one before.
func (t *Table) stopInherited() {
	for _, ref := range t.refsWhere(func(r *run) bool { return r.state == runInherited }) {
		t.sendStop(t.runs[ref])
	}
}

// endInherited ends the runs that may have been carried out by a life that has not been
// heard of: the longest lease that it may have granted them is over.
func (t *Table) endInherited(now time.Time) {
	over := func(r *run) bool { return r.state == runInherited && now.After(r.until) }
	for _, ref := range t.refsWhere(over) {
		t.endLost(now, t.runs[ref])
		delete(t.runs, ref)
	}
}

// endLost tells the owner of the run how it was lost with an earlier life.
func (t *Table) endLost(now time.Time, r *run) {
	if wire.End(r.lost.How) == wire.EndCrashed {
		t.rememberCrashed(now, r.lease, *r.lost)
	}
	t.endRunWith(r, *r.lost)
}
