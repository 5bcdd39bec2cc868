package scheduler

import (
	"time"

	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/wire"
)

// Ends takes ends of runs.
func (c *Core) Ends(now time.Time, name string, m *wire.RunEnds) {
	w := c.workers[name]
	if w == nil {
		return
	}
	for i := range m.Ends {
		c.handleEnd(now, w, &m.Ends[i])
	}
}

func (c *Core) handleEnd(now time.Time, w *worker, e *wire.RunEnd) {
	j := c.find(e.Ref.Task.Job)
	if j == nil || j.state.Final() {
		c.handleEndOfClosedJob(now, w, j, e)
		return
	}
	t := j.find(e.Ref.Task)
	if t == nil {
		c.sendAcks([]ack{{w.name, e.Ref}})
		return
	}
	if t.state == taskDone {
		c.ackWithProgress(now, w, t, e) // reported again: the store may not have it yet
		return
	}
	if t.state == taskAssigned && (t.worker != w || t.run != e.Ref.Run) {
		c.handleEarlierEnd(now, w, t, e)
		return
	}
	c.unqueue(t)
	c.setBegun(now, j, j.assigned, j.ran || wire.End(e.How) != wire.EndNotRun)
	c.unassign(now, t)
	t.run = max(t.run, e.Ref.Run)
	c.applyEnd(now, w, t, e)
}

// handleEarlierEnd takes the end of a run before the present one. One that failed or crashed its
// server counts, if an earlier owner heard of it and did not keep it; any other was
// told too late to matter: the worker has let its lease lapse since.
func (c *Core) handleEarlierEnd(now time.Time, w *worker, t *task, e *wire.RunEnd) {
	how := wire.End(e.How)
	if how == wire.EndCrashed {
		c.ackWithProgress(now, w, t, e)
		c.runCrashed(now, t, e)
		return
	}
	if how != wire.EndFailed || t.job.sub.BestEffort {
		c.sendAcks([]ack{{w.name, e.Ref}})
		return
	}
	c.ackWithProgress(now, w, t, e)
	if t.failed(e.Ref.Run) >= t.job.sub.Queue.MaxAttempts {
		c.finish(now, t.job, durable.Failed, "attempts_spent")
	}
}

// ackWithProgress acknowledges an end once the job's progress is in the store.
func (c *Core) ackWithProgress(now time.Time, w *worker, t *task, e *wire.RunEnd) {
	if t.job.sub.BestEffort {
		return
	}
	t.job.acks = append(t.job.acks, ack{w.name, e.Ref})
	c.markChanged(now.Add(c.cfg.LazyCommit), t.job)
}

// handleEndOfClosedJob acknowledges an end that no longer matters; not before the final
// state is in the store.
func (c *Core) handleEndOfClosedJob(now time.Time, w *worker, j *job, e *wire.RunEnd) {
	c.outstandingRunEnded(e.Ref)
	c.reportCrashOfClosedJob(now, e)
	p := c.partitions[e.Ref.Task.Job.Partition(c.cfg.Partitions)]
	if p == nil {
		return
	}
	if j == nil || j.stored.Final() {
		c.sendAcks([]ack{{w.name, e.Ref}})
		return
	}
	j.acks = append(j.acks, ack{w.name, e.Ref})
	p.markChanged(now, j)
}

func (c *Core) taskDone(now time.Time, t *task) {
	j := t.job
	j.markDone(t)
	if j.left == 0 {
		c.finish(now, j, durable.Completed, "all_done")
		return
	}
	if j.stepLeft[t.id.Step] == 0 {
		c.readyTasks(now, j)
	}
}

// finish brings a job to a final state. Callers see it when it is in the store.
func (c *Core) finish(now time.Time, j *job, state durable.State, reason string) {
	j.state = state
	c.active--
	c.note(Note{What: Decision(jobPrefix + state.String()), Job: j.id, Reason: reason, Measure: JobAgeMS, Value: j.age(now), Frequent: state == durable.Completed})
	if j.sub.BestEffort {
		c.trackOutstanding(now, j)
	}
	for i := range j.tasks {
		t := &j.tasks[i]
		c.unqueue(t)
		if t.state == taskAssigned {
			c.stop(t)
			c.unassign(now, t)
		}
	}
	if j.sub.BestEffort {
		c.answerBestEffort(now, j)
		return
	}
	c.markChanged(now, j)
}

// markChanged notes that a kept job's progress is to be written.
func (c *Core) markChanged(by time.Time, j *job) {
	if p := c.partitions[j.id.Partition(c.cfg.Partitions)]; p != nil {
		p.markChanged(by, j)
	}
}
