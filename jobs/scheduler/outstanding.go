package scheduler

import (
	"time"

	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/lib/ordered"
	"github.com/lichenfall/lichenfall/wire"
)

// outstandingRuns tracks the runs of a best-effort job that is over here but whose runs may still
// be at work.
type outstandingRuns struct {
	sent  time.Time // when the job was sent, as far as is known
	until time.Time // when the runs have certainly ended, whatever their workers report
	runs  map[wire.RunRef]struct{}
}

// trackOutstanding records the runs that are with workers when a best-effort job ends.
func (c *Core) trackOutstanding(now time.Time, j *job) {
	e := &outstandingRuns{sent: j.sent, until: now.Add(c.cfg.BestEffortWriteOff), runs: make(map[wire.RunRef]struct{})}
	for i := range j.tasks {
		if t := &j.tasks[i]; t.state == taskAssigned {
			e.runs[t.ref()] = struct{}{}
		}
	}
	if len(e.runs) > 0 {
		c.outstanding[j.id] = e
	}
}

// outstandingRunEnded records the end of a run of a job that is over.
func (c *Core) outstandingRunEnded(ref wire.RunRef) {
	e := c.outstanding[ref.Task.Job]
	if e == nil {
		return
	}
	delete(e.runs, ref)
	if len(e.runs) == 0 {
		delete(c.outstanding, ref.Task.Job)
	}
}

// expireOutstanding drops the jobs whose runs have certainly ended.
func (c *Core) expireOutstanding(now time.Time) {
	for _, id := range ordered.Keys(c.outstanding) {
		if !now.Before(c.outstanding[id].until) {
			delete(c.outstanding, id)
		}
	}
}

// HasOutstandingRuns returns whether the best-effort job is over here while runs of it may still
// be at work.
func (c *Core) HasOutstandingRuns(id durable.JobID) bool { return c.outstanding[id] != nil }
