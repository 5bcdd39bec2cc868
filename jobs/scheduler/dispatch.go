package scheduler

import (
	"container/heap"
	"time"

	"github.com/lichenfall/lichenfall/lib/ordered"
	"github.com/lichenfall/lichenfall/wire"
)

// lookAhead is the number of tasks that fit on no worker after which dispatch leaves the rest of the
// queue alone. As many more may be held for faster workers.
const lookAhead = 24

// dispatch sends ready tasks to workers with free capacity, and requests capacity for the tasks that
// are left.
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
			c.requestCapacity(now, service, c.ready[service], orders)
		}
	}
}

// dispatchHeap takes tasks off the heap one by one, orders a run of each that can be placed now, and
// returns whether none is left.
func (c *Core) dispatchHeap(now time.Time, q *taskHeap, r *round, orders map[*worker]*wire.StartRuns) bool {
	var skipped, held []*task
	for q.Len() > 0 && len(skipped) < lookAhead {
		t := heap.Pop(q).(*task)
		epoch, ok := c.epochOf(t.job)
		if !ok {
			skipped = append(skipped, t)
			continue
		}
		e := c.evaluatorFor(now, t, r)
		cand := c.choose(&e, r.workers)
		switch {
		case cand == nil:
			skipped = append(skipped, t)
		case len(held) < lookAhead && c.shouldHold(r, &e, cand):
			held = append(held, t)
		default:
			c.orderRun(now, epoch, &e, cand, orders)
		}
	}
	skipped = append(skipped, held...)
	for _, t := range skipped {
		t.sortKey = t.virtualDeadline() // its job may have begun by the order of another task
		heap.Push(q, t)
	}
	return len(skipped) == 0
}

// epochOf returns the epoch under which the job's tasks may be ordered now, 0 for a best-effort job.
// ok is false if this coordinator may not order them: it does not own the job's partition, the lease
// on the partition may have ended, or a later owner is known.
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

// orderRun adds a run of the task to the orders for the candidate's worker. On an outlier the run is
// its probe.
func (c *Core) orderRun(now time.Time, epoch uint64, e *evaluator, cand *candidate, orders map[*worker]*wire.StartRuns) {
	t, w := e.t, cand.w
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
		EstimateMS: int64(e.estimateAt(w)),
		LimitMS:    c.limitOf(e, cand).Milliseconds(),
		Crashes:    uint32(len(t.crashes)),
	})
	c.note(Note{What: RunOrdered, Task: t.id.String(), Run: t.run, Worker: w.name, Reason: e.reason(cand), Measure: JobAgeMS, Value: t.job.age(now), Frequent: true})
}

// assign records that the task is with the worker.
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

// unassign records that the task is with no worker.
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

// stop sends the worker an order to stop the task's run, if the worker is connected.
func (c *Core) stop(t *task) {
	if t.worker.up {
		c.send(t.worker.name, &wire.StopRuns{Runs: []wire.RunRef{t.ref()}})
	}
}
