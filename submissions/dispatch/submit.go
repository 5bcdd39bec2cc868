package dispatch

import (
	"fmt"
	"time"

	"github.com/lichenfall/lichenfall/lib/failure"
	"github.com/lichenfall/lichenfall/submissions/job"
	"github.com/lichenfall/lichenfall/submissions/placement"
)

// Submit handles a submission from a caller. A resent call gets the answer of
// the first one, at once or when its job ends.
func (c *Core) Submit(now time.Time, caller uint64, s *job.Submission) {
	w := Waiter{Caller: caller}
	r := c.records[s.ID]
	if r != nil && r.sub.Digest != s.Digest {
		c.refuseMismatch(w, r, s)
		return
	}
	switch {
	case r == nil && c.stopping:
		c.refuseEarly(w, s, failure.Stopping, "this entry is stopping")
	case r == nil && len(c.claims) >= c.cfg.MaxClaims:
		c.refuseEarly(w, s, failure.Overloaded, "too many claims wait for their holders")
	case r == nil:
		r = &record{sub: s, waiters: []Waiter{w}}
		c.records[s.ID] = r
		c.claim(now, r)
	case r.phase == answered:
		c.count.Resent("answered")
		c.answer(w, asResent(r.answer))
	case r.phase == abandoned:
		c.removeKept(r)
		r.sub = s
		r.waiters = []Waiter{w}
		c.claim(now, r)
	default:
		c.count.Resent("running")
		r.waiters = append(r.waiters, w)
	}
}

// refuseMismatch refuses a submission whose content differs from the known
// record of the same ID. Only if that record was granted to this entry is it
// certain that the content refused here never ran.
func (c *Core) refuseMismatch(w Waiter, r *record, s *job.Submission) {
	if r.phase == running || r.phase == answered {
		c.answer(w, job.Refusal(s.ID, failure.New(failure.SubmissionMismatch, ""), failure.NotRun))
		return
	}
	c.refuseEarly(w, s, failure.ClaimUnavailable, "a copy with other content is being claimed")
}

// refuseEarly refuses a submission before it is claimed. A duplicate may run at
// another entry, so the answer leaves open whether the submission ran. The
// caller may resend it with the same ID.
func (c *Core) refuseEarly(w Waiter, s *job.Submission, k failure.Kind, reason string) {
	e := failure.New(k, reason)
	e.RetryAfter = c.retryPause()
	a := job.Refusal(s.ID, e, failure.RanUnknown)
	a.Error.Retry = failure.RetrySameID.String()
	c.answer(w, a)
}

// admit starts or refuses a submission that was granted to this entry. One that
// is refused here never ran and never will.
func (c *Core) admit(now time.Time, r *record) {
	if e := c.admissionError(now, r.sub); e != nil {
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

func (c *Core) admissionError(now time.Time, s *job.Submission) *failure.Error {
	switch {
	case !c.workspaces[s.Workspace]:
		return failure.New(failure.UnknownWorkspace, "no team is named "+s.Workspace)
	case !c.pools[s.Pool]:
		return failure.New(failure.UnknownPool, "no pool is named "+s.Pool)
	case !now.Before(s.Deadline):
		return failure.New(failure.DeadlinePast, "the deadline has passed")
	case c.running+len(s.Payloads) > c.cfg.MaxTasks:
		return c.overloaded("this entry holds as many tasks as it may", c.retryPause())
	}
	return c.checkPoolLoad(now, s)
}

// checkPoolLoad refuses a whole job that would wait too long in the pool or
// miss its deadline, before any of its tasks runs in vain.
func (c *Core) checkPoolLoad(now time.Time, s *job.Submission) *failure.Error {
	p := c.agents.State(s.Pool)
	n := len(s.Payloads)
	if p.Slots == 0 {
		return nil // placeAll fails the job with NoAgent
	}
	wait := p.Wait(n)
	if wait <= c.cfg.MaxWait && now.Add(wait+p.MeanRun).Before(s.Deadline) && !p.Full(n) {
		return nil
	}
	return c.overloaded(tooBusy(p, wait, s.Deadline.Sub(now)), c.jitter(wait-c.cfg.MaxWait/2))
}

// tooBusy returns the reason of a refusal, with the figures that decided it.
func tooBusy(p placement.PoolState, wait, left time.Duration) string {
	const format = "the pool is too busy for the job to be done in time: %d tasks at %d slots, %d ms each, so %d ms to wait, of %d ms left"
	return fmt.Sprintf(format, p.Held, p.Slots, p.MeanRun.Milliseconds(), wait.Milliseconds(), left.Milliseconds())
}

func (c *Core) overloaded(reason string, after time.Duration) *failure.Error {
	e := failure.New(failure.Overloaded, reason)
	e.RetryAfter = after
	return e
}

// retryPauseFor returns the delay suggested to a caller after a refusal of the
// kind, or zero if waiting does not help.
func (c *Core) retryPauseFor(k failure.Kind) time.Duration {
	switch k {
	case failure.Overloaded, failure.NoAgent, failure.QueueFull, failure.Stopping, failure.BackendUnreachable:
		return c.retryPause()
	}
	return 0
}

// The bounds of the delay suggested to refused callers, before jitter.
const (
	minPause = 50 * time.Millisecond // run time of the shortest tasks
	maxPause = 5 * time.Second
)

// retryPause returns the estimated time until the current tasks are done, with
// jitter so that refused callers do not all resend at the same time.
func (c *Core) retryPause() time.Duration {
	return c.jitter(c.rate.timeFor(c.running))
}

// jitter limits d to the range of minPause to maxPause and returns a random
// delay between half and one and a half times that.
func (c *Core) jitter(d time.Duration) time.Duration {
	d = min(max(d, minPause), maxPause)
	return d/2 + time.Duration(c.rng.Int64N(int64(d)))
}
