package scheduler

import (
	"slices"
	"time"

	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/wire"
)

// A task may crash every backend server that starts it. Each crash loses all runs on that
// server, and the server itself for some seconds. Without a limit one task crashed all of
// eleven servers within 0.3 s, and nearly all calls were refused for two seconds. So the job is
// given up once this many servers have crashed under one of its tasks. The users' platform
// allows a job to be given up from two crashes on, and a task to be started twice more after the
// third.
const (
	crashLimitAlone = 2 // best-effort jobs: crashes under started runs, with no other suspect at the last crash
	crashLimitBegun = 3 // crashes under started runs, whatever else ran there
	crashLimitTotal = 4 // all crashes, also under runs that are not known to have started
)

const reasonCrashes = "servers_crashed" // of a job given up by these limits

// crashes lists the backend servers that crashed while they ran one task.
type crashes []durable.Crash

// add records a crash, unless that backend server instance is already listed.
func (c *crashes) add(crash durable.Crash) {
	same := func(o durable.Crash) bool { return o.Instance == crash.Instance }
	if !slices.ContainsFunc(*c, same) {
		*c = append(*c, crash)
	}
}

// begun returns under how many of the crashes the run was known to have started.
func (c crashes) begun() int {
	n := 0
	for i := range c {
		if c[i].Begun {
			n++
		}
	}
	return n
}

// tooMany returns whether the task must not be started again. alone says that the task was the
// only suspect in the last crash. Without it the lower limit doesn't apply: tasks that only
// happened to run beside the culprit of an earlier crash must not be given up for it.
func (c crashes) tooMany(alone bool) bool {
	begun := c.begun()
	return alone && begun >= crashLimitAlone || begun >= crashLimitBegun || len(c) >= crashLimitTotal
}

// runCrashed handles the end of a run that was lost in a crash of its backend server, and
// returns whether the job is given up. A crash under a best-effort job is also reported to the
// other coordinators.
func (c *Core) runCrashed(now time.Time, t *task, e *wire.RunEnd) (givenUp bool) {
	t.crashes.add(durable.Crash{Task: t.number, Instance: e.Instance, Begun: e.Begun})
	t.forgetSilence(e.Instance)
	// A worker's report of a crash may be wrong: the run may have ended before, and its end
	// been lost with the server. So two reports are not enough to fail a durable job.
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

// hasSuspect returns whether a task assigned to the worker has had a backend server crash
// under it.
func (w *worker) hasSuspect() bool {
	for t := range w.assigned {
		if len(t.crashes) > 0 {
			return true
		}
	}
	return false
}
