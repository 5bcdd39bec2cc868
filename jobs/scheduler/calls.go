package scheduler

import (
	"time"

	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/lib/failure"
	"github.com/lichenfall/lichenfall/lib/ordered"
)

// Call names a caller who waits for a reply.
type Call uint64

// waitingCall is a caller whose reply waits for the store.
type waitingCall struct {
	id    durable.JobID
	since time.Time
}

func (c *Core) reply(r Reply) {
	delete(c.callers, r.Call)
	c.effects.Replies = append(c.effects.Replies, r)
}

func (c *Core) fail(call Call, id durable.JobID, kind failure.Kind) {
	c.failUntil(call, id, kind, 0)
}

// failUntil fails a call that may do better after the time given, as far as that is known.
// It is told to come back then, and not before Settings.RetryAfter.
func (c *Core) failUntil(call Call, id durable.JobID, kind failure.Kind, better time.Duration) {
	c.reply(Reply{Call: call, ID: id, Failure: kind, RetryAfter: max(c.cfg.RetryAfter, better)})
	c.note(Note{What: CallFailed, Job: id, Reason: kind.String()})
}

// tickCallers answers those who have waited too long for the store.
func (c *Core) tickCallers(now time.Time) {
	for _, call := range ordered.Keys(c.callers) {
		w := c.callers[call]
		if now.Sub(w.since) < c.cfg.CallLimit {
			continue
		}
		c.fail(call, w.id, failure.CommitUnknown)
	}
}

// owned returns the partition that keeps the job, if it can take calls now.
func (c *Core) owned(id durable.JobID) *partition {
	p := c.partitions[id.Partition(c.cfg.Partitions)]
	if p == nil || p.suspended {
		return nil
	}
	return p
}

// Owns returns whether calls about the job can be answered here.
func (c *Core) Owns(id durable.JobID) bool { return c.owned(id) != nil }

// find returns the job, whoever keeps it.
func (c *Core) find(id durable.JobID) *job {
	if j := c.bestEffort[id]; j != nil {
		return j
	}
	if p := c.partitions[id.Partition(c.cfg.Partitions)]; p != nil {
		return p.jobs[id]
	}
	return nil
}

// jobOf returns the kept job that a call is about, with its partition. Without
// one the call has been answered, or will be once Confirmed, and j is nil; again is
// what answers it if the job turns up.
func (c *Core) jobOf(now time.Time, call Call, id durable.JobID, again func(time.Time, Call, durable.JobID)) (p *partition, j *job) {
	p = c.owned(id)
	if p == nil {
		c.fail(call, id, failure.NoOwner)
		return nil, nil
	}
	j = p.jobs[id]
	if j == nil {
		c.ask(now, call, id, again)
	}
	return p, j
}

// Submit takes a job. The reply comes once the store has it; that to a
// best-effort job once it has ended. budget is how long the caller waits; 0 when
// that is not known.
func (c *Core) Submit(now time.Time, call Call, s *durable.Submission, budget time.Duration) {
	if s.BestEffort {
		c.submitBestEffort(now, call, s, budget)
		return
	}
	p := c.owned(s.ID)
	if p == nil {
		c.fail(call, s.ID, failure.NoOwner)
		return
	}
	if j := p.jobs[s.ID]; j != nil {
		c.submitAgain(now, call, j, s)
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
	p.wantBy(now)
	c.active++
}

// submitAgain answers a resent submission by what became of the first copy.
func (c *Core) submitAgain(now time.Time, call Call, j *job, s *durable.Submission) {
	switch {
	case j.sub != nil && !j.sub.SameContent(s):
		c.fail(call, s.ID, failure.SubmissionMismatch)
	case j.accepted:
		c.reply(Reply{Call: call, ID: s.ID, State: j.shown()})
	default:
		j.calls = append(j.calls, call)
		c.callers[call] = waitingCall{s.ID, now}
	}
}

// State tells where a kept job stands. The reply about a job that is not final
// waits until the store has confirmed that the job is still ours, and a little for
// its end, within the time that the caller gives.
func (c *Core) State(now time.Time, call Call, id durable.JobID, budget time.Duration) {
	again := func(now time.Time, call Call, id durable.JobID) { c.State(now, call, id, 0) }
	_, j := c.jobOf(now, call, id, again)
	switch {
	case j == nil:
	case j.stored.Final():
		c.reply(Reply{Call: call, ID: id, State: j.stored})
	default:
		c.watch(now, call, j, budget)
	}
}

// Cancel cancels a kept job. The reply comes once the store has it.
func (c *Core) Cancel(now time.Time, call Call, id durable.JobID) {
	p, j := c.jobOf(now, call, id, c.Cancel)
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
		p.change(now, j)
	}
}

// Waiting returns, by queue, the number of jobs none of whose tasks has begun.
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
