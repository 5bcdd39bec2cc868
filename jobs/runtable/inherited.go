package runtable

import (
	"slices"
	"time"

	"github.com/lichenfall/lichenfall/wire"
)

// replacedBy ends the incarnation in force because another one has replaced it. One with the
// same instance ID accepts orders that were meant for the previous one. A run that was ordered
// and not yet listed may therefore be running there. It is stopped there before its owner is
// sent its end; otherwise its task could run twice at once.
func (t *Table) replacedBy(now time.Time, next Incarnation, reason string) {
	t.endIncarnationExcept(now, reason, func(r *run) bool { return !r.listed && next.Instance == t.identity.Instance })
}

// giveUpIncarnation ends the incarnation in force because connections are refused. An order that
// is still in transit may reach the next incarnation if that has the same instance ID, even if
// the order was followed by a stop, or if a duplicate of it was answered.
func (t *Table) giveUpIncarnation(now time.Time, reason string) {
	inTransit := func(r *run) bool { return r.started.IsZero() || r.unanswered && !r.listed }
	t.endIncarnationExcept(now, reason, func(r *run) bool { return inTransit(r) && t.identity.Born != 0 })
}

// endIncarnationExcept ends all runs except those that the next incarnation may have.
func (t *Table) endIncarnationExcept(now time.Time, reason string, mayHave func(r *run) bool) {
	t.endUnlisted(now)
	inherited := t.takeInherited(now, reason, mayHave)
	t.endIncarnation(now, reason)
	for ref, r := range inherited {
		t.runs[ref] = r
	}
}

// takeInherited removes the runs from the table that the next incarnation may have. Each keeps
// the end that its owner is sent if the next incarnation does not have it.
func (t *Table) takeInherited(now time.Time, reason string, mayHave func(r *run) bool) map[wire.RunRef]*run {
	suspects := t.suspects()
	taken := make(map[wire.RunRef]*run)
	for _, ref := range t.refsWhere(mayHave) {
		r := t.runs[ref]
		if r.earlierEnd == nil {
			e := t.crashedEnd(now, r, suspects, reason)
			if t.leaving() {
				e = r.unlistedEnd(now, wire.EndLost, reason)
			}
			r.earlierEnd = &e
		}
		r.state = runInherited
		r.inheritedUntil = now.Add(time.Duration(float64(t.cfg.MaxBackendLease)*(1+t.cfg.Drift)) + lapseMargin)
		taken[ref] = r
		delete(t.runs, ref)
	}
	return taken
}

// inheritedAnswered handles the answer to an order whose incarnation is over. An order that was
// refused, or could not be sent, has reached no later incarnation, unless an earlier order for
// the run had no answer.
func (t *Table) inheritedAnswered(now time.Time, r *run, result StartResult) {
	if r.unanswered || result == StartAccepted || result == StartUnknown {
		return
	}
	t.reportEarlierEnd(now, r)
	delete(t.runs, r.order.Ref)
}

// stopInherited stops, in the incarnation in force, the runs that were ordered from the previous
// one.
func (t *Table) stopInherited() {
	for _, ref := range t.refsWhere(func(r *run) bool { return r.state == runInherited }) {
		t.sendStop(t.runs[ref])
	}
}

// endInherited ends inherited runs when the longest lease that an unknown incarnation may have
// granted them is over.
func (t *Table) endInherited(now time.Time) {
	over := func(r *run) bool { return r.state == runInherited && now.After(r.inheritedUntil) }
	for _, ref := range t.refsWhere(over) {
		t.reportEarlierEnd(now, t.runs[ref])
		delete(t.runs, ref)
	}
}

// reportEarlierEnd reports to the run's owners how it was lost with an earlier incarnation.
func (t *Table) reportEarlierEnd(now time.Time, r *run) {
	e := *r.earlierEnd
	if wire.End(e.How) == wire.EndCrashed {
		t.verifyCrash(now, r.lease, &e)
	}
	t.reportEnd(r, e)
}

// verifyCrash corrects the end of a run that was lost with an incarnation which refused connections: it
// is in force again, or it is not known yet whether it has crashed.
func (t *Table) verifyCrash(now time.Time, lease leaseKey, e *wire.RunEnd) {
	over := func(i Incarnation) bool { return i.String() == e.Instance }
	switch {
	case t.hasIdentity && over(t.identity.Incarnation()):
		e.How, e.Instance = uint8(wire.EndLapsed), ""
		return
	case !slices.ContainsFunc(t.superseded, over):
		t.suspectCrash(now, lease, e)
	}
	t.rememberCrashed(now, lease, *e)
}
