package scheduler

import (
	"time"

	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/lib/failure"
	"github.com/lichenfall/lichenfall/lib/ordered"
)

// Call identifies a client call that waits for a Reply.
type Call uint64

// waitingCall is a call whose reply waits for the store.
type waitingCall struct {
	id    durable.JobID
	since time.Time
}

// reply sends the reply to a call, which then no longer waits.
func (c *Core) reply(r Reply) {
	delete(c.callers, r.Call)
	c.effects.Replies = append(c.effects.Replies, r)
}

// fail replies to a call with a failure; the caller may retry after Settings.RetryAfter.
func (c *Core) fail(call Call, id durable.JobID, kind failure.Kind) {
	c.failRetryAfter(call, id, kind, 0)
}

// failRetryAfter replies to a call with a failure and the time after which a retry may succeed:
// delay, 0 if that is not known, but at least Settings.RetryAfter.
func (c *Core) failRetryAfter(call Call, id durable.JobID, kind failure.Kind, delay time.Duration) {
	c.reply(Reply{Call: call, ID: id, Failure: kind, RetryAfter: max(c.cfg.RetryAfter, delay)})
	c.note(Note{What: CallFailed, Job: id, Reason: kind.String()})
}

// tickCallers fails the calls that have waited Settings.CallLimit for the store.
func (c *Core) tickCallers(now time.Time) {
	for _, call := range ordered.Keys(c.callers) {
		w := c.callers[call]
		if now.Sub(w.since) < c.cfg.CallLimit {
			continue
		}
		c.fail(call, w.id, failure.CommitUnknown)
	}
}

// activePartition returns the job's partition if this coordinator owns it and its lease is not
// suspended, else nil.
func (c *Core) activePartition(id durable.JobID) *partition {
	p := c.partitions[id.Partition(c.cfg.Partitions)]
	if p == nil || p.suspended {
		return nil
	}
	return p
}

// Owns returns whether this coordinator owns the job's partition and may answer calls about the job.
func (c *Core) Owns(id durable.JobID) bool { return c.activePartition(id) != nil }

// find returns the best-effort or durable job with the ID, or nil.
func (c *Core) find(id durable.JobID) *job {
	if j := c.bestEffort[id]; j != nil {
		return j
	}
	if p := c.partitions[id.Partition(c.cfg.Partitions)]; p != nil {
		return p.jobs[id]
	}
	return nil
}

// lookUp returns the durable job that a call is about, with its partition. If the job is not
// here, j is nil: the call has been failed, or waits for the next call of Confirmed, which runs
// retry if the job exists by then.
func (c *Core) lookUp(now time.Time, call Call, id durable.JobID, retry func(time.Time, Call, durable.JobID)) (p *partition, j *job) {
	p = c.activePartition(id)
	if p == nil {
		c.fail(call, id, failure.NoOwner)
		return nil, nil
	}
	j = p.jobs[id]
	if j == nil {
		c.deferLookup(now, call, id, retry)
	}
	return p, j
}

// Submit handles the submission of a job. A durable job is acknowledged once it is in the store; the reply for a
// best-effort job is sent when the job ends. budget is how long the caller waits, 0 if unknown.
func (c *Core) Submit(now time.Time, call Call, s *durable.Submission, budget time.Duration) {
	if s.BestEffort {
		c.submitBestEffort(now, call, s, budget, false)
		return
	}
	p := c.activePartition(s.ID)
	if p == nil {
		c.fail(call, s.ID, failure.NoOwner)
		return
	}
	if j := p.jobs[s.ID]; j != nil {
		c.resubmit(now, call, j, s)
		return
	}
	if c.atJobLimit() {
		c.fail(call, s.ID, failure.Overloaded)
		return
	}
	s.Epoch = p.epoch
	j := c.newJob(s, now)
	j.calls = append(j.calls, call)
	c.callers[call] = waitingCall{s.ID, now}
	p.jobs[s.ID] = j
	p.submitted = append(p.submitted, j)
	p.requestCommit(now)
	c.active++
}

// resubmit answers a resent submission of a job that is already here.
func (c *Core) resubmit(now time.Time, call Call, j *job, s *durable.Submission) {
	switch {
	case j.sub != nil && !j.sub.SameContent(s):
		c.fail(call, s.ID, failure.SubmissionMismatch)
	case j.accepted:
		c.reply(Reply{Call: call, ID: s.ID, State: j.visibleState()})
	default:
		j.calls = append(j.calls, call)
		c.callers[call] = waitingCall{s.ID, now}
	}
}

// State replies with the state of a durable job. For a job that is not final the reply waits
// until the store has confirmed that this coordinator still owns the partition, and for a
// started job up to Settings.StateWait for its end, but no longer than half of budget.
func (c *Core) State(now time.Time, call Call, id durable.JobID, budget time.Duration) {
	retry := func(now time.Time, call Call, id durable.JobID) { c.State(now, call, id, 0) }
	_, j := c.lookUp(now, call, id, retry)
	switch {
	case j == nil:
	case j.stored.Final():
		c.reply(Reply{Call: call, ID: id, State: j.stored})
	default:
		c.watch(now, call, j, budget)
	}
}

// Cancel cancels a durable job. The reply is sent once the cancellation is in the store.
func (c *Core) Cancel(now time.Time, call Call, id durable.JobID) {
	p, j := c.lookUp(now, call, id, c.Cancel)
	switch {
	case j == nil:
	case j.stored.Final():
		c.reply(Reply{Call: call, ID: id, State: j.stored})
	default:
		if !j.state.Final() {
			c.finish(now, j, durable.Cancelled, "cancelled")
		}
		j.cancels = append(j.cancels, call)
		c.callers[call] = waitingCall{id, now}
		p.markChanged(now, j)
	}
}

// Waiting returns the number of jobs of each queue that have not begun.
func (c *Core) Waiting() map[string]uint32 {
	counts := make(map[string]uint32)
	for _, j := range c.bestEffort {
		if !j.begun() {
			counts[j.sub.Queue.Name]++
		}
	}
	for _, p := range c.partitions {
		for _, j := range p.jobs {
			if j.sub != nil && j.accepted && !j.begun() && !j.state.Final() {
				counts[j.sub.Queue.Name]++
			}
		}
	}
	return counts
}
