package scheduler

import (
	"math"
	"slices"
	"time"

	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/lib/failure"
	"github.com/lichenfall/lichenfall/lib/ordered"
)

// giveUpShare is the share of a caller's time after which a job that has not
// begun is given up, so that the caller can still try elsewhere.
const giveUpShare = 0.4

// Why a job that had not begun was refused after all, besides reasonTooLong.
const (
	reasonTooLate      = "too_late"      // it could only be late
	reasonCallerTime   = "caller_time"   // its caller shall have time to try elsewhere
	reasonGaveWay      = "gave_way"      // to a job of a more urgent class
	reasonUntold       = "untold"        // others were not told of it in time, and may have a copy
	reasonAllEvacuated = "all_evacuated" // no data centre is left to start anything in
)

// startWithin returns how long a job may wait to begin: while its answer is still
// of use, and the caller has time to try again.
func startWithin(j *job, now time.Time, budget time.Duration) time.Duration {
	useful := j.uselessAt.Sub(now) - j.criticalPath
	if budget > 0 {
		useful = min(useful, time.Duration(giveUpShare*float64(budget)))
	}
	return useful
}

// giveUpUseless refuses best-effort jobs that have not begun in time, and cancels
// those that have begun and whose answer is of no use any more. Their callers are
// answered at once. serving says whether any worker takes tasks.
func (c *Core) giveUpUseless(now time.Time, serving bool) {
	supplies := make(map[string]*supply)
	for _, j := range ordered.Values(c.bestEffort) {
		switch {
		case j.begun():
			if now.After(j.abandonAt) {
				c.cancelUseless(now, j)
			}
		case !now.Before(j.startBy):
			c.refuseUnstarted(now, j, reasonCallerTime, nil)
		case serving && j.tooLateAt(now) && !c.couldBegin(now, supplies, j):
			c.refuseUnstarted(now, j, reasonTooLate, nil)
		}
	}
}

// couldBegin returns whether there is room for all that could begin of the job, and of what
// comes before it: that it has not begun is a fault, which is noted. supplies are those that have
// been looked at in this tick.
func (c *Core) couldBegin(now time.Time, supplies map[string]*supply, j *job) bool {
	t, service := j.firstReady(), j.sub.Queue.Service
	if t == nil {
		return false
	}
	if supplies[service] == nil {
		supplies[service] = c.supplyOf(now, service)
	}
	return c.besideRoom(supplies[service], t, c.coresBefore(t))
}

// besideRoom returns, and notes, whether there is room for all that could begin of the task's
// job, and for so many thousandths of a core before it.
func (c *Core) besideRoom(s *supply, t *task, before float64) bool {
	need, tasks := firstTasks(t.job)
	if tasks > s.room(t, need, before) {
		return false
	}
	c.note(Note{What: RefusalBesideRoom, Job: t.job.id, Measure: WaitingTasks, Value: tasks, Frequent: true})
	return true
}

// coresBefore returns the thousandths of a core of what waits here before an overdue task, or
// beside it.
func (c *Core) coresBefore(t *task) float64 {
	cores := 0.0
	for _, o := range c.readyOf(t.job.sub.Queue.Service).onTime.tasks {
		cores += float64(o.step.Need.CPU)
	}
	return cores
}

// tooLateAt returns whether a job that begins now will be late. While workers take
// tasks there are others that can still be in time, and they get the room. While none does, a
// late answer is the best that there is.
func (j *job) tooLateAt(now time.Time) bool { return now.After(j.due.Add(-j.criticalPath)) }

// review is when the queue of a service was last judged anew, and by what cores.
type review struct {
	at    time.Time
	cores float64 // thousandths
}

// The queue is judged anew when the cores have changed by this share, and after this time.
const (
	judgeChange = 0.05 // share of the cores
	judgeEvery  = 100 * time.Millisecond
)

// reviewQueues refuses the jobs that have not begun and cannot begin in time any more, by what
// comes before them, though their time is not over.
func (c *Core) reviewQueues(now time.Time) {
	if !c.cfg.Load.AdmitByAll || c.someUnreported(now) {
		return
	}
	for _, service := range ordered.Keys(c.ready) {
		cores := c.coresNow(now, service)
		last := c.reviews[service]
		changed := math.Abs(cores-last.cores) > judgeChange*last.cores
		if cores == 0 || !changed && now.Sub(last.at) < judgeEvery {
			continue
		}
		c.reviews[service] = review{now, cores}
		if c.readyOf(service).onTime.Len() > 0 {
			c.judgeQueue(now, service)
		}
	}
}

// coresNow returns the cores of the workers that take tasks, at their speed, in thousandths.
func (c *Core) coresNow(now time.Time, service string) float64 {
	cores := 0.0
	for _, w := range c.eligible {
		if w.identity.Service == service && c.takesTasks(now, w) {
			cores += c.coresOf(w)
		}
	}
	return cores
}

// judgeQueue goes through what waits in its order. Who waits for too much is refused, or has
// jobs of later classes give way, and is nothing that the next wait for.
func (c *Core) judgeQueue(now time.Time, service string) {
	s := c.supplyOf(now, service)
	if s.cores == 0 {
		return
	}
	work, cores := 0.0, 0.0 // of what comes before
	for _, t := range c.inOrder(service) {
		if t.position < 0 {
			continue // refused
		}
		if t.job.mayGiveWay() && t == t.job.firstReady() && !c.inTime(now, s, t, work, cores) {
			continue
		}
		work += t.work()
		cores += float64(t.step.Need.CPU)
	}
}

// inTime returns whether a job that has not begun may go on waiting; it is refused otherwise.
func (c *Core) inTime(now time.Time, s *supply, t *task, work, cores float64) bool {
	f := c.forecast(now, s, t, work)
	f.Allowed = t.due.Sub(now)
	if f.Wait() <= f.Allowed {
		return true
	}
	if c.besideRoom(s, t, cores) {
		return true
	}
	c.refuseUnstarted(now, t.job, reasonTooLong, &f)
	return false
}

// inOrder returns the tasks that are on time, in their order.
func (c *Core) inOrder(service string) []*task {
	tasks := slices.Clone(c.readyOf(service).onTime.tasks)
	slices.SortFunc(tasks, func(a, b *task) int {
		if d := a.virtualDeadline().Compare(b.virtualDeadline()); d != 0 {
			return d
		}
		return byTask(a, b)
	})
	return tasks
}

// refuseUnstarted refuses a job none of whose tasks has begun: it has not run.
func (c *Core) refuseUnstarted(now time.Time, j *job, why string, f *Forecast) {
	c.retractAdmitted(now, j)
	c.note(Note{What: JobGivenUp, Job: j.id, Reason: why, Measure: JobAgeMS, Value: j.age(now), Forecast: f})
	for i := range j.tasks {
		c.unqueue(&j.tasks[i])
	}
	for _, call := range j.calls {
		c.refuse(now, call, j.sub, f)
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
	c.finish(now, j, durable.Cancelled, reasonTooLate)
}
