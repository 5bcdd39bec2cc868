package runtable_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/jobs/runtable"
	"github.com/lichenfall/lichenfall/wire"
)

// TestAdoptedRunsTakeCapacity starts a worker beside a backend server that already runs what an
// earlier process ordered. The new process learns of the runs before it learns the capacity. It
// must still not advertise what they take as free, since a backend server need not enforce its
// capacity.
func TestAdoptedRunsTakeCapacity(t *testing.T) {
	now := time.Unix(1000, 0)
	table := runtable.New(newFixture().cfg.Core("dc"), now)
	table.Identify(now, runtable.Identity{Instance: identity.Instance})
	found := runtable.ListedRun{Ref: wire.RunRef{Task: durable.TaskID{Job: job}, Run: 1}}
	for range 2 { // the first answer only returns the clock, from which the fencing token is derived
		call, ok := table.NextRenewal(now)
		if !ok {
			t.Fatal("the lease may not be renewed")
		}
		table.RenewAnswered(now, call, runtable.RenewAnswer{Result: runtable.RenewOK, Clock: time.Minute, Running: []runtable.ListedRun{found}})
	}
	table.Identify(now, identity)
	table.OwnerUp(now, owner, member)
	for _, s := range table.Take(now).Sends {
		if m, ok := s.Message.(*wire.WorkerStatus); ok && m.Free.CPU >= identity.Capacity.CPU {
			t.Fatalf("a run was adopted, but all of the capacity is advertised as free: %d of %d", m.Free.CPU, identity.Capacity.CPU)
		}
	}
}

// TestAdoptedRunsOfUnknownNeed starts a worker beside a backend server that runs one task, and
// orders tasks that fit beside a small run but not beside one that takes nearly all of the
// capacity. Nothing may start until the owner has reported what the run needs, and then only
// what fits.
func TestAdoptedRunsOfUnknownNeed(t *testing.T) {
	for _, test := range []struct {
		name         string
		run          uint32
		reportedNeed int64 // need of the run as the owner reports it, in thousandths of a core
		starts       int   // tasks of 1,500 that may start beside it
	}{
		{"kept, large", 1, 3500, 0},
		{"kept, small", 1, 1000, 2},
		{"best-effort, large", wire.BestEffortRun + 1, 3500, 0},
		{"best-effort, small", wire.BestEffortRun + 1, 1000, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture()
			f.table.Identify(f.now, identity)
			found := []runtable.ListedRun{{Ref: ref(9, test.run)}}
			f.now = f.now.Add(time.Millisecond)
			for range 2 { // the first answer only returns the clock, from which the fencing token is derived
				call, _ := f.table.NextRenewal(f.now)
				f.table.RenewAnswered(f.now, call, runtable.RenewAnswer{Result: runtable.RenewOK, Clock: f.clock(), Running: found})
			}
			f.table.OwnerUp(f.now, owner, member)
			f.heartbeat(7)
			f.table.QueryRuns(f.now, owner, &wire.RunsQuery{Runs: []wire.RunRef{found[0].Ref}})
			f.take()
			f.order(7, ref(0, test.run))
			if n := len(f.take().Starts); n != 0 {
				t.Fatalf("%d tasks were started beside a run of unknown need", n)
			}
			f.table.SetNeeds(f.now, owner, &wire.RunNeeds{Runs: []wire.RunNeed{{Ref: found[0].Ref, Need: durable.Resources{CPU: test.reportedNeed}}}})
			f.order(7, ref(1, test.run), ref(2, test.run), ref(3, test.run))
			if n := len(f.take().Starts); n != test.starts {
				t.Fatalf("%d tasks were started beside a run that takes %d, want %d", n, test.reportedNeed, test.starts)
			}
		})
	}
}

