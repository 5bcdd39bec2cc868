package dispatch

import (
	"time"

	"github.com/lichenfall/lichenfall/lib/failure"
	"github.com/lichenfall/lichenfall/submissions/job"
)

// Submit takes a submission from a caller, who gets an answer in time.
func (c *Core) Submit(now time.Time, caller uint64, s *job.Submission) {
	w := Waiter{Caller: caller}
	r := c.records[s.ID]
	if r != nil && r.sub.Digest != s.Digest {
		c.refuseOther(w, r, s)
		return
	}
	switch {
	case r == nil && c.stop:
		c.refuseEarly(w, s, failure.Stopping, "this entry is stopping")
	case r == nil && len(c.claims) >= c.set.MaxClaims:
		c.refuseEarly(w, s, failure.Overloaded, "too many claims wait for their holders")
	case r == nil:
		r = &record{sub: s, waiters: []Waiter{w}}
		c.records[s.ID] = r
		c.claim(now, r)
	case r.phase == answered:
		c.count.Resent("answered")
		c.answer(w, resent(r.answer))
	case r.phase == abandoned:
		c.unkeep(r)
		r.sub = s
		r.waiters = []Waiter{w}
		c.claim(now, r)
	default:
		c.count.Resent("running")
		r.waiters = append(r.waiters, w)
	}
}

// refuseOther refuses a copy with other content than the one that we know of.
// Only if that one was granted to us is it certain that this one never ran.
func (c *Core) refuseOther(w Waiter, r *record, s *job.Submission) {
	if r.phase == running || r.phase == answered {
		c.answer(w, job.Refusal(s.ID, failure.New(failure.SubmissionMismatch, ""), failure.NotRun))
		return
	}
	c.refuseEarly(w, s, failure.ClaimUnavailable, "a copy with other content is being claimed")
}

// refuseEarly refuses a submission before it is known whether another copy of
// it runs elsewhere, so that nothing may be said about that. The caller may
// send the same ID again.
func (c *Core) refuseEarly(w Waiter, s *job.Submission, k failure.Kind, reason string) {
	e := failure.New(k, reason)
	e.RetryAfter = c.comeBack()
	a := job.Refusal(s.ID, e, failure.RanUnknown)
	a.Error.Retry = failure.RetrySameID.String()
	c.answer(w, a)
}

// admit decides about a submission that was granted to this entry: whatever is
// refused here never ran and never will.
func (c *Core) admit(now time.Time, r *record) {
	if e := c.reasonToRefuse(now, r.sub); e != nil {
		c.settle(now, r, job.Refusal(r.sub.ID, e, failure.NotRun))
		return
	}
	c.lastJob++
	r.phase = running
	r.job = job.New(c.lastJob, r.sub)
	c.jobs[r.job.Number] = r
	c.running += len(r.job.Tasks)
	c.budget.Earn(len(r.job.Tasks))
	c.placeAll(now, r)
}

func (c *Core) reasonToRefuse(now time.Time, s *job.Submission) *failure.Error {
	switch {
	case !c.workspaces[s.Workspace]:
		return failure.New(failure.UnknownWorkspace, "no team is named "+s.Workspace)
	case !c.pools[s.Pool]:
		return failure.New(failure.UnknownPool, "no pool is named "+s.Pool)
	case !now.Before(s.Deadline):
		return failure.New(failure.DeadlinePast, "the deadline has passed")
	case c.running+len(s.Payloads) > c.set.MaxTasks:
		return c.overloaded("this entry holds as many tasks as it may", c.comeBack())
	}
	return c.tooLate(now, s)
}

// tooLate refuses a whole job that would wait too long in the pool, before any
// of its tasks has run for nothing.
func (c *Core) tooLate(now time.Time, s *job.Submission) *failure.Error {
	p := c.agents.State(s.Pool)
	n := len(s.Payloads)
	if p.Slots == 0 {
		return nil // placing it will tell
	}
	wait := p.Wait(n)
	if wait <= c.set.MaxWait && now.Add(wait+p.MeanRun).Before(s.Deadline) && !p.Full(n) {
		return nil
	}
	return c.overloaded("the pool is too busy for the job to be done in time", c.spread(wait-c.set.MaxWait/2))
}

func (c *Core) overloaded(reason string, after time.Duration) *failure.Error {
	e := failure.New(failure.Overloaded, reason)
	e.RetryAfter = after
	return e
}

// pauseFor returns when to come back after a refusal of the kind, zero where
// waiting does not help.
func (c *Core) pauseFor(k failure.Kind) time.Duration {
	switch k {
	case failure.Overloaded, failure.NoAgent, failure.QueueFull, failure.Stopping, failure.BackendUnreachable:
		return c.comeBack()
	}
	return 0
}

// The bounds of the pause that a refused caller is told.
const (
	minPause = 50 * time.Millisecond // the shortest task
	maxPause = 5 * time.Second
)

// comeBack estimates when the tasks held now will be done, with jitter so that
// the refused do not all return at once.
func (c *Core) comeBack() time.Duration {
	return c.spread(c.rate.timeFor(c.running))
}

// spread bounds a pause and spreads it from half to one and a half times.
func (c *Core) spread(d time.Duration) time.Duration {
	d = min(max(d, minPause), maxPause)
	return d/2 + time.Duration(c.rng.Int64N(int64(d)))
}
