package scheduler

import (
	"time"

	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/lib/failure"
)

// pendingLookup is a call about a job that is not here. Another coordinator may have become the
// owner of the partition and have stored the job while our lease still seems valid. So the call is
// answered with JobNotFound only once the store has confirmed that this coordinator still owned
// the partition after the call arrived.
type pendingLookup struct {
	call  Call
	id    durable.JobID
	asked time.Time
	retry func(now time.Time, call Call, id durable.JobID) // handles the call again
}

// deferLookup makes a call wait for Confirmed, at most for Settings.CallLimit (tickCallers).
func (c *Core) deferLookup(now time.Time, call Call, id durable.JobID, retry func(time.Time, Call, durable.JobID)) {
	c.callers[call] = waitingCall{id, now}
	c.pendingLookups = append(c.pendingLookups, pendingLookup{call: call, id: id, asked: now, retry: retry})
}

// Confirmed records that the store has answered a join which was sent at the time given: at that
// time this coordinator owned the partitions that the core has. The caller must have released
// those that the answer did not list.
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

// resolveLookup answers a pending call now that ownership is confirmed.
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

// failLookups fails the pending calls about jobs of a partition that was released.
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
