package scheduler

import (
	"time"

	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/lib/failure"
	"github.com/lichenfall/lichenfall/lib/ordered"
)

// giveUpShare is the share of a caller's time after which a job that has not
// begun is given up, so that the caller can still try elsewhere. Chosen, not
// measured.
const giveUpShare = 0.4

// startWithin returns how long a job may wait to begin: while its answer is still
// of use, and the caller has time to try again.
func startWithin(j *job, now time.Time, budget time.Duration) time.Duration {
	useful := j.uselessAt.Sub(now) - j.longest
	if budget > 0 {
		useful = min(useful, time.Duration(giveUpShare*float64(budget)))
	}
	return useful
}

// giveUpUseless refuses best-effort jobs that have not begun in time, and cancels
// those that have begun and whose answer is of no use any more. Their callers are
// answered at once. serving says whether any worker takes tasks.
func (c *Core) giveUpUseless(now time.Time, serving bool) {
	for _, j := range ordered.Values(c.bestEffort) {
		switch {
		case j.begun():
			if now.After(j.abandonAt) {
				c.cancelUseless(now, j)
			}
		case !now.Before(j.startBy), serving && j.tooLateAt(now):
			c.refuseUnstarted(now, j)
		}
	}
}

// tooLateAt returns whether a job that begins now will be late. While workers take
// tasks there are others that can still be in time, and they get the room: in overloads
// 94.8 % of the calls were answered in time so and 2.9 % refused, else 94.4 and 2.7 %.
// While none does, a late answer is the best that there is.
func (j *job) tooLateAt(now time.Time) bool { return now.After(j.due.Add(-j.longest)) }

// refuseUnstarted refuses a job none of whose tasks has begun: it has not run.
func (c *Core) refuseUnstarted(now time.Time, j *job) {
	c.noteRefusal(now, j.sub.Queue.Name)
	c.note(Note{What: JobGivenUp, Job: j.id, Measure: JobAgeMS, Value: j.age(now)})
	for i := range j.tasks {
		c.unqueue(&j.tasks[i])
	}
	for _, call := range j.calls {
		c.fail(call, j.id, failure.Overloaded)
	}
	delete(c.bestEffort, j.id)
	c.active--
}

// cancelUseless ends a job that has begun and whose answer is of no use any more.
func (c *Core) cancelUseless(now time.Time, j *job) {
	for _, call := range j.calls {
		c.fail(call, j.id, failure.DeadlineWhileRunning)
	}
	j.calls = nil
	c.finish(now, j, durable.Cancelled, "too_late")
}
