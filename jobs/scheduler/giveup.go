package scheduler

import (
	"math"
	"slices"
	"time"

	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/lib/failure"
	"github.com/lichenfall/lichenfall/lib/ordered"
)

// giveUpShare is the share of a caller's time budget after which a job that has not begun is refused,
// so that the caller has time to try another coordinator.
const giveUpShare = 0.4

// Reasons for which a job that has not begun is refused after it was admitted; reasonTooLong is another.
const (
	reasonTooLate      = "too_late"      // it would be late if it began now
	reasonCallerTime   = "caller_time"   // startTimeout has passed: the caller needs time to try elsewhere
	reasonGaveWay      = "gave_way"      // it was evicted for a job of a more urgent class
	reasonUntold       = "untold"        // not announced in time: another coordinator may run it too
	reasonAllEvacuated = "all_evacuated" // all data centres are evacuated, so nothing can be started
)

// startTimeout returns how long a job may wait to begin: as long as its answer can still be of use, and
// no longer than giveUpShare of the caller's budget. A budget of 0 is unknown.
func startTimeout(j *job, now time.Time, budget time.Duration) time.Duration {
	useful := j.uselessAt.Sub(now) - j.criticalPath
	if budget > 0 {
		useful = min(useful, time.Duration(giveUpShare*float64(budget)))
	}
	return useful
}

// giveUpUseless refuses best-effort jobs that have not begun in time, and cancels those that have begun
// but whose answer is of no use any more. Their callers get a reply at once. serving says whether any
// worker takes tasks.
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
		case serving && j.wouldBeLate(now) && !c.couldStart(now, supplies, j):
			c.refuseUnstarted(now, j, reasonTooLate, nil)
		}
	}
}

// couldStart returns whether there is free capacity for all tasks of the job that could begin at once,
// and for all tasks that precede it. That the job has not begun is then a fault, which is logged.
// supplies caches the supply of each service during one Tick.
func (c *Core) couldStart(now time.Time, supplies map[string]*supply, j *job) bool {
	t, service := j.firstReady(), j.sub.Queue.Service
	if t == nil {
		return false
	}
	if supplies[service] == nil {
		supplies[service] = c.supplyOf(now, service)
	}
	return c.fitsNow(supplies[service], t, c.coresAhead(supplies[service], t))
}

// fitsNow returns whether there is free capacity for all tasks of the task's job that could begin at
// once, after others have used ahead thousandths of a core. If there is, it logs the fault that the
// job was about to be refused.
func (c *Core) fitsNow(s *supply, t *task, ahead float64) bool {
	need, tasks := initialTasks(t.job)
	if tasks > s.startable(t, need, ahead) {
		return false
	}
	c.note(Note{What: RefusalBesideRoom, Job: t.job.id, Measure: WaitingTasks, Value: tasks, Frequent: true})
	return true
}

// coresAhead returns the thousandths of a core that the queued tasks on time of the same service need.
// All of them precede an overdue task. The task is one of them itself until dispatch moves it to the
// overdue ones.
func (c *Core) coresAhead(s *supply, t *task) float64 {
	cores := 0.0
	for o := range c.readyOf(t.job.sub.Queue.Service).onTime.all {
		cores += float64(o.step.Need.CPU) * c.reach(s, o)
	}
	return cores
}

// wouldBeLate returns whether the job would be late if it began now. While workers take tasks, such a
// job is refused so that others which can be in time get the capacity. While no worker does, a late
// answer is the best that the job can get.
func (j *job) wouldBeLate(now time.Time) bool { return now.After(j.due.Add(-j.criticalPath)) }

// review is when the queue of a service was last reviewed, and the cores at that time.
type review struct {
	at    time.Time
	cores float64 // thousandths
}

// A queue is reviewed when the service's cores have changed by reviewChange, and otherwise every
// reviewInterval.
const (
	reviewChange   = 0.05 // share of the cores
	reviewInterval = 100 * time.Millisecond
)

