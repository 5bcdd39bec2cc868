// Package ownership tracks which partitions a coordinator owns, and until when it may act on
// them. It owns the terms, each with its fencing epoch, and the end of the lease on them. It
// relies on the store to raise the generation with each change of the assignment: the
// generation under which a partition is acquired is its fencing epoch. It does no I/O and reads
// no clock.
package ownership

import (
	"slices"
	"time"

	"github.com/lichenfall/lichenfall/jobs/store"
)

// Term is one ownership of a partition, from the join that acquires the partition until it is
// released. A process never has two terms of one partition under the same epoch, so that a Term
// identifies what was begun in it: readings and appends that end later concern no other term.
type Term struct {
	Partition uint32
	Epoch     uint64 // fencing epoch: the generation under which the partition was acquired
}

// Change lists the terms that a join has begun and ended. A partition may have one in both
// lists: another member may have owned it in between, so it has to be read again.
type Change struct {
	Acquired []Term
	Released []Term
	// Late says that the answer is of an earlier generation than the last one, and changes nothing.
	Late bool
}

// Table tracks the terms of one member of the group of owners. At most one of a partition lasts.
type Table struct {
	TTL time.Duration // the lease that the member requests with each join

	generation uint64
	held       map[uint32]Term   // by partition
	lost       map[uint32]uint64 // epoch of the last term that Lost has ended, by partition
	validUntil time.Time
}

// New returns a table without partitions. ttl is the lease that each join requests.
func New(ttl time.Duration) *Table {
	return &Table{TTL: ttl, held: make(map[uint32]Term), lost: make(map[uint32]uint64)}
}

// Generation returns the generation of the last assignment.
func (t *Table) Generation() uint64 { return t.generation }

// Valid returns whether the lease has not expired, so that the held partitions are certainly
// still ours.
func (t *Table) Valid(now time.Time) bool { return now.Before(t.validUntil) }

// Lost ends a term, since the store has refused an epoch that is not the newest. The partition is
// acquired again only under a higher epoch: the store has counted appends under this one.
func (t *Table) Lost(term Term) {
	if t.held[term.Partition] != term {
		return
	}
	delete(t.held, term.Partition)
	t.lost[term.Partition] = term.Epoch
}

// Joined applies the answer to a join, and returns what it changes. The lease counts from sent,
// when the join was sent: the store starts it on arrival of the call, which is not earlier.
func (t *Table) Joined(sent, now time.Time, a store.Assignment) Change {
	if a.Generation < t.generation {
		return Change{Late: true}
	}
	var c Change
	// Another member may have owned our partitions in between: the assignment changed while our
	// lease had expired, or it changed more than once since the last join.
	gap := a.Generation != t.generation && !t.Valid(now) || a.Generation > t.generation+1
	for p, term := range t.held {
		if gap || !slices.Contains(a.Partitions, p) {
			c.Released = append(c.Released, term)
			delete(t.held, p)
		}
	}
	for _, p := range a.Partitions {
		if _, ok := t.held[p]; !ok && a.Generation > t.lost[p] {
			t.held[p] = Term{p, a.Generation}
			c.Acquired = append(c.Acquired, t.held[p])
		}
	}
	t.generation = a.Generation
	if until := sent.Add(t.TTL); until.After(t.validUntil) {
		t.validUntil = until
	}
	return c
}

// Clear ends all terms.
func (t *Table) Clear() { t.held = make(map[uint32]Term) }