// TestUnclaimedRunsAreStopped starts a worker beside a run that no coordinator queries. The
// run is stopped, and its capacity is used again once its end is listed.
func TestUnclaimedRunsAreStopped(t *testing.T) {
	RegisterTestingT(t)
	f := newFixture()
	f.table.Identify(f.now, identity)
	found := runtable.ListedRun{Ref: ref(9, wire.BestEffortRun+1)}
	for range 2 {
		call, _ := f.table.NextRenewal(f.now)
		f.table.RenewAnswered(f.now, call, runtable.RenewAnswer{Result: runtable.RenewOK, Clock: f.clock(), Running: []runtable.ListedRun{found}})
	}
	f.table.OwnerUp(f.now, owner, member)
	f.heartbeat(7)
	f.advance(f.cfg.AdoptionTimeout.D() + time.Millisecond)
	if n := len(f.take().Stops); n != 1 {
		t.Fatalf("%d runs were stopped, want the unclaimed one", n)
	}
	f.order(7, ref(0, 1))
	if n := len(f.take().Starts); n != 0 {
		t.Fatal("a task was started beside a run that is being stopped")
	}
	f.renewLease(nil, runtable.ListedEnd{Number: 1, Ref: found.Ref, Valid: true, How: wire.EndStopped})
	f.order(7, ref(1, 1))
	if n := len(f.take().Starts); n != 1 {
		t.Fatal("a task was not started although the run had ended")
	}
}

// TestAdoptedRunsAreNotRenewedBeforeTheyAreClaimed guards against tasks that run twice at once: a
// worker that restarted while it was cut off kept what it found running, beyond the time at which the
// owner wrote the runs off.
func TestAdoptedRunsAreNotRenewedBeforeTheyAreClaimed(t *testing.T) {
	for _, test := range []struct {
		name    string
		running []runtable.ListedRun
		ended   []runtable.ListedEnd
	}{
		{"a kept run", []runtable.ListedRun{{Ref: ref(9, 1)}}, nil},
		{"a best-effort run", []runtable.ListedRun{{Ref: ref(9, wire.BestEffortRun+1)}}, nil},
		{"the end of a kept run", nil, []runtable.ListedEnd{doneEnd(1, ref(9, 1))}},
	} {
		t.Run(test.name, func(t *testing.T) {
			RegisterTestingT(t)
			f := newFixture()
			f.table.Identify(f.now, identity)
			f.renewLease(nil)
			f.renewLease(test.running, test.ended...)
			if call := f.renewLease(test.running, test.ended...); call.Deadline != 0 {
				t.Fatalf("the lease is extended to %v before an owner has claimed it", call.Deadline)
			}
			f.table.OwnerUp(f.now, owner, member)
			f.advance(50 * time.Millisecond)
			f.heartbeat(7)
			f.table.QueryRuns(f.now, owner, &wire.RunsQuery{Runs: []wire.RunRef{ref(9, wire.BestEffortRun+1)}})
			if call := f.renewLease(test.running, test.ended...); call.Deadline <= f.clock() {
				t.Fatalf("the lease is not extended after the owner has claimed it: %v", call.Deadline)
			}
		})
	}
}

// TestHiddenEndsAreNotRenewedBeforeAllOwnersAreHeard guards against done tasks that start again: ends
// that no list has shown yet may be of any partition, also of one whose owner has written them off.
func TestHiddenEndsAreNotRenewedBeforeAllOwnersAreHeard(t *testing.T) {
	RegisterTestingT(t)
	f := newFixture()
	f.table.Identify(f.now, identity)
	f.renewLease(nil)
	f.renewCut(nil, doneEnd(1, ref(9, 1)))
	f.table.OwnerUp(f.now, owner, member)
	f.advance(50 * time.Millisecond)
	f.heartbeat(7)
	if call := f.renewLease(nil, doneEnd(1, ref(9, 1))); call.Deadline != 0 {
		t.Fatalf("the lease is extended to %v while other owners are not heard", call.Deadline)
	}
	if call := f.renewLease(nil, doneEnd(1, ref(9, 1))); call.Deadline <= f.clock() {
		t.Fatal("the lease is not extended after a whole list")
	}
}
