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
	// refused says that the server refused connections. It has probably crashed, and is listed among
	// the crashes of the task.
	refused bool
}

// fellSilent records that an incarnation of a backend server fell silent during a run of the task.
func (t *task) fellSilent(now time.Time, instance string) {
	t.forgetSilence(instance)
	t.silences = append(t.silences, silence{instance: instance, at: now})
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

// suspended returns whether the task waits until it is known whether servers have crashed that are
// silent or refuse connections. It forgets those that are not waited for any longer.
func (t *task) suspended(now time.Time) bool {
	t.silences = slices.DeleteFunc(t.silences, func(s silence) bool { return now.Sub(s.at) >= s.limit() })
	if len(t.silences) == 0 {
		return false
	}
	if len(t.crashes) > maxUncertain {
		return true
	}
	recent := func(s silence) bool { return now.Sub(s.at) < silenceWait }
	return slices.ContainsFunc(t.silences, recent) && t.silentOnly()+len(t.crashes) >= minSilences
}

// limit returns how long the silence is remembered while it is not known whether it was a crash.
func (s silence) limit() time.Duration {
	if s.refused {
		return suspicionTTL
	}
	return silenceWait
}

// silentOnly returns how many of the silences are not listed among the crashes.
func (t *task) silentOnly() int {
	n := 0
	for _, s := range t.silences {
		if !s.refused {
			n++
		}
	}
	return n
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
