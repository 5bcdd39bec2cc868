package scheduler

import (
	"time"

	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/lib/failure"
)

// pendingLookup is a call about a job that is not here. Another coordinator may own the
// partition by now and have kept the job, which our lease does not tell: so "there is
// no such job" waits until the store has confirmed that the partition was still ours
// after the call came.
type pendingLookup struct {
	call  Call
	id    durable.JobID
	asked time.Time
	retry func(now time.Time, call Call, id durable.JobID) // asks once more
}

// deferLookup makes a call wait for Confirmed. One that waits too long is answered by
// tickCallers.
func (c *Core) deferLookup(now time.Time, call Call, id durable.JobID, again func(time.Time, Call, durable.JobID)) {
	c.callers[call] = waitingCall{id, now}
	c.pendingLookups = append(c.pendingLookups, pendingLookup{call: call, id: id, asked: now, retry: again})
}

// Confirmed tells the core that the store has answered a join that was sent at the
// time given: what it lists as ours was ours then. Partitions that it no longer lists
// have been released before.
func (c *Core) Confirmed(now, sent time.Time) {
	c.confirmedAt = sent
	for _, w := range c.allWorkers {
		if !w.confirmed && len(c.partitions) > 0 && !sent.Before(w.upAt) {
			c.heartbeat(now, w)
		}
	}
	waiting := c.pendingLookups
	c.pendingLookups = nil
	for _, q := range waiting {
		switch _, waits := c.callers[q.call]; {
		case !waits:
		case q.asked.After(sent):
			c.pendingLookups = append(c.pendingLookups, q)
		default:
			c.resolveLookup(now, q)
		}
	}
}

// resolveLookup answers a call about a job of which it is now known whether it is
// here.
func (c *Core) resolveLookup(now time.Time, q pendingLookup) {
	p := c.activePartition(q.id)
	switch {
	case p == nil:
		c.fail(q.call, q.id, failure.NoOwner)
	case p.jobs[q.id] == nil:
		c.fail(q.call, q.id, failure.JobNotFound)
	default:
		q.retry(now, q.call, q.id)
	}
}

// failLookups answers the calls about jobs of a partition that is no longer ours.
func (c *Core) failLookups(partition uint32) {
	waiting := c.pendingLookups
	c.pendingLookups = nil
	for _, q := range waiting {
		if q.id.Partition(c.cfg.Partitions) != partition {
			c.pendingLookups = append(c.pendingLookups, q)
			continue
		}
		if _, waits := c.callers[q.call]; waits {
			c.fail(q.call, q.id, failure.NoOwner)
		}
	}
}
