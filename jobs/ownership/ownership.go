// Package ownership is the core that follows which partitions a coordinator
// owns, and until when it may act on them. It relies on the store's generations to
// rise with each change: a generation is the fencing epoch of what it deals out. It
// does no I/O and reads no clock.
package ownership

import (
	"slices"
	"time"

	"github.com/lichenfall/lichenfall/jobs/store"
)

// Change says which partitions came and went.
type Change struct {
	Acquired []uint32 // under the epoch Generation
	Released []uint32
	Epoch    uint64
}

// Table follows one member's partitions.
type Table struct {
	TTL time.Duration // that the member asks for

	generation uint64
	held       map[uint32]uint64 // epochs
	validUntil time.Time
}

// New returns a table that holds nothing.
func New(ttl time.Duration) *Table {
	return &Table{TTL: ttl, held: make(map[uint32]uint64)}
}

// Generation returns the generation that was heard last.
func (t *Table) Generation() uint64 { return t.generation }

// Valid returns whether the partitions held are certainly still ours.
func (t *Table) Valid(now time.Time) bool { return now.Before(t.validUntil) }

// Lost notes that another owner has been seen: whatever is assigned next is
// read anew.
func (t *Table) Lost(partition uint32) { delete(t.held, partition) }

// Joined takes the answer to a join that was sent at the time given.
func (t *Table) Joined(sent, now time.Time, a store.Assignment) Change {
	c := Change{Epoch: a.Generation}
	// Another member may have had our partitions unseen: after a gap in our leases, or
	// between two changes of which we heard the second alone.
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

// Clear forgets all that is held.
func (t *Table) Clear() { t.held = make(map[uint32]uint64) }
