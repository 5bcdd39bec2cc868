package scheduler

import (
	"slices"
	"time"

	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/wire"
)

// Bounds of what is remembered of crashes under best-effort jobs. Some times as long as
// callers try, and some 2 MB.
const (
	rememberCrashes = time.Minute
	maxRemembered   = 10_000 // jobs
)

// crashMemory is what is known of the crashes under a best-effort job, here and at other
// coordinators. It outlives the job: a caller who had no answer sends it again, to any
// coordinator, and its tasks would crash as many servers each time.
type crashMemory struct {
	crashes []wire.TaskCrash
	at      time.Time // of the newest
}

// rememberCrash notes a crash under a best-effort job.
func (c *Core) rememberCrash(now time.Time, crash wire.TaskCrash) {
	m := c.crashed[crash.Task.Job]
	if m == nil {
		if len(c.crashed) >= maxRemembered {
			return // a fleet that crashes as a whole: its jobs are not to blame
		}
		m = &crashMemory{}
		c.crashed[crash.Task.Job] = m
	}
	same := func(o wire.TaskCrash) bool { return o.Task == crash.Task && o.Instance == crash.Instance }
	at := slices.IndexFunc(m.crashes, same)
	switch {
	case at < 0:
		m.crashes = append(m.crashes, crash)
	case m.crashes[at].Suspected:
		m.crashes[at] = crash // it is certain now, or still suspected
	case !crash.Suspected && crash.GivenUp:
		m.crashes[at] = crash
	}
	m.at = now
}

// reportCrash notes a crash under a best-effort job here and at the other coordinators.
func (c *Core) reportCrash(now time.Time, crash wire.TaskCrash) {
	c.rememberCrash(now, crash)
	c.effects.Crashes = append(c.effects.Crashes, crash)
}

// crashOfGone takes the crash of a server, or its silence, under a run of a best-effort job
// that is no longer here: its caller may send it again.
func (c *Core) crashOfGone(now time.Time, e *wire.RunEnd) {
	how := wire.End(e.How)
	silent := how == wire.EndLapsed && e.Instance != ""
	if e.Ref.BestEffort() && (how == wire.EndCrashed || silent) {
		c.reportCrash(now, wire.TaskCrash{Task: e.Ref.Task, Instance: e.Instance, Begun: e.Begun, Suspected: silent})
	}
}

// RecordCrashes takes what another coordinator tells of crashes under best-effort jobs.
func (c *Core) RecordCrashes(now time.Time, m *wire.CrashReport) {
	for _, crash := range m.Crashes {
		c.rememberCrash(now, crash)
	}
}

// restoreCrashes gives the tasks of a best-effort job that was here or elsewhere before their
// crashes. It returns whether the job was given up for them, or is now.
func (c *Core) restoreCrashes(now time.Time, j *job) (givenUp bool) {
	m := c.crashed[j.id]
	if m == nil {
		return false
	}
	for i := range m.crashes {
		crash := &m.crashes[i]
		givenUp = givenUp || crash.GivenUp
		t := j.find(crash.Task)
		switch {
		case t == nil:
		case crash.Suspected:
			t.fellSilent(now, crash.Instance)
		default:
			t.crashes.add(durable.Crash{Task: t.number, Instance: crash.Instance, Begun: crash.Begun})
			givenUp = givenUp || t.crashes.tooMany(false)
		}
	}
	return givenUp
}

// forgetCrashes forgets the crashes that are long past.
func (c *Core) forgetCrashes(now time.Time) {
	for id, m := range c.crashed {
		if now.Sub(m.at) > rememberCrashes {
			delete(c.crashed, id)
		}
	}
}
