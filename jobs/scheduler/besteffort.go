package scheduler

import (
	"slices"
	"time"

	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/lib/failure"
	"github.com/lichenfall/lichenfall/lib/ordered"
	"github.com/lichenfall/lichenfall/wire"
)

// submitBestEffort takes a job that is not kept. It lives as long as somebody
// waits for its end.
func (c *Core) submitBestEffort(now time.Time, call Call, s *durable.Submission, budget time.Duration) {
	if j := c.bestEffort[s.ID]; j != nil {
		if !j.sub.SameContent(s) {
			c.fail(call, s.ID, failure.SubmissionMismatch)
			return
		}
		j.calls = append(j.calls, call)
		return
	}
	if c.active >= c.cfg.MaxJobs {
		c.fail(call, s.ID, failure.Overloaded)
		return
	}
	j := newJob(s, now)
	if wait, bound, ok := c.admit(now, j); !ok {
		c.note(Note{What: "job_refused", Job: s.ID, Reason: "wait_too_long", Number: wait.Milliseconds(), Bound: bound.Milliseconds()})
		c.fail(call, s.ID, failure.Overloaded)
		return
	}
	j.kept = true
	j.giveUp = now.Add(patience(j, now, budget))
	j.calls = append(j.calls, call)
	c.bestEffort[s.ID] = j
	c.active++
	c.release(now, j)
}

// Abandon tells the core that a caller no longer waits. A best-effort job that
// nobody waits for is cancelled.
func (c *Core) Abandon(now time.Time, call Call, id durable.JobID) {
	delete(c.callers, call)
	j := c.bestEffort[id]
	if j == nil {
		return
	}
	for i, waiting := range j.calls {
		if waiting == call {
			j.calls = append(j.calls[:i], j.calls[i+1:]...)
			break
		}
	}
	if len(j.calls) == 0 {
		c.finish(now, j, durable.Cancelled, "caller_left")
	}
}

// LongHeld returns the best-effort jobs that came at least so long ago.
func (c *Core) LongHeld(now time.Time, age time.Duration) []durable.JobID {
	var out []durable.JobID
	for id, j := range c.bestEffort {
		if now.Sub(j.received) >= age {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// Holds returns whether the best-effort job is here.
func (c *Core) Holds(id durable.JobID) bool { return c.bestEffort[id] != nil }

// answerBestEffort tells the callers of a job's end, and forgets it.
func (c *Core) answerBestEffort(j *job) {
	for _, call := range j.calls {
		c.reply(Reply{Call: call, ID: j.id, State: j.state})
	}
	delete(c.bestEffort, j.id)
}

// claimRuns asks a worker what became of best-effort runs that were ordered
// before the connection broke.
func (c *Core) claimRuns(w *worker) {
	m := &wire.ClaimRuns{}
	w.claimed = nil
	for _, t := range w.tasks() {
		if t.job.sub.BestEffort {
			w.claimed = append(w.claimed, t)
			m.Runs = append(m.Runs, t.ref())
		}
	}
	if len(m.Runs) > 0 {
		c.send(w.name, m)
	}
}

// claimsAnswered takes the worker's answer: what it does not know never runs.
func (c *Core) claimsAnswered(now time.Time, w *worker, m *wire.PartitionRuns) {
	known := make(map[wire.RunRef]bool, len(m.Running)+len(m.Ended))
	for _, ref := range m.Running {
		known[ref] = true
	}
	for i := range m.Ended {
		known[m.Ended[i].Ref] = true
		c.end(now, w, &m.Ended[i])
	}
	claimed := w.claimed
	w.claimed = nil
	for _, t := range claimed {
		if t.worker == w && !known[t.ref()] {
			c.note(Note{What: "run_absent", Task: t.id.String(), Run: t.run, Worker: w.name})
			c.mark(now, t.job, t.job.assigned, true)
			c.unassign(now, t)
			c.enqueue(now, t)
		}
	}
}

// holdShare is the share of a caller's time after which a job that has not
// begun is given up.
const holdShare = 0.4

// patience returns how long a job may wait to begin: while its answer is still
// of use, and the caller has time to try again.
func patience(j *job, now time.Time, budget time.Duration) time.Duration {
	useful := j.late.Sub(now) - j.longest
	if budget > 0 {
		useful = min(useful, time.Duration(holdShare*float64(budget)))
	}
	return useful
}

// giveUp refuses best-effort jobs that have not begun in time.
func (c *Core) giveUp(now time.Time) {
	for _, j := range ordered.Values(c.bestEffort) {
		if j.begun() && now.After(j.useless) {
			c.tooLate(now, j)
			continue
		}
		if j.begun() || now.Before(j.giveUp) {
			continue
		}
		c.note(Note{What: "job_given_up", Job: j.id, Number: now.Sub(j.received).Milliseconds()})
		for i := range j.tasks {
			c.unqueue(&j.tasks[i])
		}
		for _, call := range j.calls {
			c.fail(call, j.id, failure.Overloaded)
		}
		delete(c.bestEffort, j.id)
		c.active--
	}
}

// tooLate ends a job that has begun and whose answer is of no use any more.
func (c *Core) tooLate(now time.Time, j *job) {
	for _, call := range j.calls {
		c.fail(call, j.id, failure.DeadlineWhileRunning)
	}
	j.calls = nil
	c.finish(now, j, durable.Cancelled, "too_late")
}
