package scheduler

import (
	"time"

	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/lib/ordered"
)

// The store may deal a partition anew while its owner cannot hear of it. Until its own lease on the
// partition is over, such an owner goes on sending heartbeats, which renew the leases of its runs at
// workers. So what a worker runs for earlier owners is written off counting from when the last of their
// terms ended, not from when we took the partition over.

// unknownTerm stands for the term of an owner that left no record: it ran an earlier version of the
// program.
const unknownTerm uint64 = 0

// Reasons that the log gives for an EarlierTermEnded.
const (
	reasonOwnerStopped = "owner_stopped" // the owner has said so
	reasonTermExpired  = "term_expired"
)

// earlierTerms tracks the terms of a partition's earlier owners.
type earlierTerms struct {
	lasting map[uint64]struct{} // epochs of those that may last
	endBy   time.Time           // when all have certainly ended
	endedAt time.Time           // when the last one had ended, by all that is known; zero while any may last
	removed []uint64            // epochs of ended ones whose records are to be removed from the store
}

func newEarlierTerms(t *Takeover) earlierTerms {
	e := earlierTerms{lasting: make(map[uint64]struct{}), endBy: t.EarlierEndBy}
	for _, epoch := range t.Earlier {
		e.lasting[epoch] = struct{}{}
	}
	if len(t.Earlier) == 0 && len(t.Jobs) > 0 {
		e.lasting[unknownTerm] = struct{}{}
	}
	return e
}

// lastRenewed returns the latest time at which any owner may have renewed leases of the partition at a
// worker, if we last did at the time given.
func (p *partition) lastRenewed(byUs time.Time) time.Time {
	until := p.earlier.endedAt
	if len(p.earlier.lasting) > 0 {
		until = p.earlier.endBy
	}
	if until.After(byUs) {
		return until
	}
	return byUs
}

// EarlierTermEnded records that an earlier owner's term of the partition has ended: it sends no
// heartbeats in it any more.
func (c *Core) EarlierTermEnded(now time.Time, number uint32, epoch uint64) {
	if p := c.partitions[number]; p != nil {
		c.endEarlierTerm(now, p, epoch, reasonOwnerStopped)
	}
}

// expireEarlierTerms ends the terms that have certainly ended by now.
func (c *Core) expireEarlierTerms(now time.Time, p *partition) {
	if len(p.earlier.lasting) == 0 || now.Before(p.earlier.endBy) {
		return
	}
	for _, epoch := range ordered.Keys(p.earlier.lasting) {
		c.endEarlierTerm(now, p, epoch, reasonTermExpired)
	}
}

// endEarlierTerm records the end of a term, and has its record removed from the store.
func (c *Core) endEarlierTerm(now time.Time, p *partition, epoch uint64, reason string) {
	if _, lasts := p.earlier.lasting[epoch]; !lasts {
		return
	}
	delete(p.earlier.lasting, epoch)
	if len(p.earlier.lasting) == 0 {
		p.earlier.endedAt = earliest(now, p.earlier.endBy)
	}
	c.note(Note{What: EarlierTermEnded, Reason: reason, Measure: PartitionNumber, Value: int64(p.number)})
	if epoch != unknownTerm {
		p.earlier.removed = append(p.earlier.removed, epoch)
		p.requestCommit(now.Add(c.cfg.LazyCommit))
	}
}

// addTermTombstones adds the removal of the records of terms that have ended.
func (c *Core) addTermTombstones(p *partition, d *draft) {
	for _, epoch := range p.earlier.removed {
		c.addRecord(d, durable.TermTombstone(epoch), nil)
	}
	d.batch.terms, p.earlier.removed = p.earlier.removed, nil
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
