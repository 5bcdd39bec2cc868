package scheduler

import (
	"slices"
	"time"

	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/wire"
)

// Bounds of what is remembered of crashes under best-effort jobs. Chosen, not measured: some
// times as long as callers try, and some 2 MB.
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
	if !slices.Contains(m.crashes, crash) {
		m.crashes = append(m.crashes, crash)
	}
	m.at = now
}

// HearCrashes takes what another coordinator tells of crashes under best-effort jobs.
func (c *Core) HearCrashes(now time.Time, m *wire.CrashNews) {
	for _, crash := range m.Crashes {
		c.rememberCrash(now, crash)
	}
}

// recallCrashes gives the tasks of a best-effort job that was here or elsewhere before their
// crashes. It returns whether the job was given up for them.
func (c *Core) recallCrashes(j *job) (givenUp bool) {
	m := c.crashed[j.id]
	if m == nil {
		return false
	}
	for i := range m.crashes {
		crash := &m.crashes[i]
		givenUp = givenUp || crash.GivenUp
		if t := j.find(crash.Task); t != nil {
			t.crashes.add(durable.Crash{Task: t.number, Instance: crash.Instance, Begun: crash.Begun})
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
