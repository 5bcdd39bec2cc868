package scheduler

import (
	"strings"
	"time"

	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/wire"
)

// apply decides what an end means for its task: it is done, it is ordered again,
// or the job has failed.
func (c *Core) apply(now time.Time, w *worker, t *task, e *wire.RunEnd) {
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
	case wire.EndStraggled:
		t.straggles++
		t.avoid = append(t.avoid, w.name)
		c.enqueue(now, t)
	case wire.EndNotRun:
		w.status.Free = durable.Resources{} // until it says what it has
		c.enqueue(now, t)
	case wire.EndLapsed:
		c.runLapsed(now, t, e)
		c.enqueue(now, t)
	default: // stopped, or gone with a server that had said so: no fault of the task
		c.enqueue(now, t)
	}
	c.keepEnd(now, w, t.job, e, how)
}

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

// runFailed orders the task again, elsewhere if it can be, unless its attempts
// are spent.
func (c *Core) runFailed(now time.Time, w *worker, t *task, e *wire.RunEnd) {
	t.avoid = append(t.avoid, w.name)
	if t.failed(e.Ref.Run) >= t.job.sub.Queue.MaxAttempts {
		c.finish(now, t.job, durable.Failed, "attempts_spent")
		return
	}
	c.enqueue(now, t)
}

// keepEnd sees that the end of a kept job's run is acknowledged to its worker once
// the job's progress is in the store: at once if that ends the job.
func (c *Core) keepEnd(now time.Time, w *worker, j *job, e *wire.RunEnd, how wire.End) {
	if j.sub.BestEffort || how == wire.EndNotRun || how == wire.EndLost {
		return // there is nothing to keep, or the backend server does not list it
	}
	j.acks = append(j.acks, ack{w.name, e.Ref})
	by := now.Add(c.cfg.LazyCommit)
	if j.state.Final() {
		by = now
	}
	c.change(by, j)
}
