package scheduler

import (
	"slices"
	"time"

	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/wire"
)

// Limits on the recorded crashes under best-effort jobs: several times as long as callers retry,
// and some 2 MB.
const (
	crashHistoryTTL   = time.Minute
	maxCrashHistories = 10_000 // jobs
)

// crashHistory records the crashes under a best-effort job, at this coordinator and at others.
// It outlives the job: a caller that got no answer resends the job to any coordinator, and
// without the history its tasks would crash as many servers again.
type crashHistory struct {
	crashes []wire.TaskCrash
	at      time.Time // when the newest was recorded
}

// recordCrash adds a crash to the history of a best-effort job. For a task and an instance that
// are listed already, any report replaces a suspected crash; a certain one is replaced only by a
// certain one for which the job was given up.
func (c *Core) recordCrash(now time.Time, crash wire.TaskCrash) {
	m := c.crashHistories[crash.Task.Job]
	if m == nil {
		if len(c.crashHistories) >= maxCrashHistories {
			return // so many crashes are a fault of the fleet and not of single jobs
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
		m.crashes[at] = crash // now certain, or still suspected
	case !crash.Suspected && crash.GivenUp:
		m.crashes[at] = crash
	}
	m.at = now
}

// reportCrash records a crash under a best-effort job and reports it to the other coordinators.
func (c *Core) reportCrash(now time.Time, crash wire.TaskCrash) {
	c.recordCrash(now, crash)
	c.effects.Crashes = append(c.effects.Crashes, crash)
}

// reportCrashOfClosedJob reports that a backend server crashed or fell silent under a run of a
// best-effort job that is over here. Its caller may resend the job.
func (c *Core) reportCrashOfClosedJob(now time.Time, e *wire.RunEnd) {
	how := wire.End(e.How)
	silent := how == wire.EndLapsed && e.Instance != "" || how == wire.EndSuspected
	if !e.Ref.BestEffort() || how != wire.EndCrashed && !silent {
		return
	}
	crash := wire.TaskCrash{Task: e.Ref.Task, Instance: e.Instance, Begun: e.Begun, Suspected: silent}
	c.recordCrash(now, crash)
	crash.GivenUp = !silent && c.recordedCrashes(e.Ref.Task).tooManyForResent()
	c.reportCrash(now, crash)
}

// recordedCrashes returns the certain crashes in the history of the task's best-effort job.
func (c *Core) recordedCrashes(task durable.TaskID) crashes {
	var recorded crashes
	m := c.crashHistories[task.Job]
	if m == nil {
		return nil
	}
	for i := range m.crashes {
		if crash := &m.crashes[i]; crash.Task == task && !crash.Suspected {
			recorded.add(durable.Crash{Instance: crash.Instance, Begun: crash.Begun})
		}
	}
	return recorded
}

// RecordCrashes records crashes under best-effort jobs that another coordinator reports. A job that is
// here meanwhile, since its caller has sent it again, counts them too.
func (c *Core) RecordCrashes(now time.Time, m *wire.CrashReport) {
	for _, crash := range m.Crashes {
		c.recordCrash(now, crash)
		j := c.bestEffort[crash.Task.Job]
		if j == nil || crash.Suspected {
			continue
		}
		if t := j.find(crash.Task); t != nil {
			t.crashes.add(durable.Crash{Task: t.number, Instance: crash.Instance, Begun: crash.Begun})
			t.forgetSilence(crash.Instance)
		}
		if crash.GivenUp {
			c.finish(now, j, durable.Failed, reasonCrashes)
		}
	}
}

// restoreCrashes adds the recorded crashes of a resent best-effort job to its tasks. It returns
// whether the job was given up for them before, or has to be now.
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
			givenUp = givenUp || t.crashes.tooManyForResent()
		}
	}
	return givenUp
}

// expireCrashes drops the histories that are older than crashHistoryTTL.
func (c *Core) expireCrashes(now time.Time) {
	for id, m := range c.crashHistories {
		if now.Sub(m.at) > crashHistoryTTL {
			delete(c.crashHistories, id)
		}
	}
}
