package scheduler

import (
	"time"

	"github.com/lichenfall/lichenfall/jobs/durable"
)

// admitShare is the share of its slack that a job may be thought to wait.
const admitShare = 0.5

// admit returns whether a best-effort job can be thought to begin in time, with
// how long it would wait and how long it may. It is refused at once otherwise,
// unless there is room for it now.
func (c *Core) admit(now time.Time, j *job) (wait, bound time.Duration, ok bool) {
	service := j.sub.Queue.Service
	need, tasks := firstTasks(j)
	var capacity, room int64
	for _, cand := range c.candidates(now, service) {
		capacity += cand.w.identity.Capacity.CPU
		room += need.Times(cand.free)
	}
	if c.someUnknown(now) || c.serving(now) == 0 && c.Serving(now) {
		return 0, 0, true // it waits its time for those who may come
	}
	if capacity == 0 {
		return 0, 0, false
	}
	if tasks <= room {
		return 0, 0, true
	}
	if n := len(c.chosen); n > mostLooked {
		capacity = capacity * int64(n) / mostLooked
	}
	first := &j.tasks[0]
	ours := float64(capacity) / max(1, c.sharers[service])
	wait = time.Duration(c.workBefore(service, first.want()) / ours)
	bound = time.Duration(admitShare * float64(first.due.Sub(now)))
	return wait, bound, wait <= bound
}

// comingUp is how long a connected worker may take to say what it has.
const comingUp = 1500 * time.Millisecond

// someUnknown returns whether there are workers that may have room but have
// not said so yet.
func (c *Core) someUnknown(now time.Time) bool {
	for _, w := range c.chosen {
		if w.up && !w.status.Ready && now.Sub(w.upAt) < comingUp {
			return true
		}
	}
	return false
}

// serving returns how many workers can be reached and take tasks.
func (c *Core) serving(now time.Time) int {
	n := 0
	for _, w := range c.chosen {
		if w.up && w.status.Ready && now.Sub(w.heardAt) <= c.cfg.Suspect {
			n++
		}
	}
	return n
}

// Serving returns whether there are workers that take tasks, or were until a
// moment ago, or this process has only begun.
func (c *Core) Serving(now time.Time) bool {
	return c.served.IsZero() || now.Sub(c.served) < comingUp
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
func (c *Core) workBefore(service string, want time.Time) float64 {
	work := 0.0
	for _, t := range c.readyOf(service).onTime.tasks {
		if !t.want().After(want) {
			work += float64(t.step.Need.CPU) * float64(t.step.Estimate())
		}
	}
	return work
}

// Shared tells the core how many coordinators share each of the service's
// workers that new tasks may go to, this one among them: 1 or more.
func (c *Core) Shared(service string, sharers float64) { c.sharers[service] = sharers }
