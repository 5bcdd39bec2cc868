package runtable

import (
	"time"

	"github.com/lichenfall/lichenfall/lib/ordered"
	"github.com/lichenfall/lichenfall/wire"
)

// keepCrashed is how long the crashed runs of kept jobs are remembered for their owners: the
// backend server that listed them is gone. Chosen, not measured: some times what a new
// owner of a partition takes to ask.
const keepCrashed = 30 * time.Second

// crashedRun is a run of a kept job that was lost with a crashed life of the backend server.
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
	suspects := 0
	for _, r := range t.runs {
		if r.suspect() {
			suspects++
		}
	}
	for _, ref := range t.refs() {
		r := t.runs[ref]
		e := r.lostEnd(now, wire.EndCrashed, reason)
		e.Instance = t.identity.Instance
		e.Begun = !r.started.IsZero()
		e.Alone = r.suspect() && suspects == 1
		t.rememberCrashed(now, r, e)
		t.endRunWith(r, e)
		delete(t.runs, ref)
	}
}

// suspect returns whether backend servers have crashed under the run's task, or may have:
// of a run that an earlier process ordered that is not known.
func (r *run) suspect() bool { return r.order.Crashes > 0 || r.needUnknown }

// rememberCrashed keeps the end for an owner that cannot be told now.
func (t *Table) rememberCrashed(now time.Time, r *run, e wire.RunEnd) {
	if r.lease.member != "" {
		t.recent[e.Ref] = recentEnd{e, now}
		return
	}
	t.crashed[e.Ref] = crashedRun{r.lease, e, now}
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
	for ref, c := range t.crashed {
		if now.Sub(c.at) > keepCrashed {
			delete(t.crashed, ref)
		}
	}
}
