package scheduler

import (
	"strings"
	"time"

	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/wire"
)

// applyEnd applies the end of a task's current run: the task is done, it is queued again, or the
// job fails.
func (c *Core) applyEnd(now time.Time, w *worker, t *task, e *wire.RunEnd) {
	how := wire.End(e.How)
	t.handedBack = how == wire.EndNotRun
	c.noteEnd(w, t, e, how)
	if e.Checkpoint != "" {
		t.checkpoint = e.Checkpoint
	}
	switch how {
	case wire.EndDone:
		c.taskDone(now, t)
	case wire.EndFailed:
		c.runFailed(now, w, t, e)
	case wire.EndCrashed:
		if !c.runCrashed(now, t, e) {
			c.enqueue(now, t)
		}
	case wire.EndSuspected:
		c.suspectCrash(now, t, e)
		c.enqueue(now, t)
	case wire.EndStraggled:
		t.straggles++
		t.avoid = append(t.avoid, w.name)
		c.enqueue(now, t)
	case wire.EndNotRun:
		w.status.Free = durable.Resources{} // until its next status
		c.enqueue(now, t)
	case wire.EndLapsed:
		c.runLapsed(now, t, e)
		c.enqueue(now, t)
	default: // stopped, or lost with a server that had announced its stop: not the task's fault
		c.enqueue(now, t)
	}
	c.ackWhenStored(now, w, t.job, e, how)
}

// noteEnd logs the end of a run.
func (c *Core) noteEnd(w *worker, t *task, e *wire.RunEnd, how wire.End) {
	c.note(Note{
		What:     RunEnded,
		Task:     t.id.String(),
		Run:      t.run,
		Worker:   w.name,
		Reason:   strings.TrimSpace(how.String() + " " + e.Reason),
		Measure:  RunMS,
		Value:    e.RunMS,
		Frequent: how == wire.EndDone || how == wire.EndNotRun,
	})
}

// runFailed queues the task again, to run at another worker if possible, or fails the job if the
// task has used up its attempts.
func (c *Core) runFailed(now time.Time, w *worker, t *task, e *wire.RunEnd) {
	t.avoid = append(t.avoid, w.name)
	if t.failed(e.Ref.Run) >= t.job.sub.Queue.MaxAttempts {
		c.finish(now, t.job, durable.Failed, "attempts_spent")
		return
	}
	c.enqueue(now, t)
}

// ackWhenStored acknowledges the end of a durable job's run to the worker once the job's progress
// is in the store. The progress is due for a commit at once if the job is final, and within
// Settings.LazyCommit otherwise.
func (c *Core) ackWhenStored(now time.Time, w *worker, j *job, e *wire.RunEnd, how wire.End) {
	if j.sub.BestEffort || how == wire.EndNotRun || how == wire.EndLost {
		return // nothing to store, or the backend server doesn't list the run
	}
	j.acks = append(j.acks, ack{w.name, e.Ref})
	by := now.Add(c.cfg.LazyCommit)
	if j.state.Final() {
		by = now
	}
	c.markChanged(by, j)
}
