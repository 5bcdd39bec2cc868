package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/lichenfall/lichenfall/jobs/durable"
)

// These files decide which jobs are served, when and where, while the capacity does not suffice for
// all of them:
//
//	order.go       the order of waiting tasks: a virtual deadline from due time and class
//	recentwork.go  recent work by queue; which classes are underserved; expected arrivals
//	forecast.go    what precedes a job, here and at other coordinators, and how long it will wait
//	admission.go   which jobs are admitted, and which are evicted for them
//	giveup.go      which jobs are refused later, since capacity has shrunk or time has passed
//	retryafter.go  when refused callers may try again
//	placement.go   which worker runs a task
//
// docs/design/0013 gives the reasons.

// maxWaitShare is the share of its slack that a job may be expected to wait and still be admitted.
const maxWaitShare = 0.5

// Reasons for which a job is refused on arrival.
const (
	reasonNoWorker    = "no_worker"     // no worker of its service takes tasks
	reasonTooLong     = "wait_too_long" // it is not expected to begin in time
	reasonTooManyJobs = "too_many_jobs" // the coordinator holds Settings.MaxJobs
)

// admit decides whether a best-effort job that has arrived is admitted. It returns the reason for
// which the job is refused, empty if it is admitted, and the forecast of its wait. The first rule that
// applies decides:
//   - A worker that has just connected has not reported its capacity, or workers took tasks until a
//     moment ago: the job is admitted and waits for them.
//   - No worker of its service takes tasks: it is refused.
//   - There is free capacity for all tasks that could begin at once: it is admitted.
//   - It is expected to wait no longer than maxWaitShare of the slack of its first task: it is
//     admitted. If its class is underserved, this is tried again with the job in the first class.
//   - Jobs of later classes precede it, have not begun, and it would wait no longer than allowed
//     without them: they are evicted and it is admitted.
//   - Otherwise it is refused.
func (c *Core) admit(now time.Time, j *job) (f Forecast, why string) {
	service := j.sub.Queue.Service
	s := c.supplyOf(now, service)
	if c.anyUnreported(now) || c.workersServing(now) == 0 && c.Serving(now) {
		return f, ""
	}
	if s.cores == 0 {
		return Forecast{Class: j.class}, reasonNoWorker
	}
	first := &j.tasks[0]
	need, tasks := initialTasks(j)
	if tasks <= s.startable(first, need, c.unclaimedCores(service)) {
		return f, ""
	}
	f = c.forecastNew(now, s, first)
	if f.Wait() > f.Allowed && c.underserved(now, j, s.evenShare()) {
		j.class = 0
		f = c.forecastNew(now, s, first)
	}
	if f.Wait() <= f.Allowed || c.evictFor(now, s, first, f) {
		return f, ""
	}
	return f, reasonTooLong
}

// forecastNew returns the forecast for a job that has arrived and whose first task is t.
func (c *Core) forecastNew(now time.Time, s *supply, t *task) Forecast {
	f := c.forecast(now, s, t, c.workAhead(s, t.job.sub.Queue.Service, t.virtualDeadline()))
	f.Allowed = time.Duration(maxWaitShare * float64(t.due.Sub(now)))
	return f
}

// evictFor refuses jobs of later classes that have not begun and precede the task, if the task then
// waits no longer than its forecast allows. It evicts the last class first, and within a class the
// job that arrived last. It returns whether the task may now be admitted.
func (c *Core) evictFor(now time.Time, s *supply, t *task, f Forecast) bool {
	if !c.cfg.Load.OrderByPriority || t.job.class == lastClass {
		return false
	}
	excess := float64(f.Wait()-f.Allowed) * s.cores * s.scale
	var evicted []*job
	for _, j := range c.evictable(t) {
		if excess <= 0 {
			break
		}
		excess -= j.work()
		evicted = append(evicted, j)
	}
	if excess > 0 {
		return false
	}
	for _, j := range evicted {
		c.refuseUnstarted(now, j, reasonGaveWay, nil)
	}
	return true
}

// evictable returns the jobs of later classes that have not begun and precede the task, in the order
// in which they are evicted.
func (c *Core) evictable(t *task) []*job {
	var out []*job
	deadline := t.virtualDeadline()
	for o := range c.readyOf(t.job.sub.Queue.Service).onTime.all {
		j := o.job
		if j.class > t.job.class && j.mayBeRefused() && o == j.firstReady() && !o.virtualDeadline().After(deadline) {
			out = append(out, j)
		}
	}
	slices.SortFunc(out, func(a, b *job) int {
		return cmp.Or(cmp.Compare(b.class, a.class), b.received.Compare(a.received), cmp.Compare(a.id, b.id))
	})
	return out
}

// mayBeRefused returns whether the job may still be refused: it is best-effort and has not begun.
func (j *job) mayBeRefused() bool { return j.sub.BestEffort && !j.begun() }

// firstReady returns the job's first task that is queued for a worker, or nil.
func (j *job) firstReady() *task {
	for i := range j.tasks {
		if j.tasks[i].position >= 0 {
			return &j.tasks[i]
		}
	}
	return nil
}

// atJobLimit returns whether no more jobs may be accepted. The limit bounds the memory that jobs use.
func (c *Core) atJobLimit() bool { return c.active >= c.cfg.MaxJobs }

// startupGrace is how long a connected worker may take to report its capacity, and how long jobs are
// still admitted after the last worker stopped taking tasks. The first status comes within a heartbeat,
// unless the box is slow.
const startupGrace = 1500 * time.Millisecond

// anyUnreported returns whether a worker that connected less than startupGrace ago has not reported that
// it takes tasks.
func (c *Core) anyUnreported(now time.Time) bool {
	for _, w := range c.eligible {
		if w.up && !w.status.Ready && now.Sub(w.upAt) < startupGrace {
			return true
		}
	}
	return false
}

// workersServing returns the number of eligible workers that take tasks.
func (c *Core) workersServing(now time.Time) int {
	n := 0
	for _, w := range c.eligible {
		if c.takesTasks(now, w) {
			n++
		}
	}
	return n
}

// Serving returns whether workers take tasks, or did so less than startupGrace ago. It also returns true
// until the first Tick.
func (c *Core) Serving(now time.Time) bool {
	return c.servedAt.IsZero() || now.Sub(c.servedAt) < startupGrace
}

// initialTasks returns how many of the job's tasks could begin at once, and the maximum of their needs.
func initialTasks(j *job) (need durable.Resources, tasks int64) {
	for i := range j.sub.Steps {
		if step := &j.sub.Steps[i]; len(step.DependsOn) == 0 {
			need = need.Max(step.Need)
			tasks += int64(step.Count)
		}
	}
	return need, tasks
}

// workAhead returns the work of the tasks on time at this coordinator whose virtual deadline is not
// later than the given one, and of all jobs that wait for their claim, in thousandths of a core times
// nanoseconds.
func (c *Core) workAhead(s *supply, service string, deadline time.Time) float64 {
	work := c.unclaimedWork(service)
	for t := range c.readyOf(service).onTime.all {
		if !t.virtualDeadline().After(deadline) {
			work += t.work() * c.reach(s, t)
		}
	}
	return work
}

// SetSharers sets how many coordinators, with this one, share each worker of the service to which new
// tasks may go; at least 1.
func (c *Core) SetSharers(service string, sharers float64) { c.sharers[service] = sharers }
