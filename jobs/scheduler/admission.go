package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/lichenfall/lichenfall/jobs/durable"
)

// Who is served, where, and why, when not all fit:
//
//	turn.go       the order of all that waits: one time a task, by its due time and class
//	flows.go      what came of late by queue; which class is left behind
//	forecast.go   what stands before a job, here and at other coordinators, and its wait
//	admission.go  who is let in, and who gives way
//	giveup.go     who is refused later, when room has shrunk or time has passed
//	retryafter.go when who was refused is told to come back
//	placement.go  which worker a task goes to
//
// docs/design/0013 has the reasons.

// admitShare is the share of its slack that a job may be thought to wait.
const admitShare = 0.5

// Why a job was refused on its arrival.
const (
	reasonNoWorker    = "no_worker"     // none of its service takes tasks
	reasonTooLong     = "wait_too_long" // it could not be thought to begin in time
	reasonTooManyJobs = "too_many_jobs"
)

// admit returns why a best-effort job cannot be thought to begin in time, or nothing if it can,
// with what it would wait for. It is refused at once otherwise. The first of these that applies
// decides:
//   - some worker may have room and has not said so, or there were workers until a
//     moment ago: it is taken, and waits for them;
//   - no worker of its service takes tasks: it is refused;
//   - there is room now, in whole tasks, for all that could begin: it is taken;
//   - it waits for what comes before it no longer than admitShare of the slack of its first
//     task, as a job of the first class if its own is left behind: it is taken;
//   - jobs of later classes that have not begun come before it, and without them it would
//     not wait longer: they give way.
func (c *Core) admit(now time.Time, j *job) (f Forecast, why string) {
	service := j.sub.Queue.Service
	s := c.supplyOf(now, service)
	if c.someUnreported(now) || c.workersServing(now) == 0 && c.Serving(now) {
		return f, ""
	}
	if s.cores == 0 {
		return Forecast{Class: j.class}, reasonNoWorker
	}
	first := &j.tasks[0]
	need, tasks := firstTasks(j)
	if tasks <= s.room(first, need, 0) {
		return f, ""
	}
	f = c.forecastNew(now, s, first)
	if f.Wait() > f.Allowed && c.leftBehind(now, j, s.ours()) {
		j.class = 0
		f = c.forecastNew(now, s, first)
	}
	if f.Wait() <= f.Allowed || c.makeWay(now, s, first, f) {
		return f, ""
	}
	return f, reasonTooLong
}

// forecastNew returns how long a new job will wait whose first task is t.
func (c *Core) forecastNew(now time.Time, s *supply, t *task) Forecast {
	f := c.forecast(now, s, t, c.workBefore(t.job.sub.Queue.Service, t.virtualDeadline()))
	f.Allowed = time.Duration(admitShare * float64(t.due.Sub(now)))
	return f
}

// makeWay refuses jobs of later classes that have not begun and come before the task, those of
// the last class first and of these the last to come, if without them the task waits no longer than
// it may. It returns whether it does.
func (c *Core) makeWay(now time.Time, s *supply, t *task, f Forecast) bool {
	if !c.cfg.Load.OrderByPriority || t.job.class == lastClass {
		return false
	}
	excess := float64(f.Wait()-f.Allowed) * s.cores * s.scale
	var give []*job
	for _, j := range c.behind(t) {
		if excess <= 0 {
			break
		}
		excess -= j.work()
		give = append(give, j)
	}
	if excess > 0 {
		return false
	}
	for _, j := range give {
		c.refuseUnstarted(now, j, reasonGaveWay, nil)
	}
	return true
}

// behind returns the jobs of later classes that have not begun and come before the task, in the
// order in which they give way.
func (c *Core) behind(t *task) []*job {
	var out []*job
	turn := t.virtualDeadline()
	for _, o := range c.readyOf(t.job.sub.Queue.Service).onTime.tasks {
		j := o.job
		if j.class > t.job.class && j.mayGiveWay() && o == j.firstReady() && !o.virtualDeadline().After(turn) {
			out = append(out, j)
		}
	}
	slices.SortFunc(out, func(a, b *job) int {
		return cmp.Or(cmp.Compare(b.class, a.class), b.received.Compare(a.received), cmp.Compare(a.id, b.id))
	})
	return out
}

// mayGiveWay returns whether the job may be refused now: it has not run, and its caller waits.
func (j *job) mayGiveWay() bool { return j.sub.BestEffort && !j.begun() }

// firstReady returns the job's first task that wants a worker, or nil.
func (j *job) firstReady() *task {
	for i := range j.tasks {
		if j.tasks[i].position >= 0 {
			return &j.tasks[i]
		}
	}
	return nil
}

// atJobLimit returns whether no more jobs may be taken, so that their state stays
// within the box's memory.
func (c *Core) atJobLimit() bool { return c.active >= c.cfg.MaxJobs }

// startupGrace is how long a connected worker may take to say what it has, and how long a
// coordinator without workers lets its callers hope: the first status comes within a
// heartbeat, unless the box is slow.
const startupGrace = 1500 * time.Millisecond

// someUnreported returns whether there are workers that may have room but have
// not said so yet.
func (c *Core) someUnreported(now time.Time) bool {
	for _, w := range c.eligible {
		if w.up && !w.status.Ready && now.Sub(w.upAt) < startupGrace {
			return true
		}
	}
	return false
}

// workersServing returns how many workers can be reached and take tasks.
func (c *Core) workersServing(now time.Time) int {
	n := 0
	for _, w := range c.eligible {
		if c.takesTasks(now, w) {
			n++
		}
	}
	return n
}

// Serving returns whether there are workers that take tasks, or were until a
// moment ago, or this process has only begun.
func (c *Core) Serving(now time.Time) bool {
	return c.servedAt.IsZero() || now.Sub(c.servedAt) < startupGrace
}

// firstTasks returns how many tasks could begin at once, and the most that one
// of them takes.
func firstTasks(j *job) (need durable.Resources, tasks int64) {
	for i := range j.sub.Steps {
		if step := &j.sub.Steps[i]; len(step.DependsOn) == 0 {
			need = need.Max(step.Need)
			tasks += int64(step.Count)
		}
	}
	return need, tasks
}

// workBefore returns the work of the tasks that are on time and come first, in
// thousandths of a core times nanoseconds.
func (c *Core) workBefore(service string, turn time.Time) float64 {
	work := 0.0
	for _, t := range c.readyOf(service).onTime.tasks {
		if !t.virtualDeadline().After(turn) {
			work += t.work()
		}
	}
	return work
}

// SetSharers tells the core how many coordinators share each of the service's
// workers that new tasks may go to, this one among them: 1 or more.
func (c *Core) SetSharers(service string, sharers float64) { c.sharers[service] = sharers }
