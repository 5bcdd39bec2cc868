package scheduler

import (
	"slices"
	"time"

	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/wire"
)

func (j *judge) failed() { j.failing += smoothing * (1 - j.failing) }

// Ends takes ends of runs.
func (c *Core) Ends(now time.Time, name string, m *wire.RunEnds) {
	w := c.workers[name]
	if w == nil {
		return
	}
	for i := range m.Ends {
		c.end(now, w, &m.Ends[i])
	}
}

func (c *Core) end(now time.Time, w *worker, e *wire.RunEnd) {
	j := c.find(e.Ref.Task.Job)
	if j == nil || j.state.Final() {
		c.endOfFinal(now, w, j, e)
		return
	}
	t := j.find(e.Ref.Task)
	if t == nil {
		c.sendKept([]ack{{w.name, e.Ref}})
		return
	}
	if t.state == taskDone {
		c.ackWithProgress(now, w, t, e) // told again: the store may not have it yet
		return
	}
	if t.state == taskAssigned && (t.worker != w || t.run != e.Ref.Run) {
		c.earlierEnd(now, w, t, e)
		return
	}
	c.unqueue(t)
	c.mark(now, j, j.assigned, j.ran || wire.End(e.How) != wire.EndNotRun)
	c.unassign(now, t)
	t.run = max(t.run, e.Ref.Run)
	c.apply(now, w, t, e)
}

// earlierEnd takes the end of a run before the present one. One that failed
// counts, if an earlier owner heard of it and did not keep it; any other was
// told too late to matter: the worker has let its lease lapse since.
func (c *Core) earlierEnd(now time.Time, w *worker, t *task, e *wire.RunEnd) {
	if wire.End(e.How) != wire.EndFailed || t.job.sub.BestEffort {
		c.sendKept([]ack{{w.name, e.Ref}})
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
	c.change(now.Add(c.cfg.LazyCommit), t.job)
}

// failed notes a failed run and returns how many there have been.
func (t *task) failed(run uint32) uint32 {
	if !slices.Contains(t.failures, run) {
		t.failures = append(t.failures, run)
	}
	return uint32(len(t.failures))
}

// endOfFinal acknowledges an end that no longer matters; not before the final
// state is in the store.
func (c *Core) endOfFinal(now time.Time, w *worker, j *job, e *wire.RunEnd) {
	p := c.partitions[e.Ref.Task.Job.Partition(c.cfg.Partitions)]
	if p == nil {
		return
	}
	if j == nil || j.durable.Final() {
		c.sendKept([]ack{{w.name, e.Ref}})
		return
	}
	j.acks = append(j.acks, ack{w.name, e.Ref})
	p.change(now, j)
}

// apply decides what an end means for its task.
func (c *Core) apply(now time.Time, w *worker, t *task, e *wire.RunEnd) {
	how := wire.End(e.How)
	j := t.job
	c.note(Note{What: "run_ended", Task: t.id.String(), Run: t.run, Worker: w.name, Reason: how.String() + " " + e.Reason, Number: e.RunMS, Usual: how == wire.EndDone || how == wire.EndNotRun})
	if e.Checkpoint != "" {
		t.check = e.Checkpoint
	}
	switch how {
	case wire.EndDone:
		w.judge.ran(slowness(t, e.RunMS))
		c.taskDone(now, t)
	case wire.EndFailed:
		w.judge.failed()
		t.avoid = append(t.avoid, w.name)
		if t.failed(e.Ref.Run) >= j.sub.Queue.MaxAttempts {
			c.finish(now, j, durable.Failed, "attempts_spent")
		} else {
			c.enqueue(now, t)
		}
	case wire.EndStraggled:
		w.judge.ran(slowness(t, e.RunMS))
		t.patience++
		t.avoid = append(t.avoid, w.name)
		c.enqueue(now, t)
	default:
		if how == wire.EndNotRun {
			w.fullUntil = now.Add(fullPause)
			w.status.Free = durable.Resources{} // until it says what it has
		}
		c.enqueue(now, t)
	}
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

// change notes that a kept job's progress is to be written.
func (c *Core) change(by time.Time, j *job) {
	if p := c.partitions[j.id.Partition(c.cfg.Partitions)]; p != nil {
		p.change(by, j)
	}
}

func slowness(t *task, runMS int64) float64 {
	if t.step.EstimateMS <= 0 || runMS <= 0 {
		return 1
	}
	return float64(runMS) / float64(t.step.EstimateMS)
}

func (c *Core) taskDone(now time.Time, t *task) {
	j := t.job
	j.done(t)
	if j.left == 0 {
		c.finish(now, j, durable.Completed, "all_done")
		return
	}
	if j.stepLeft[t.id.Step] == 0 {
		c.release(now, j)
	}
}

// finish brings a job to a final state. Callers see it when it is in the store.
func (c *Core) finish(now time.Time, j *job, state durable.State, reason string) {
	j.state = state
	c.active--
	c.note(Note{What: "job_" + state.String(), Job: j.id, Reason: reason, Number: now.Sub(j.received).Milliseconds(), Usual: state == durable.Completed})
	for i := range j.tasks {
		t := &j.tasks[i]
		c.unqueue(t)
		if t.state == taskAssigned {
			c.stop(t)
			c.unassign(now, t)
		}
	}
	if j.sub.BestEffort {
		c.answerBestEffort(j)
		return
	}
	c.change(now, j)
}
