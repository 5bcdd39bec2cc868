// Package ownership tracks which partitions a coordinator owns, and until when it may act on
// them. It owns the list of partitions with their epochs and the end of the lease on them. It
// relies on the store to raise the generation with each change of the assignment: the
// generation under which a partition is acquired is its fencing epoch. It does no I/O and reads
// no clock.
package ownership

import (
	"slices"
	"time"

	"github.com/lichenfall/lichenfall/jobs/store"
)

// Change lists the partitions that a join has acquired and released. A partition may be in both
// lists: another member may have owned it in between, so it has to be read again.
type Change struct {
	Acquired []uint32 // under Epoch
	Released []uint32
	Epoch    uint64 // the generation of the assignment
}

// Table tracks the partitions of one member of the group of owners.
type Table struct {
	TTL time.Duration // the lease that the member requests with each join

	generation uint64
	held       map[uint32]uint64 // epochs by partition
	validUntil time.Time
}

// New returns a table without partitions. ttl is the lease that each join requests.
func New(ttl time.Duration) *Table {
	return &Table{TTL: ttl, held: make(map[uint32]uint64)}
}

// Generation returns the generation of the last assignment.
func (t *Table) Generation() uint64 { return t.generation }

// Valid returns whether the lease has not expired, so that the held partitions are certainly
// still ours.
func (t *Table) Valid(now time.Time) bool { return now.Before(t.validUntil) }

// Lost removes a partition for which a newer owner has been seen. If it is assigned to this
// member again, Joined reports it as acquired, so that it is read again.
func (t *Table) Lost(partition uint32) { delete(t.held, partition) }

// Joined applies the answer to a join, and returns what it changes. The lease counts from sent,
// when the join was sent: the store starts it on arrival of the call, which is not earlier.
func (t *Table) Joined(sent, now time.Time, a store.Assignment) Change {
	c := Change{Epoch: a.Generation}
	// Another member may have owned our partitions in between: the assignment changed while our
	// lease had expired, or it changed more than once since the last join.
	gap := a.Generation != t.generation && !t.Valid(now) || a.Generation > t.generation+1
	for p := range t.held {
		if gap || !slices.Contains(a.Partitions, p) {
			c.Released = append(c.Released, p)
			delete(t.held, p)
		}
	}
	for _, p := range a.Partitions {
		if _, ok := t.held[p]; !ok {
			c.Acquired = append(c.Acquired, p)
			t.held[p] = a.Generation
		}
	}
	t.generation = a.Generation
	if until := sent.Add(t.TTL); until.After(t.validUntil) {
		t.validUntil = until
	}
	return c
}

// Clear removes all partitions.
func (t *Table) Clear() { t.held = make(map[uint32]uint64) }
