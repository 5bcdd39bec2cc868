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
	crashHistoryTTL   = time.Minute
	maxCrashHistories = 10_000 // jobs
)

// crashHistory is what is known of the crashes under a best-effort job, here and at other
// coordinators. It outlives the job: a caller who had no answer sends it again, to any
// coordinator, and its tasks would crash as many servers each time.
type crashHistory struct {
	crashes []wire.TaskCrash
	at      time.Time // of the newest
}

// recordCrash notes a crash under a best-effort job.
func (c *Core) recordCrash(now time.Time, crash wire.TaskCrash) {
	m := c.crashHistories[crash.Task.Job]
	if m == nil {
		if len(c.crashHistories) >= maxCrashHistories {
			return // a fleet that crashes as a whole: its jobs are not to blame
		}
		m = &crashHistory{}
		c.crashHistories[crash.Task.Job] = m
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
	c.recordCrash(now, crash)
	c.effects.Crashes = append(c.effects.Crashes, crash)
}

// reportCrashOfClosedJob takes the crash of a server, or its silence, under a run of a best-effort job
// that is no longer here: its caller may send it again.
func (c *Core) reportCrashOfClosedJob(now time.Time, e *wire.RunEnd) {
	how := wire.End(e.How)
	silent := how == wire.EndLapsed && e.Instance != ""
	if e.Ref.BestEffort() && (how == wire.EndCrashed || silent) {
		c.reportCrash(now, wire.TaskCrash{Task: e.Ref.Task, Instance: e.Instance, Begun: e.Begun, Suspected: silent})
	}
}

// RecordCrashes takes what another coordinator tells of crashes under best-effort jobs.
func (c *Core) RecordCrashes(now time.Time, m *wire.CrashNews) {
	for _, crash := range m.Crashes {
		c.recordCrash(now, crash)
	}
}

// restoreCrashes gives the tasks of a best-effort job that was here or elsewhere before their
// crashes. It returns whether the job was given up for them, or is now.
func (c *Core) restoreCrashes(now time.Time, j *job) (givenUp bool) {
	m := c.crashHistories[j.id]
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

// expireCrashes forgets the crashes that are long past.
func (c *Core) expireCrashes(now time.Time) {
	for id, m := range c.crashHistories {
		if now.Sub(m.at) > crashHistoryTTL {
			delete(c.crashHistories, id)
		}
	}
}
