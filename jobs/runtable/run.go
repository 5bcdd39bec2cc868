package runtable

import (
	"cmp"
	"slices"
	"time"

	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/lib/ordered"
	"github.com/lichenfall/lichenfall/wire"
)

type runState uint8

const (
	runStarting  runState = iota // ordered; no answer yet
	runRunning                   // the backend server has it
	runStopping                  // a stop is on its way
	runVerifying                 // stopped; the next list tells whether it ran
	runInherited                 // ordered of a life that is over; the next one may have it
)

// run is one run of a task here.
type run struct {
	order wire.RunOrder
	lease leaseKey // of the owner under whose lease it runs
	// coOwners holds the leases of other coordinators that have ordered the same run of a
	// best-effort job: each is told of its end, and it ends with the first of the leases.
	coOwners        []leaseKey
	state           runState
	firstSent       time.Time // to the backend server
	started         time.Time // when the start was answered, or the run adopted
	verifyAfter     uint64    // a renewal later than this one decides what became of it
	stopOnceStarted bool      // stop as soon as the start is answered
	unanswered      bool      // an order had no answer: it may be carried out late
	progress        progress  // what lists have said of it
	endedBefore     uint64    // how many runs had ended here when it was started (speed.Meter.Runs)
	cold            bool      // began while the backend server was cold: that it is slow says nothing
	straggled       bool      // was stopped since it was over its limit
	needUnknown     bool      // was ordered by an earlier process, and its owner has not told its need
	listed          bool      // the life in force has called it running
	// earlierEnd is how it ended if the life in force never had it: it was ordered of an earlier
	// life of the same ID. nil otherwise.
	earlierEnd     *wire.RunEnd
	inheritedUntil time.Time // when a runInherited has ended for certain
}

// ownedUnder returns whether the run is the owner's whose lease it is.
func (r *run) ownedUnder(key leaseKey) bool {
	return r.lease == key || slices.Contains(r.coOwners, key)
}

// addOwner makes the run also that of the owner whose lease it is. If it were taken from the one
// before, that one would hear no more of it; if it were handed back, its task would run twice.
func (r *run) addOwner(key leaseKey) {
	switch {
	case r.ownedUnder(key):
	case r.lease.member == unclaimed:
		r.lease = key
	default:
		r.coOwners = append(r.coOwners, key)
	}
}

// age returns how long the run has been running, in milliseconds.
func (r *run) age(now time.Time) int64 {
	if r.started.IsZero() {
		return 0
	}
	return now.Sub(r.started).Milliseconds()
}

// limit returns how long the run may run; 0 when it has no limit. At a cold backend server
// there is none: it would be slow for the next run too.
func (r *run) limit() time.Duration {
	if r.cold {
		return 0
	}
	return time.Duration(r.order.LimitMS) * time.Millisecond
}

// sortedRefs returns the runs here, in their order.
func (t *Table) sortedRefs() []wire.RunRef { return ordered.KeysFunc(t.runs, compareRefs) }

// refsWhere returns the runs here that are wanted, in their order. Most looks at the
// runs want none: this one sorts only what it returns.
func (t *Table) refsWhere(wanted func(r *run) bool) []wire.RunRef {
	var refs []wire.RunRef
	for ref, r := range t.runs {
		if wanted(r) {
			refs = append(refs, ref)
		}
	}
	slices.SortFunc(refs, compareRefs)
	return refs
}

func compareRefs(a, b wire.RunRef) int {
	return cmp.Or(cmp.Compare(a.Task.Job, b.Task.Job), cmp.Compare(a.Task.Step, b.Task.Step),
		cmp.Compare(a.Task.Index, b.Task.Index), cmp.Compare(a.Run, b.Run))
}

// used returns what the runs here take. A run of unknown need may be as large as the
// backend server, so while there is one, all of it counts as taken. That lasts until
// the run's owner has told its need (Needs), or the run has ended: one that no owner
// asks about is stopped after Settings.FirstLease, and one whose owner falls silent
// when the owner's lease is over. Any smaller guess would be no bound, and not every
// backend server guards its capacity itself.
func (t *Table) used() durable.Resources {
	used := durable.Resources{}
	unknown := false
	for _, r := range t.runs {
		unknown = unknown || r.needUnknown
		used = used.Add(r.order.Need)
	}
	if unknown {
		used = used.Max(t.identity.Capacity)
	}
	return used
}

// free returns what the runs here leave; it may be negative.
func (t *Table) free() durable.Resources { return t.identity.Capacity.Sub(t.used()) }

// adopt takes over what an earlier process here started. What that one asked for may last for
// a lease from now.
func (t *Table) adopt(now time.Time, running []ListedRun) {
	t.leaseEnds = latest(t.leaseEnds, now.Add(t.withDrift(t.cfg.BackendLease)))
	for _, l := range running {
		if t.runs[l.Ref] != nil {
			continue
		}
		key := t.leaseOfListed(l.Ref)
		if key.member == unclaimed {
			t.awaitClaim(now, key)
		}
		t.runs[l.Ref] = &run{
			order:       wire.RunOrder{Ref: l.Ref},
			needUnknown: true,
			lease:       key,
			state:       runRunning,
			started:     now,
			listed:      true,
		}
		t.note(RunAdopted, l.Ref, "")
	}
}
