package scheduler

import (
	"slices"
	"time"

	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/wire"
)

// A task may crash each backend server that starts it. So its job is given up once so many
// have crashed under the task: a crash takes with it all that runs there, and the server
// for some seconds. Without a bound one task ended all of eleven servers within 0.3 s, and
// nearly all calls were refused for two. The users' platform lets a job be given up from two
// crashes on, and a task be started twice more after the third.
const (
	crashesAlone    = 2 // under runs of a best-effort job's task that were at work, the last one with no other suspect there
	crashesBegun    = 3 // under runs that were at work, whoever was with them
	crashesPossible = 4 // also under runs of which no answer told whether they had begun
)

const reasonCrashes = "servers_crashed" // of a job that was given up

// crashes are the backend servers that crashed under one task.
type crashes []durable.Crash

// add notes a crash, if it is new.
func (c *crashes) add(crash durable.Crash) {
	same := func(o durable.Crash) bool { return o.Instance == crash.Instance }
	if !slices.ContainsFunc(*c, same) {
		*c = append(*c, crash)
	}
}

// begun returns how many of the runs were at work.
func (c crashes) begun() int {
	n := 0
	for i := range c {
		if c[i].Begun {
			n++
		}
	}
	return n
}

// tooMany returns whether the task is not to be started again. alone says that it was the
// only suspect in the last crash: those that were with it by chance in an earlier one must
// not be given up for it.
func (c crashes) tooMany(alone bool) bool {
	begun := c.begun()
	return alone && begun >= crashesAlone || begun >= crashesBegun || len(c) >= crashesPossible
}

// runCrashed takes the end of a run that was lost with its backend server. It returns
// whether the job is given up for it.
func (c *Core) runCrashed(now time.Time, t *task, e *wire.RunEnd) (givenUp bool) {
	t.crashes.add(durable.Crash{Task: t.number, Instance: e.Instance, Begun: e.Begun})
	t.forgetSilence(e.Instance)
	// Of one crash a worker may be wrong: the run had ended, and the end went with the
	// server unheard. A kept job is not called failed on the word of two.
	alone := e.Alone && t.job.sub.BestEffort
	givenUp = t.crashes.tooMany(alone)
	if t.job.sub.BestEffort {
		crash := wire.TaskCrash{Task: t.id, Instance: e.Instance, Begun: e.Begun, GivenUp: givenUp}
		c.reportCrash(now, crash)
	}
	if givenUp {
		c.finish(now, t.job, durable.Failed, reasonCrashes)
	}
	return givenUp
}

// hasSuspect returns whether a task is with the worker under which a backend server has
// crashed.
func (w *worker) hasSuspect() bool {
	for t := range w.assigned {
		if len(t.crashes) > 0 {
			return true
		}
	}
	return false
}
