package scheduler

import (
	"time"

	"github.com/lichenfall/lichenfall/wire"
)

// AwaitingReports returns whether workers are still to tell what they have of a
// partition.
func (c *Core) AwaitingReports() bool {
	for _, p := range c.partitions {
		if len(p.asked) > 0 {
			return true
		}
	}
	return false
}

// Runs takes all that a worker knows of a partition, or of the best-effort runs
// that we asked about.
func (c *Core) Runs(now time.Time, name string, m *wire.PartitionRuns) {
	w := c.workers[name]
	if w != nil && m.Partition == wire.BestEffortRuns {
		c.queryAnswered(now, w, m)
		return
	}
	p := c.partitions[m.Partition]
	if w == nil || p == nil || p.epoch != m.Epoch {
		return
	}
	known := make(map[wire.RunRef]bool, len(m.Running))
	for _, ref := range m.Running {
		known[ref] = true
		c.found(now, w, p, ref)
	}
	c.tellNeeds(w, m.Running)
	for _, e := range m.Ended {
		known[e.Ref] = true
		c.end(now, w, &e)
	}
	for _, t := range w.tasks() {
		if t.startSeq > m.StartSeq {
			continue // ordered after the worker wrote this
		}
		if !t.job.sub.BestEffort && t.id.Job.Partition(c.cfg.Partitions) == m.Partition && !known[t.ref()] {
			c.lost(now, t, RunAbsent)
		}
	}
	delete(p.asked, name)
	if len(p.asked) == 0 {
		c.settle(now, p)
	}
}

// found takes a run that a worker has: that of an earlier owner is taken over,
// one that is not wanted is stopped.
func (c *Core) found(now time.Time, w *worker, p *partition, ref wire.RunRef) {
	j := p.jobs[ref.Task.Job]
	if j == nil || j.state.Final() {
		c.send(w.name, &wire.StopRuns{Runs: []wire.RunRef{ref}})
		return
	}
	t := j.find(ref.Task)
	switch {
	case t == nil || t.state == taskDone:
		c.send(w.name, &wire.StopRuns{Runs: []wire.RunRef{ref}})
	case t.state == taskAssigned && t.worker == w && t.run == ref.Run:
	case t.state == taskAssigned:
		c.send(w.name, &wire.StopRuns{Runs: []wire.RunRef{ref}})
	default:
		c.unqueue(t)
		t.run = ref.Run
		c.assign(now, t, w)
		c.note(Note{What: RunTakenOver, Task: t.id.String(), Run: t.run, Worker: w.name})
	}
}

// tellNeeds tells a worker what those of the listed runs take that are ours: the
// worker may have found them when its process started, and orders out nothing until
// it knows.
func (c *Core) tellNeeds(w *worker, listed []wire.RunRef) {
	m := &wire.RunNeeds{}
	for _, ref := range listed {
		if t := c.runningTask(w, ref); t != nil {
			m.Runs = append(m.Runs, wire.RunNeed{Ref: ref, Need: t.step.Need})
		}
	}
	if len(m.Runs) > 0 {
		c.send(w.name, m)
	}
}

// runningTask returns the task whose present run at the worker that is, or nil.
func (c *Core) runningTask(w *worker, ref wire.RunRef) *task {
	j := c.find(ref.Task.Job)
	if j == nil {
		return nil
	}
	t := j.find(ref.Task)
	if t == nil || t.worker != w || t.run != ref.Run {
		return nil
	}
	return t
}

// queryRuns asks a worker what became of best-effort runs that were ordered before the
// connection broke. It names all that are still wanted, and asks also if there is none: the
// worker stops the others.
func (c *Core) queryRuns(w *worker) {
	m := &wire.RunsQuery{}
	w.queried = nil
	for _, t := range w.tasks() {
		if t.job.sub.BestEffort {
			w.queried = append(w.queried, queriedRun{t, t.ref()})
			m.Runs = append(m.Runs, t.ref())
		}
	}
	c.send(w.name, m)
}

// queryAnswered takes the worker's answer: what it does not know never runs. What it has
// and is no longer wanted is stopped: a stop that was sent before the worker had found the
// run, which an earlier process there had started, did nothing, and from now on our lease
// keeps the run.
func (c *Core) queryAnswered(now time.Time, w *worker, m *wire.PartitionRuns) {
	known := make(map[wire.RunRef]bool, len(m.Running)+len(m.Ended))
	for _, ref := range m.Running {
		known[ref] = true
		if c.runningTask(w, ref) == nil {
			c.send(w.name, &wire.StopRuns{Runs: []wire.RunRef{ref}})
		}
	}
	c.tellNeeds(w, m.Running)
	for i := range m.Ended {
		known[m.Ended[i].Ref] = true
		c.end(now, w, &m.Ended[i])
	}
	queried := w.queried
	w.queried = nil
	for _, q := range queried {
		if q.task.worker == w && q.task.ref() == q.ref && !known[q.ref] {
			c.lost(now, q.task, RunAbsent)
		}
	}
}

// lost frees a task whose run has certainly ended, or never began, without a word
// of how: it is ordered again.
func (c *Core) lost(now time.Time, t *task, what Decision) {
	c.note(Note{What: what, Task: t.id.String(), Run: t.run, Worker: t.worker.name})
	c.setBegun(now, t.job, t.job.assigned, true)
	c.unassign(now, t)
	c.enqueue(now, t)
}

// writeOff frees the tasks of a worker whose leases are over.
func (c *Core) writeOff(now time.Time, w *worker) {
	silent := now.Sub(w.heartbeatAt)
	for _, t := range w.tasks() {
		after := c.cfg.WriteOff
		if t.job.sub.BestEffort {
			after = c.cfg.BestEffortWriteOff
		}
		if silent > after {
			c.lost(now, t, RunWrittenOff)
		}
	}
}
