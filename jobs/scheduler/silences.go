package scheduler

import (
	"slices"
	"time"

	"github.com/lichenfall/lichenfall/lib/ordered"
	"github.com/lichenfall/lichenfall/wire"
)

// When a backend server crashes together with its box, nothing reports the crash at first: calls get
// no answer and the leases of its runs lapse. The server's next incarnation at the same address shows
// the crash some seconds later. Until then, a task under which several servers have crashed or fallen
// silent is suspended, so that it does not crash another server with each second of uncertainty. A
// task that is not at fault is delayed by silenceWait at most.
const (
	minSilences = 2                       // servers from which on a task is suspended; after one it is queued at once
	silenceWait = 2500 * time.Millisecond // less than the 3 s for which the users let a job stand still
)

// silence is an incarnation of a backend server that fell silent during a run.
type silence struct {
	instance string
	at       time.Time // when the run ended
}

// fellSilent records that an incarnation of a backend server fell silent during a run of the task.
func (t *task) fellSilent(now time.Time, instance string) {
	t.forgetSilence(instance)
	t.silences = append(t.silences, silence{instance, now})
}

// forgetSilence removes the record of a silence, for example because it has turned out to be a crash.
func (t *task) forgetSilence(instance string) {
	t.silences = slices.DeleteFunc(t.silences, func(s silence) bool { return s.instance == instance })
}

// runLapsed handles the end of a run whose lease has lapsed. If the backend server was silent it may
// have crashed.
func (c *Core) runLapsed(now time.Time, t *task, e *wire.RunEnd) {
	if e.Instance == "" {
		return
	}
	t.fellSilent(now, e.Instance)
	if t.job.sub.BestEffort {
		c.reportCrash(now, wire.TaskCrash{Task: t.id, Instance: e.Instance, Suspected: true})
	}
}

// suspended returns whether the task waits until it is known whether silent servers have crashed. It
// forgets silences that are older than silenceWait.
func (t *task) suspended(now time.Time) bool {
	t.silences = slices.DeleteFunc(t.silences, func(s silence) bool { return now.Sub(s.at) >= silenceWait })
	return len(t.silences) > 0 && len(t.silences)+len(t.crashes) >= minSilences
}

// resumeTasks queues the tasks that need not be suspended any longer.
func (c *Core) resumeTasks(now time.Time) {
	for _, t := range ordered.KeysFunc(c.suspended, byTask) {
		final := t.job.state.Final()
		if !final && t.suspended(now) {
			continue
		}
		delete(c.suspended, t)
		if !final && t.state == taskBlocked {
			c.enqueue(now, t)
		}
	}
}
