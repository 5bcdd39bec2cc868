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

// A backend server that refused connections until the lease of its runs was over may have crashed, or may
// live on. Such a suspected crash counts at once towards the question whether the task is started
// again, but a job fails only for crashes that are certain: its task waits until the server has
// answered, or another incarnation has.
const (
	maxUncertain = 4                // suspected and certain crashes, up to which the task is started again
	suspicionTTL = 30 * time.Second // after which a suspected crash counts as certain, as no worker remembers it
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

// tooManyForResent returns whether the task must not be started for a job that is sent again. The lower
// limit applies: crashes of the earlier runs may be missing, since the processes that knew of them
// may have been lost since.
func (c crashes) tooManyForResent() bool { return c.tooMany(true) }

// runCrashed handles the end of a run that was lost in a crash of its backend server, and
// returns whether the job is given up. A crash under a best-effort job is also reported to the
// other coordinators.
func (c *Core) runCrashed(now time.Time, t *task, e *wire.RunEnd) (givenUp bool) {
	t.crashes.add(durable.Crash{Task: t.number, Instance: e.Instance, Begun: e.Begun})
	t.forgetSilence(e.Instance)
	// A worker's report of a crash may be wrong: the run may have ended before, and its end
	// been lost with the server. So two reports are not enough to fail a durable job.
	alone := e.Alone && t.job.sub.BestEffort
	givenUp = t.certainCrashes().tooMany(alone)
	if t.job.sub.BestEffort {
		crash := wire.TaskCrash{Task: t.id, Instance: e.Instance, Begun: e.Begun, GivenUp: givenUp}
		c.reportCrash(now, crash)
	}
	if givenUp {
		c.finish(now, t.job, durable.Failed, reasonCrashes)
	}
	return givenUp
}

// suspectCrash records that a backend server has perhaps crashed under the task: it refused connections
// until the lease was over. Other coordinators are informed if the task is of a best-effort job.
func (c *Core) suspectCrash(now time.Time, t *task, e *wire.RunEnd) {
	t.crashes.add(durable.Crash{Task: t.number, Instance: e.Instance, Begun: e.Begun})
	t.forgetSilence(e.Instance)
	t.silences = append(t.silences, silence{instance: e.Instance, at: now, refused: true})
	if t.job.sub.BestEffort {
		c.reportCrash(now, wire.TaskCrash{Task: t.id, Instance: e.Instance, Suspected: true})
	}
}

// certainCrashes returns the crashes that are not merely suspected.
func (t *task) certainCrashes() crashes {
	suspected := func(crash durable.Crash) bool {
		return slices.ContainsFunc(t.silences, func(s silence) bool { return s.refused && s.instance == crash.Instance })
	}
	return slices.DeleteFunc(slices.Clone(t.crashes), suspected)
}

// incarnationAnswers takes back what was suspected of a backend server: the incarnation answers, so it
// has not crashed.
func (c *Core) incarnationAnswers(instance string) {
	for _, j := range c.bestEffort {
		j.takeBackCrash(instance)
	}
	for _, p := range c.partitions {
		for _, j := range p.jobs {
			j.takeBackCrash(instance)
		}
	}
}

func (j *job) takeBackCrash(instance string) {
	for i := range j.tasks {
		t := &j.tasks[i]
		if len(t.silences)+len(t.crashes) == 0 {
			continue
		}
		t.forgetSilence(instance)
		t.crashes = slices.DeleteFunc(t.crashes, func(crash durable.Crash) bool { return crash.Instance == instance })
	}
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
