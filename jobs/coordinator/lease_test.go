package coordinator

import (
	"testing"
	"time"

	"github.com/lichenfall/lichenfall/jobs/ownership"
	"github.com/lichenfall/lichenfall/jobs/scheduler"
	"github.com/lichenfall/lichenfall/jobs/store"
)

// partitionsSeen records the partitions that the core acts on when the event is applied.
type partitionsSeen struct{ n *int }

func (e partitionsSeen) apply(c *Coordinator, _ time.Time) { *e.n = len(c.core.Partitions()) }

// TestFirstEventAfterAStallFindsTheLeaseOver guards against heartbeats that renew the runs of a partition
// after the lease on it has ended: the events that had queued in a stall were applied before the tick that
// suspends the partition.
func TestFirstEventAfterAStallFindsTheLeaseOver(t *testing.T) {
	c := newStallCase(t)
	id := ownership.Term{Partition: 3, Epoch: 1}
	change := c.owned.Joined(c.now, c.now, store.Assignment{Generation: id.Epoch, Partitions: []uint32{id.Partition}})
	if len(change.Acquired) != 1 || change.Acquired[0] != id {
		t.Fatalf("the join has acquired %v", change.Acquired)
	}
	c.terms[id] = &term{stop: func() {}}
	c.checkLease(c.now)
	c.core.Acquire(c.now, &scheduler.Takeover{Partition: id.Partition, Epoch: id.Epoch})
	seen := 0
	c.handle(c.now, partitionsSeen{&seen})
	if seen != 1 {
		t.Fatalf("%d partitions while the lease lasts", seen)
	}
	c.advance(c.owned.TTL + time.Millisecond)
	c.handle(c.now, partitionsSeen{&seen})
	if seen != 0 {
		t.Errorf("%d partitions in the first event after the end of the lease", seen)
	}
}
