package scheduler

import (
	"time"

	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/wire"
)

// Ends handles the ends of runs that a worker reports.
func (c *Core) Ends(now time.Time, name string, m *wire.RunEnds) {
	w := c.workers[name]
	if w == nil {
		return
	}
	for i := range m.Ends {
		c.handleEnd(now, w, &m.Ends[i])
	}
}

// handleEnd handles one end. It frees the task and applies the end, unless the job is over, the
// task is done, or another run of it is with a worker: such an end is acknowledged, and matters
// only if it is a crash or an earlier failure.
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

// handleEarlierEnd handles the end of a run while another run of its task is with a worker. A
// crash counts, and so does a failed run of a durable job: an earlier owner may have received the
// end without storing it. Any other end comes too late to matter, since the lease of that run
// has expired, and is acknowledged at once.
func (c *Core) handleEarlierEnd(now time.Time, w *worker, t *task, e *wire.RunEnd) {
	how := wire.End(e.How)
	if how == wire.EndCrashed {
		c.ackWithProgress(now, w, t, e)
		c.runCrashed(now, t, e)
		return
	}
	if how == wire.EndSuspected {
		c.ackWithProgress(now, w, t, e)
		c.suspectCrash(now, t, e)
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

// ackWithProgress acknowledges an end once the progress of its durable job is in the store. Ends
// of best-effort jobs need no acknowledgement.
func (c *Core) ackWithProgress(now time.Time, w *worker, t *task, e *wire.RunEnd) {
	if t.job.sub.BestEffort {
		return
	}
	t.job.acks = append(t.job.acks, ack{w.name, e.Ref})
	c.markChanged(now.Add(c.cfg.LazyCommit), t.job)
}

// handleEndOfClosedJob handles the end of a run whose job is over or not here. Such an end no longer
// matters to the job. It is acknowledged once the job's final state is in the store, at once if
// the job is unknown, and not at all if another coordinator owns the partition.
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

// taskDone completes the job with its last task, or queues the tasks of the steps that can start
// now that the task's step is done.
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

// finish sets a job's final state and stops its runs. Callers of a best-effort job are answered
// now, those of a durable job once the state is in the store.
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

// markChanged schedules the job's progress for a commit by the time given, if this coordinator
// owns its partition.
func (c *Core) markChanged(by time.Time, j *job) {
	if p := c.partitions[j.id.Partition(c.cfg.Partitions)]; p != nil {
		p.markChanged(by, j)
	}
}
