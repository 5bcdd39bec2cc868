package scheduler

import (
	"slices"
	"time"

	"github.com/lichenfall/lichenfall/lib/ordered"
	"github.com/lichenfall/lichenfall/wire"
)

// Where a backend server's box goes with it, nothing tells of the crash: calls have no
// answer and the runs lapse. Its next life at the address does, some seconds later. Until
// then a task under which so many servers have crashed or fallen silent waits, so that it
// does not end one server more with each second of not knowing. An innocent task is held
// up so long at the most.
const (
	silencesToWait = 2                       // servers; after one the task goes on at once
	silenceWait    = 2500 * time.Millisecond // less than the 3 s for which the users let a job stand still
)

// silence is a life of a backend server that fell silent under a run.
type silence struct {
	instance string
	at       time.Time // when the run was over
}

// fellSilent notes that a backend server fell silent under the task.
func (t *task) fellSilent(now time.Time, instance string) {
	t.forgetSilence(instance)
	t.silences = append(t.silences, silence{instance, now})
}

// forgetSilence forgets a silence that has turned out to be a crash.
func (t *task) forgetSilence(instance string) {
	t.silences = slices.DeleteFunc(t.silences, func(s silence) bool { return s.instance == instance })
}

// runLapsed takes the end of a run whose lease was over. Under a silent server it may have
// been a crash.
func (c *Core) runLapsed(now time.Time, t *task, e *wire.RunEnd) {
	if e.Instance == "" {
		return
	}
	t.fellSilent(now, e.Instance)
	if t.job.sub.BestEffort {
		c.reportCrash(now, wire.TaskCrash{Task: t.id, Instance: e.Instance, Suspected: true})
	}
}

// suspended returns whether the task waits for news of servers that fell silent under it.
func (t *task) suspended(now time.Time) bool {
	t.silences = slices.DeleteFunc(t.silences, func(s silence) bool { return now.Sub(s.at) >= silenceWait })
	return len(t.silences) > 0 && len(t.silences)+len(t.crashes) >= silencesToWait
}

// resumeTasks lets the tasks go on whose wait is over.
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
