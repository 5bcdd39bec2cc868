package scheduler

import (
	"container/heap"
	"time"

	"github.com/lichenfall/lichenfall/lib/ordered"
	"github.com/lichenfall/lichenfall/wire"
)

// lookAhead is how many tasks that fit nowhere are passed over before the rest of
// the queue waits, and how many more may hold out for quicker places.
const lookAhead = 24

// dispatch sends ready tasks to workers with room, and asks for room for what is left.
func (c *Core) dispatch(now time.Time) {
	if !c.evacuationsKnown() {
		return
	}
	orders := make(map[*worker]*wire.StartRuns)
	for _, service := range ordered.Keys(c.ready) {
		q := c.ready[service]
		if q.Len() == 0 {
			continue
		}
		q.moveOverdue(now)
		r := c.newRound(now, service)
		if !c.dispatchHeap(now, &q.onTime, r, orders) || !c.dispatchHeap(now, &q.overdue, r, orders) {
			c.demandOf(service).recordShortage(now)
		}
	}
	for _, w := range ordered.KeysFunc(orders, byName) {
		m := orders[w]
		w.startSeq++
		m.Seq = w.startSeq
		w.request.seenStamp = w.status.Stamp
		m.Seen = w.request.seenStamp
		c.send(w.name, m)
	}
	if c.cfg.Load.AskForRoom {
		for _, service := range ordered.Keys(c.ready) {
			c.askForRoom(now, service, c.ready[service], orders)
		}
	}
}

// dispatchHeap orders what it can of the heap, and returns whether nothing is
// left that could have been ordered with more room.
func (c *Core) dispatchHeap(now time.Time, q *taskHeap, r *round, orders map[*worker]*wire.StartRuns) bool {
	var passed, held []*task
	for q.Len() > 0 && len(passed) < lookAhead {
		t := heap.Pop(q).(*task)
		epoch, ok := c.epochOf(t.job)
		if !ok {
			passed = append(passed, t)
			continue
		}
		f := c.fitOf(now, t, r)
		cand := c.choose(&f, r.workers)
		switch {
		case cand == nil:
			passed = append(passed, t)
		case len(held) < lookAhead && c.holdsOut(r, &f, cand):
			held = append(held, t)
		default:
			c.orderRun(now, epoch, &f, cand, orders)
		}
	}
	passed = append(passed, held...)
	for _, t := range passed {
		t.sortKey = t.virtualDeadline() // others of its job may have been ordered meanwhile
		heap.Push(q, t)
	}
	return len(passed) == 0
}

// epochOf returns the epoch under which the job's tasks may be ordered now.
func (c *Core) epochOf(j *job) (epoch uint64, ok bool) {
	if j.sub.BestEffort {
		return 0, true
	}
	p := c.partitions[j.id.Partition(c.cfg.Partitions)]
	if p == nil || p.suspended || c.superseded(p) {
		return 0, false
	}
	return p.epoch, true
}

// orderRun adds a run of the task to the orders of the worker. One that is sent to a
// worker with bad figures is its probe.
func (c *Core) orderRun(now time.Time, epoch uint64, f *fit, cand *candidate, orders map[*worker]*wire.StartRuns) {
	t, w := f.t, cand.w
	cand.free = cand.free.Sub(t.step.Need)
	if w.outlier {
		w.probedAt = now
	}
	t.nextRun(epoch)
	c.assign(now, t, w)
	t.startSeq = w.startSeq + 1
	m := orders[w]
	if m == nil {
		m = &wire.StartRuns{}
		orders[w] = m
	}
	m.Runs = append(m.Runs, wire.RunOrder{
		Ref:        t.ref(),
		Epoch:      epoch,
		BestEffort: t.job.sub.BestEffort,
		Spec:       t.job.sub.Spec,
		Need:       t.step.Need,
		Checkpoint: t.checkpoint,
		EstimateMS: int64(f.estimateAt(w)),
		LimitMS:    c.limitOf(f, cand).Milliseconds(),
		Crashes:    uint32(len(t.crashes)),
	})
	c.note(Note{What: RunOrdered, Task: t.id.String(), Run: t.run, Worker: w.name, Reason: f.reason(cand), Measure: JobAgeMS, Value: t.job.age(now), Frequent: true})
}

// assign notes that the task is with the worker.
func (c *Core) assign(now time.Time, t *task, w *worker) {
	t.state = taskAssigned
	t.worker = w
	t.startSeq = 0
	c.demandOf(t.job.sub.Queue.Service).use(t.step.Need.CPU)
	if !t.job.begun() {
		class := c.cfg.Load.class(t.job.sub.Queue.Priority)
		c.effects.Begun = append(c.effects.Begun, JobBegun{Class: class, Waited: now.Sub(t.job.received)})
	}
	c.setBegun(now, t.job, t.job.assigned+1, t.job.ran)
	w.assigned[t] = struct{}{}
}

// unassign notes that the task is with no worker any more.
func (c *Core) unassign(now time.Time, t *task) {
	if t.worker == nil {
		return
	}
	delete(t.worker.assigned, t)
	t.worker = nil
	c.demandOf(t.job.sub.Queue.Service).use(-t.step.Need.CPU)
	c.setBegun(now, t.job, t.job.assigned-1, t.job.ran)
	if t.state == taskAssigned {
		t.state = taskBlocked
	}
}

// stop orders the end of the task's run.
func (c *Core) stop(t *task) {
	if t.worker.up {
		c.send(t.worker.name, &wire.StopRuns{Runs: []wire.RunRef{t.ref()}})
	}
}
