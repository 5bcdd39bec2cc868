package runtable_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/jobs/runtable"
	"github.com/lichenfall/lichenfall/wire"
)

// TestAdoptedRunsTakeRoom starts a worker beside a backend server that already
// runs what an earlier process ordered. The new process hears of the runs before
// the backend server has told its capacity, and still must not order that room
// out again: a backend server need not guard its capacity itself.
func TestAdoptedRunsTakeRoom(t *testing.T) {
	now := time.Unix(1000, 0)
	table := runtable.New(newFixture().cfg.Core("dc"), now)
	table.Identify(now, runtable.Identity{Instance: identity.Instance})
	found := runtable.ListedRun{Ref: wire.RunRef{Task: durable.TaskID{Job: job}, Run: 1}}
	for range 2 { // the first answer tells the clock that the fencing token is taken from
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
			t.Fatalf("a run was adopted, and yet all of the capacity is told as free: %d of %d", m.Free.CPU, identity.Capacity.CPU)
		}
	}
}

// TestAdoptedRunsOfUnknownNeed starts a worker beside a backend server that runs a
// task which takes nearly all of it, and orders a task that fits beside a small run
// but not beside that one. Nothing may start until the owner has told what the run
// takes, and then only what fits.
func TestAdoptedRunsOfUnknownNeed(t *testing.T) {
	for _, test := range []struct {
		name   string
		run    uint32
		told   int64 // thousandths of a core that the owner says the run takes
		starts int   // tasks of 1,500 that may start beside it
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
			for range 2 { // the first answer tells the clock that the fencing token is taken from
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
			f.table.SetNeeds(f.now, owner, &wire.RunNeeds{Runs: []wire.RunNeed{{Ref: found[0].Ref, Need: durable.Resources{CPU: test.told}}}})
			f.order(7, ref(1, test.run), ref(2, test.run), ref(3, test.run))
			if n := len(f.take().Starts); n != test.starts {
				t.Fatalf("%d tasks were started beside a run that takes %d, not %d", n, test.told, test.starts)
			}
		})
	}
}

// TestUnclaimedRunsFreeTheServer starts a worker beside a run that no coordinator
// asks about: it is stopped, and the room is ordered out once its end is listed.
func TestUnclaimedRunsFreeTheServer(t *testing.T) {
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
	f.pass(f.cfg.AdoptionTimeout.D() + time.Millisecond)
	if n := len(f.take().Stops); n != 1 {
		t.Fatalf("%d runs were stopped, not the one that nobody asks about", n)
	}
	f.order(7, ref(0, 1))
	if n := len(f.take().Starts); n != 0 {
		t.Fatal("a task was started beside a run that is being stopped")
	}
	f.hold(nil, runtable.ListedEnd{Number: 1, Ref: found.Ref, Valid: true, How: wire.EndStopped})
	f.order(7, ref(1, 1))
	if n := len(f.take().Starts); n != 1 {
		t.Fatal("a task was not started though the run had ended")
	}
}
