package scheduler

import (
	"time"

	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/lib/ordered"
	"github.com/lichenfall/lichenfall/wire"
)

// ending is a best-effort job that is over here, and whose runs may not be.
type ending struct {
	sent  time.Time // as the job's
	until time.Time // when the runs are dead for certain, whatever their workers say
	runs  map[wire.RunRef]struct{}
}

// awaitEnds notes the runs of a best-effort job that was ended while they were with workers.
func (c *Core) awaitEnds(now time.Time, j *job) {
	e := &ending{sent: j.sent, until: now.Add(c.cfg.BestEffortWriteOff), runs: make(map[wire.RunRef]struct{})}
	for i := range j.tasks {
		if t := &j.tasks[i]; t.state == taskAssigned {
			e.runs[t.ref()] = struct{}{}
		}
	}
	if len(e.runs) > 0 {
		c.outstanding[j.id] = e
	}
}

// runOver notes the end of a run of a job that is over.
func (c *Core) runOver(ref wire.RunRef) {
	e := c.outstanding[ref.Task.Job]
	if e == nil {
		return
	}
	delete(e.runs, ref)
	if len(e.runs) == 0 {
		delete(c.outstanding, ref.Task.Job)
	}
}

// forgetEndings drops the jobs whose runs are dead for certain.
func (c *Core) forgetEndings(now time.Time) {
	for _, id := range ordered.Keys(c.outstanding) {
		if !now.Before(c.outstanding[id].until) {
			delete(c.outstanding, id)
		}
	}
}

// HasOutstandingRuns returns whether the best-effort job is over here while its runs may not be.
func (c *Core) HasOutstandingRuns(id durable.JobID) bool { return c.outstanding[id] != nil }
