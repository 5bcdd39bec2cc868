package scheduler

import (
	"time"

	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/lib/ordered"
)

// SubmitUnclaimed submits a best-effort job like Submit, but no task of it is ordered before Claimed:
// another coordinator may run the job. Meanwhile the job counts as one that has not begun.
func (c *Core) SubmitUnclaimed(now time.Time, call Call, s *durable.Submission, budget time.Duration) {
	c.submitBestEffort(now, call, s, budget, true)
}

// Unclaimed returns whether the job is here and waits for Claimed.
func (c *Core) Unclaimed(id durable.JobID) bool { return c.unclaimed[id] != nil }

// Claimed has the tasks of a job ordered, since no other coordinator runs it.
func (c *Core) Claimed(now time.Time, id durable.JobID) {
	j := c.unclaimed[id]
	if j == nil {
		return
	}
	delete(c.unclaimed, id)
	c.readyTasks(now, j)
}

// WithdrawUnclaimed removes a job that waits for Claimed, since another coordinator may run it. It
// returns the calls of the job, which get no reply from here.
func (c *Core) WithdrawUnclaimed(now time.Time, id durable.JobID) []Call {
	j := c.unclaimed[id]
	if j == nil {
		return nil
	}
	c.removeUnstarted(now, j)
	return j.calls
}

// unclaimedCores returns the thousandths of a core that the jobs of the service that wait for
// Claimed will use at once.
func (c *Core) unclaimedCores(service string) float64 {
	cores := 0.0
	for _, j := range ordered.Values(c.unclaimed) {
		if j.sub.Queue.Service == service {
			need, tasks := initialTasks(j)
			cores += float64(need.CPU * tasks)
		}
	}
	return cores
}

// unclaimedWork returns the work of the service's jobs that wait for Claimed, in thousandths of a core
// times nanoseconds.
func (c *Core) unclaimedWork(service string) float64 {
	work := 0.0
	for _, j := range ordered.Values(c.unclaimed) {
		if j.sub.Queue.Service == service {
			work += j.work()
		}
	}
	return work
}
