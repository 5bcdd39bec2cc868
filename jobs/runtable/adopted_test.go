package runtable_test

import (
	"testing"
	"time"

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
	table := runtable.New(newFixture().cfg.Core(), now)
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
