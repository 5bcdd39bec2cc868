package runtable

import (
	"time"

	"github.com/lichenfall/lichenfall/lib/ordered"
	"github.com/lichenfall/lichenfall/wire"
)

// crashedRunTTL is how long crashed runs of durable jobs are remembered for their owners, since
// the incarnation that listed them is gone. It is several times what a new owner of a partition
// takes to request its report.
const crashedRunTTL = 30 * time.Second

// crashedRun is a run that was lost with an incarnation of the backend server that has crashed,
// or may have crashed.
type crashedRun struct {
	lease  leaseKey
	report wire.RunEnd
	at     time.Time
}

// leaving returns whether the backend server has announced the end of the incarnation in force.
// An incarnation of which only the ID is known has announced nothing.
func (t *Table) leaving() bool { return t.identity.Service != "" && !t.identity.Ready }

// endCrashed ends all runs, since the process that ran them has crashed. One of them may have
// caused the crash. The ends therefore say which runs had started, and which one was the only
// run whose task had been in a crash before. If suspected is set, the backend server has only refused
// connections until its lease was over.
func (t *Table) endCrashed(now time.Time, reason string, suspected bool) {
	suspects := t.suspects()
	for _, ref := range t.sortedRefs() {
		r := t.runs[ref]
		delete(t.runs, ref)
		if r.earlierEnd != nil {
			t.reportEarlierEnd(now, r)
			continue
		}
		e := t.crashedEnd(now, r, suspects, reason)
		if suspected {
			t.suspectCrash(now, r.lease, &e)
		}
		t.rememberCrashed(now, r.lease, e)
		t.reportEnd(r, e)
	}
}

// suspectCrash makes the end of a run that of a suspected crash. The backend server may live on and
// accept connections later. Only the next answer shows which, so the crash is remembered until then.
func (t *Table) suspectCrash(now time.Time, lease leaseKey, e *wire.RunEnd) {
	t.silentRuns[e.Ref] = crashedRun{lease, *e, now}
	e.How = uint8(wire.EndSuspected)
}

// crashedEnd returns the end of a run that was lost in a crash; suspects is the number of
// suspects among all runs that were lost.
func (t *Table) crashedEnd(now time.Time, r *run, suspects int, reason string) wire.RunEnd {
	e := r.unlistedEnd(now, wire.EndCrashed, reason)
	e.Instance = t.identity.Incarnation().String()
	e.Begun = !r.started.IsZero()
	e.Alone = r.suspect() && suspects == 1
	return e
}

// suspects returns how many of the runs are suspects.
func (t *Table) suspects() int {
	n := 0
	for _, r := range t.runs {
		if r.suspect() {
			n++
		}
	}
	return n
}

// suspect returns whether the run goes on and its task has been in a crash of a backend server
// before. That is not known of a run that an earlier process ordered, which therefore counts too.
func (r *run) suspect() bool { return !r.over() && (r.order.Crashes > 0 || r.needUnknown) }

// rememberCrashed keeps the end for owners that cannot be reached now.
func (t *Table) rememberCrashed(now time.Time, lease leaseKey, e wire.RunEnd) {
	if lease.member != "" {
		t.recentEnds[e.Ref] = recentEnd{e, now}
		return
	}
	t.crashedRuns[e.Ref] = crashedRun{lease, e, now}
}

// endSilent ends all runs at a backend server that was silent until its lease was over. It may
// have crashed together with its box, and then announces nothing. Only the next incarnation at
// the address shows that, so the runs are remembered until then.
func (t *Table) endSilent(now time.Time) {
	t.endUnlisted(now)
	suspects := t.suspects()
	for _, ref := range t.sortedRefs() {
		r := t.runs[ref]
		t.silentRuns[ref] = crashedRun{r.lease, t.crashedEnd(now, r, suspects, reasonSilent), now}
		e := r.unlistedEnd(now, wire.EndLapsed, string(LeaseLapsed))
		e.Instance = t.identity.Incarnation().String()
		t.reportEnd(r, e)
		delete(t.runs, ref)
	}
}

// reportSilentCrashes reports to the owners of runs that lapsed while the backend server was silent or
// refused connections that it was a crash: the incarnation is over and had not announced its end.
func (t *Table) reportSilentCrashes(now time.Time) {
	for _, ref := range ordered.KeysFunc(t.silentRuns, compareRefs) {
		c := t.silentRuns[ref]
		t.rememberCrashed(now, c.lease, c.report)
		t.reportEndUnder(c.lease, c.report)
	}
	clear(t.silentRuns)
}

// crashedUnder returns the crashed runs under the lease that the owner has not stored.
func (t *Table) crashedUnder(key leaseKey) []wire.RunEnd {
	var out []wire.RunEnd
	for _, ref := range ordered.KeysFunc(t.crashedRuns, compareRefs) {
		if c := t.crashedRuns[ref]; c.lease == key {
			out = append(out, c.report)
		}
	}
	return out
}

// dropOldCrashed drops the crashed runs that are older than crashedRunTTL.
func (t *Table) dropOldCrashed(now time.Time) {
	for _, runs := range []map[wire.RunRef]crashedRun{t.crashedRuns, t.silentRuns} {
		for ref, c := range runs {
			if now.Sub(c.at) > crashedRunTTL {
				delete(runs, ref)
			}
		}
	}
}