// reviewQueues refuses admitted jobs that have not begun and, given the work that precedes them, are no
// longer expected to begin in time, even before their due time has passed.
func (c *Core) reviewQueues(now time.Time) {
	if !c.cfg.Load.AdmitByAll || c.anyUnreported(now) {
		return
	}
	for _, service := range ordered.Keys(c.ready) {
		cores := c.availableCores(now, service)
		last := c.reviews[service]
		changed := math.Abs(cores-last.cores) > reviewChange*last.cores
		if cores == 0 || !changed && now.Sub(last.at) < reviewInterval {
			continue
		}
		c.reviews[service] = review{now, cores}
		if c.readyOf(service).onTime.Len() > 0 {
			c.reviewQueue(now, service)
		}
	}
}

// availableCores returns the thousandths of a core of the workers that take tasks, as coresOf counts them.
func (c *Core) availableCores(now time.Time, service string) float64 {
	cores := 0.0
	for _, w := range c.eligible {
		if w.identity.Service == service && c.takesTasks(now, w) {
			cores += c.coresOf(w)
		}
	}
	return cores
}

// reviewQueue reviews the tasks on time of a service in their order. A job that would wait too long is
// refused, and doesn't count as work that precedes later ones.
func (c *Core) reviewQueue(now time.Time, service string) {
	s := c.supplyOf(now, service)
	if s.cores == 0 {
		return
	}
	work, cores := 0.0, 0.0 // of the tasks before
	for _, t := range c.inOrder(service) {
		if t.position < 0 {
			continue // refused in this review
		}
		if t.job.mayBeRefused() && t == t.job.firstReady() && !c.keepOrRefuse(now, s, t, work, cores) {
			continue
		}
		reach := c.reach(s, t)
		work += t.work() * reach
		cores += float64(t.step.Need.CPU) * reach
	}
}

// keepOrRefuse returns whether a job that has not begun stays queued: it is expected to begin by its due
// time, or fits into the free capacity now. Otherwise it refuses the job.
func (c *Core) keepOrRefuse(now time.Time, s *supply, t *task, work, cores float64) bool {
	f := c.forecast(now, s, t, work)
	f.Allowed = t.due.Sub(now)
	if f.Wait() <= f.Allowed {
		return true
	}
	if c.fitsNow(s, t, cores) {
		return true
	}
	c.refuseUnstarted(now, t.job, reasonTooLong, &f)
	return false
}

// inOrder returns the service's tasks on time, in the order of their virtual deadlines.
func (c *Core) inOrder(service string) []*task {
	tasks := slices.Collect(c.readyOf(service).onTime.all)
	slices.SortFunc(tasks, func(a, b *task) int {
		if d := a.virtualDeadline().Compare(b.virtualDeadline()); d != 0 {
			return d
		}
		return byTask(a, b)
	})
	return tasks
}

// refuseUnstarted removes an admitted job that has not begun. Its callers get the failure Overloaded: no
// task has run, and they may submit the job again. f is the forecast that led to the refusal, or nil.
func (c *Core) refuseUnstarted(now time.Time, j *job, why string, f *Forecast) {
	c.note(Note{What: JobGivenUp, Job: j.id, Reason: why, Measure: JobAgeMS, Value: j.age(now), Forecast: f})
	c.removeUnstarted(now, j)
	for _, call := range j.calls {
		c.refuse(now, call, j.sub, f)
	}
}

// removeUnstarted removes an admitted best-effort job that has not begun. Its callers are left to the
// caller of this function.
func (c *Core) removeUnstarted(now time.Time, j *job) {
	c.retractAdmitted(now, j)
	for i := range j.tasks {
		c.unqueue(&j.tasks[i])
	}
	delete(c.bestEffort, j.id)
	delete(c.unclaimed, j.id)
	c.active--
}

// cancelUseless cancels a job that has begun and whose answer is of no use any more.
func (c *Core) cancelUseless(now time.Time, j *job) {
	for _, call := range j.calls {
		c.fail(call, j.id, failure.DeadlineWhileRunning)
	}
	j.calls = nil
	c.finish(now, j, durable.Cancelled, reasonTooLate)
}
