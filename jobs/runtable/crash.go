package runtable

import (
	"time"

	"github.com/lichenfall/lichenfall/lib/ordered"
	"github.com/lichenfall/lichenfall/wire"
)

// keepCrashed is how long the crashed runs of kept jobs are remembered for their owners: the
// backend server that listed them is gone. Some times what a new owner of a partition takes to
// ask.
const keepCrashed = 30 * time.Second

// crashedRun is a run that was lost with a life of the backend server that has crashed, or
// may have.
type crashedRun struct {
	lease  leaseKey
	report wire.RunEnd
	at     time.Time
}

// leaving returns whether the backend server has said that this life ends. A life of which
// only the name is known has said nothing.
func (t *Table) leaving() bool { return t.identity.Service != "" && !t.identity.Ready }

// endCrashed ends all runs: the process that ran them has crashed. One of them may have
// been the cause, so their owners are told which were at work, and which of them was the
// only one with crashes before.
func (t *Table) endCrashed(now time.Time, reason string) {
	suspects := t.suspects()
	for _, ref := range t.refs() {
		r := t.runs[ref]
		delete(t.runs, ref)
		if r.lost != nil {
			t.endLost(now, r)
			continue
		}
		e := t.crashedEnd(now, r, suspects, reason)
		t.rememberCrashed(now, r.lease, e)
		t.endRunWith(r, e)
	}
}

// crashedEnd describes the end of a run that was lost with a crashed life, where so many
// runs were suspects.
func (t *Table) crashedEnd(now time.Time, r *run, suspects int, reason string) wire.RunEnd {
	e := r.lostEnd(now, wire.EndCrashed, reason)
	e.Instance = t.identity.Incarnation().String()
	e.Begun = !r.started.IsZero()
	e.Alone = r.suspect() && suspects == 1
	return e
}

// suspects returns how many of the runs here are suspects.
func (t *Table) suspects() int {
	n := 0
	for _, r := range t.runs {
		if r.suspect() {
			n++
		}
	}
	return n
}

// suspect returns whether backend servers have crashed under the run's task, or may have:
// of a run that an earlier process ordered that is not known.
func (r *run) suspect() bool { return r.order.Crashes > 0 || r.needUnknown }

// rememberCrashed keeps the end for an owner that cannot be told now.
func (t *Table) rememberCrashed(now time.Time, lease leaseKey, e wire.RunEnd) {
	if lease.member != "" {
		t.recent[e.Ref] = recentEnd{e, now}
		return
	}
	t.crashed[e.Ref] = crashedRun{lease, e, now}
}

// endSilent ends all runs at a backend server that has been silent until its lease was
// over. It may have crashed with its box, which then says nothing: the next life at the
// address tells, so the runs are remembered until then.
func (t *Table) endSilent(now time.Time) {
	suspects := t.suspects()
	for _, ref := range t.refs() {
		r := t.runs[ref]
		t.silenced[ref] = crashedRun{r.lease, t.crashedEnd(now, r, suspects, reasonSilent), now}
		e := r.lostEnd(now, wire.EndLapsed, string(LeaseLapsed))
		e.Instance = t.identity.Incarnation().String()
		t.endRunWith(r, e)
		delete(t.runs, ref)
	}
}

// silentCrashed tells the owners of the runs that lapsed in a silence that it was a crash:
// the life is over, and had not said so.
func (t *Table) silentCrashed(now time.Time) {
	for _, ref := range ordered.KeysFunc(t.silenced, compareRefs) {
		c := t.silenced[ref]
		t.rememberCrashed(now, c.lease, c.report)
		t.endUnder(c.lease, c.report)
	}
	clear(t.silenced)
}

// crashedOf returns the crashed runs under the lease that their owner has not kept.
func (t *Table) crashedOf(key leaseKey) []wire.RunEnd {
	var out []wire.RunEnd
	for _, ref := range ordered.KeysFunc(t.crashed, compareRefs) {
		if c := t.crashed[ref]; c.lease == key {
			out = append(out, c.report)
		}
	}
	return out
}

// forgetCrashed forgets the crashed runs that no owner has asked about for long.
func (t *Table) forgetCrashed(now time.Time) {
	for _, runs := range []map[wire.RunRef]crashedRun{t.crashed, t.silenced} {
		for ref, c := range runs {
			if now.Sub(c.at) > keepCrashed {
				delete(runs, ref)
			}
		}
	}
}
