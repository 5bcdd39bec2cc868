package scheduler

import (
	"time"

	"github.com/lichenfall/lichenfall/jobs/durable"
)

// admitShare is the share of its slack that a job may be thought to wait. In an overload
// 84.0 % of what the answers are worth to callers was earned, 83.6 % with 0.8; measured
// once.
const admitShare = 0.5

// admit returns whether a best-effort job can be thought to begin in time, with
// how long it would wait and how long it may. It is refused at once otherwise. The
// first of these that applies decides:
//   - some worker may have room and has not said so, or there were workers until a
//     moment ago: it is taken, and waits for them;
//   - no worker of its service takes tasks: it is refused;
//   - there is room now, in whole tasks, for all that could begin: it is taken;
//   - else the work of the tasks that come first, over our share of the capacity,
//     is its wait, and it may take admitShare of the slack of its first task.
func (c *Core) admit(now time.Time, j *job) (wait, allowed time.Duration, ok bool) {
	service := j.sub.Queue.Service
	need, tasks := firstTasks(j)
	var capacity, room int64
	for _, cand := range c.candidates(now, service) {
		capacity += cand.w.identity.Capacity.CPU
		room += need.Times(cand.free)
	}
	if c.someUnreported(now) || c.serving(now) == 0 && c.Serving(now) {
		return 0, 0, true
	}
	if capacity == 0 {
		return 0, 0, false
	}
	if tasks <= room {
		return 0, 0, true
	}
	if n := len(c.eligible); n > maxCandidates {
		capacity = capacity * int64(n) / maxCandidates
	}
	first := &j.tasks[0]
	ours := float64(capacity) / max(1, c.sharers[service])
	wait = time.Duration(c.workBefore(service, first.turn()) / ours)
	allowed = time.Duration(admitShare * float64(first.due.Sub(now)))
	return wait, allowed, wait <= allowed
}

// full returns whether no more jobs may be taken, so that their state stays
// within the box's memory.
func (c *Core) full() bool { return c.active >= c.cfg.MaxJobs }

// startupGrace is how long a connected worker may take to say what it has, and
// how long a coordinator without workers lets its callers hope. Chosen, not
// measured: the first status comes within a heartbeat, unless the box is slow.
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

// serving returns how many workers can be reached and take tasks.
func (c *Core) serving(now time.Time) int {
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
		if !t.turn().After(turn) {
			work += float64(t.step.Need.CPU) * float64(t.step.Estimate())
		}
	}
	return work
}

// SetSharers tells the core how many coordinators share each of the service's
// workers that new tasks may go to, this one among them: 1 or more.
func (c *Core) SetSharers(service string, sharers float64) { c.sharers[service] = sharers }
