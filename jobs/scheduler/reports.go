package scheduler

import (
	"time"

	"github.com/lichenfall/lichenfall/wire"
)

// AwaitingReports returns whether any worker still has to report what it runs of a partition.
func (c *Core) AwaitingReports() bool {
	for _, p := range c.partitions {
		if len(p.awaiting) > 0 {
			return true
		}
	}
	return false
}

// Runs handles a worker's report of all its runs of a partition, or its reply to our query about
// best-effort runs. Runs of the partition that are assigned to the worker and missing from the
// report are queued again, unless they were ordered after the worker wrote it.
func (c *Core) Runs(now time.Time, name string, m *wire.PartitionRuns) {
	w := c.workers[name]
	if w != nil && m.Partition == wire.BestEffortRuns {
		c.handleQueryReply(now, w, m)
		return
	}
	p := c.partitions[m.Partition]
	if w == nil || p == nil || p.epoch != m.Epoch {
		return
	}
	known := make(map[wire.RunRef]bool, len(m.Running))
	for _, ref := range m.Running {
		known[ref] = true
		c.reconcileRun(now, w, p, ref)
	}
	c.sendNeeds(w, m.Running)
	for _, e := range m.Ended {
		known[e.Ref] = true
		c.handleEnd(now, w, &e)
	}
	for _, t := range w.tasks() {
		if t.startSeq > m.StartSeq {
			continue // ordered after the worker wrote the report
		}
		if !t.job.sub.BestEffort && t.id.Job.Partition(c.cfg.Partitions) == m.Partition && !known[t.ref()] {
			c.requeueLost(now, t, RunAbsent)
		}
	}
	delete(p.awaiting, name)
	if len(p.awaiting) == 0 {
		c.endReconciliation(now, p)
	}
}

// ReportPending handles a worker's notice that it cannot report its runs of a partition yet, although
// it keeps them: the backend server's lists are cut, or the store has not confirmed us.
func (c *Core) ReportPending(now time.Time, name string, m *wire.ReportPending) {
	p := c.partitions[m.Partition]
	if p == nil || p.epoch != m.Epoch || p.awaiting[name] == nil {
		return
	}
	p.awaiting[name].pending = true
	c.note(Note{What: ReportAwaited, Worker: name, Measure: PartitionNumber, Value: int64(m.Partition), Frequent: true})
}

// reconcileRun compares a run that a worker reports with the job's state: a run that an earlier
// owner started is taken over, one that is no longer wanted is stopped.
func (c *Core) reconcileRun(now time.Time, w *worker, p *partition, ref wire.RunRef) {
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

// sendNeeds sends a worker the resource needs of those listed runs that are ours. A worker process
// that has adopted runs of an earlier process has no record of their needs, and starts no other
// runs until it has received them.
func (c *Core) sendNeeds(w *worker, listed []wire.RunRef) {
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

// runningTask returns the task whose current run, at the worker, is ref; nil if there is none.
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

// queryRuns requests from a worker the state of the best-effort runs that were ordered over earlier
// connections. The query lists all runs that are still wanted, and is sent even if there are
// none: the worker stops the others.
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

// handleQueryReply handles the reply to queryRuns. A run that is missing from it is over or never
// began, and its task is queued again. A run that is no longer wanted is stopped once more. If an
// earlier process of the worker started it, a stop that arrived before the present process adopted
// it had no effect, and from now on our lease would keep the run alive.
func (c *Core) handleQueryReply(now time.Time, w *worker, m *wire.PartitionRuns) {
	known := make(map[wire.RunRef]bool, len(m.Running)+len(m.Ended))
	for _, ref := range m.Running {
		known[ref] = true
		if c.runningTask(w, ref) == nil {
			c.send(w.name, &wire.StopRuns{Runs: []wire.RunRef{ref}})
		}
	}
	c.sendNeeds(w, m.Running)
	for i := range m.Ended {
		known[m.Ended[i].Ref] = true
		c.handleEnd(now, w, &m.Ended[i])
	}
	queried := w.queried
	w.queried = nil
	for _, q := range queried {
		if q.task.worker == w && q.task.ref() == q.ref && !known[q.ref] {
			c.requeueLost(now, q.task, RunAbsent)
		}
	}
}

// requeueLost queues a task again whose run has certainly ended, or never began, without a report
// of its end. The job counts as begun, since the run may have been at work.
func (c *Core) requeueLost(now time.Time, t *task, what Decision) {
	c.note(Note{What: what, Task: t.id.String(), Run: t.run, Worker: t.worker.name})
	c.setBegun(now, t.job, t.job.assigned, true)
	c.unassign(now, t)
	c.enqueue(now, t)
}

// writeOff queues the tasks of an unreachable worker again once the leases of their runs have
// certainly expired.
func (c *Core) writeOff(now time.Time, w *worker) {
	for _, t := range w.tasks() {
		renewed, after := w.heartbeatAt, c.cfg.WriteOff
		if t.job.sub.BestEffort {
			after = c.cfg.BestEffortWriteOff
		} else if p := c.partitions[t.id.Job.Partition(c.cfg.Partitions)]; p != nil {
			renewed = p.lastRenewed(renewed)
		}
		if now.Sub(renewed) > after {
			c.requeueLost(now, t, RunWrittenOff)
		}
	}
}
