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
	runStarting  runState = iota // ordered; not yet answered
	runRunning                   // the backend server has accepted it
	runStopping                  // a stop is on its way
	runVerifying                 // stopped; the next list shows whether it ran
	runInherited                 // ordered from an earlier incarnation; the next one may have received the order
)

// run is one run of a task at the backend server.
type run struct {
	order wire.RunOrder
	lease leaseKey // of the owner that ordered or adopted it
	// coOwners holds the leases of other coordinators that have ordered the same run of a
	// best-effort job. Each is sent its end, and the run is stopped when the first of the leases
	// expires.
	coOwners    []leaseKey
	state       runState
	firstSent   time.Time // when the first order was sent to the backend server
	started     time.Time // when the start was answered, or the run adopted
	startedSeq  uint64    // renewals with a greater Seq were requested after that
	overAt      time.Time // when a list first showed that it had ended, before its end was listed; zero before
	verifyAfter uint64    // only a renewal with a greater Seq shows what became of it
	// stopOnceStarted says that the run is to be stopped as soon as its start is answered.
	stopOnceStarted bool
	unanswered      bool     // an order had no answer and may still be carried out
	progress        progress // as of the lists
	endedBefore     uint64   // speed.Meter.Runs when it was started
	// cold says that the backend server was cold when the run started, so that the run's time is
	// no measure of the server's speed.
	cold      bool
	straggled bool // was stopped because it exceeded its limit
	// needUnknown says that an earlier process ordered the run and its owner has not reported
	// its need.
	needUnknown bool
	listed      bool // the incarnation in force has listed it as running
	// earlierEnd is how the run ended if the incarnation in force never received its order,
	// which was meant for an earlier incarnation of the same instance ID; nil otherwise.
	earlierEnd     *wire.RunEnd
	inheritedUntil time.Time // when a run in state runInherited is over for certain
}

// heldBy returns whether the run is held under the lease.
func (r *run) heldBy(key leaseKey) bool { return r.lease == key || slices.Contains(r.coOwners, key) }

// addOwner adds the owner of the lease to the run's owners. The earlier ones stay, since they
// would otherwise not be sent the run's end. If the second order were handed back instead, the
// task would run twice.
func (r *run) addOwner(key leaseKey) {
	switch {
	case r.heldBy(key):
	case r.lease.member == unclaimed:
		r.lease = key
	default:
		r.coOwners = append(r.coOwners, key)
	}
}

// over returns whether the run has ended, although its end is not listed yet.
func (r *run) over() bool { return !r.overAt.IsZero() }

// lasted returns for how long the run has been running, or did run if it has ended.
func (r *run) lasted(now time.Time) time.Duration {
	switch {
	case r.started.IsZero():
		return 0
	case r.over():
		return r.overAt.Sub(r.started)
	}
	return now.Sub(r.started)
}

// age returns how long the run has been running, in milliseconds.
func (r *run) age(now time.Time) int64 { return r.lasted(now).Milliseconds() }

// limit returns how long the run may take; 0 means without limit. A cold backend server has no
// limit, since the next run there would be as slow.
func (r *run) limit() time.Duration {
	if r.cold {
		return 0
	}
	return time.Duration(r.order.LimitMS) * time.Millisecond
}

// sortedRefs returns all runs in the order of their refs.
func (t *Table) sortedRefs() []wire.RunRef { return ordered.KeysFunc(t.runs, compareRefs) }

// refsWhere returns the runs for which wanted is true, in the order of their refs. Most calls
// find none, so only the result is sorted.
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

// used returns the resources that the runs take. A run of unknown need may be as large as the
// backend server, so all of its capacity counts as used while there is one. That lasts until the
// owner has reported the need (SetNeeds) or the run has ended: one that no owner claims is
// stopped after Settings.AdoptionTimeout, and one whose owner sends no heartbeats when the
// owner's lease expires. A smaller estimate would not be safe, since not every backend server
// enforces its capacity itself.
func (t *Table) used() durable.Resources {
	used := durable.Resources{}
	unknown := false
	for _, r := range t.runs {
		if r.over() {
			continue
		}
		unknown = unknown || r.needUnknown
		used = used.Add(r.order.Need)
	}
	if unknown {
		used = used.Max(t.identity.Capacity)
	}
	return used
}

// free returns the capacity that the runs leave; it may be negative.
func (t *Table) free() durable.Resources { return t.identity.Capacity.Sub(t.used()) }

// adopt takes over the runs that an earlier process of this worker started. The lease that the
// earlier process requested may last for up to a full lease from now.
func (t *Table) adopt(now time.Time, call RenewCall, running []ListedRun) {
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
			startedSeq:  call.Seq,
			listed:      true,
		}
		t.note(RunAdopted, l.Ref, "")
	}
}
