package scheduler

import (
	"time"

	"github.com/lichenfall/lichenfall/lib/ordered"
	"github.com/lichenfall/lichenfall/wire"
)

const (
	// maxLooks is the number of different needs that no worker is found for, after which a round of
	// dispatch leaves the order of the queue. It looks at as many of the needs that are left, in turn.
	maxLooks = 128
	// maxHeld is the number of tasks that a round may hold for faster workers.
	maxHeld = 24
)

// dispatch sends ready tasks to workers with free capacity, and requests capacity for the tasks that
// are left.
func (c *Core) dispatch(now time.Time) {
	if !c.evacuationsKnown() {
		return
	}
	orders := make(map[*worker]*orderList)
	for _, service := range ordered.Keys(c.ready) {
		q := c.ready[service]
		if q.Len() == 0 {
			continue
		}
		q.moveOverdue(now)
		r := c.newRound(now, service)
		c.dispatchQueue(now, q.onTime, r, orders)
		if q.overdue.Len() > 0 {
			r.leaveToWaiting()
			c.dispatchQueue(now, q.overdue, r, orders)
		}
		if q.Len() > 0 {
			c.demandOf(service).recordShortage(now)
		}
	}
	for _, w := range ordered.KeysFunc(orders, byName) {
		c.sendOrders(w, orders[w])
	}
	if c.cfg.Load.AskForRoom {
		for _, service := range ordered.Keys(c.ready) {
			c.requestCapacity(now, service, c.ready[service], orders)
		}
	}
}

// dispatchQueue orders a run of each task that can be placed now, in the order of the queue. A task that
// can't be placed keeps back those of the same need only.
func (c *Core) dispatchQueue(now time.Time, q *taskQueue, r *round, orders map[*worker]*orderList) {
	p := &pass{c: c, now: now, queue: q, round: r, orders: orders}
	r.looks = 0
	for g := q.first(); g != nil && r.looks < maxLooks; g = q.first() {
		p.dispatchFirst(g)
	}
	for _, g := range q.passedOver(min(maxLooks, q.order.Len())) {
		for !g.aside && g.tasks.Len() > 0 {
			p.dispatchFirst(g)
		}
	}
	q.restore(p.aside)
	for _, t := range p.held {
		c.queue(now, t)
	}
}

// pass is one pass of dispatch over a queue.
type pass struct {
	c      *Core
	now    time.Time
	queue  *taskQueue
	round  *round
	orders map[*worker]*orderList
	aside  []*taskGroup // groups whose tasks can't be placed now
	held   []*task      // tasks that wait for faster workers
}

// dispatchFirst orders a run of the group's first task, holds the task, or sets the group aside.
func (p *pass) dispatchFirst(g *taskGroup) {
	t := g.first()
	epoch, ok := p.c.epochOf(t.job)
	if !ok {
		p.setAside(g)
		return
	}
	e := p.c.evaluatorFor(p.now, t, p.round)
	cand := p.place(&e)
	switch {
	case cand == nil:
		p.c.recordStall(p.now, g)
		p.setAside(g)
	case len(p.held) < maxHeld && p.c.shouldHold(p.round, &e, cand):
		p.queue.remove(t)
		p.held = append(p.held, t)
		p.round.waiting = append(p.round.waiting, t)
	default:
		g.stalledAt = time.Time{}
		p.queue.remove(t)
		p.c.orderRun(p.now, epoch, &e, cand, p.orders)
	}
}

// place returns the worker for the task; nil if none can start it now.
func (p *pass) place(e *evaluator) *candidate {
	if !p.round.knownUnplaced(&e.t.group.need) {
		if cand := p.c.choose(e, p.round.workers); cand != nil {
			return cand
		}
		p.round.recordUnplaced(e.t)
	}
	if p.c.addCandidates(p.now, p.round, e.t) {
		return p.c.choose(e, p.round.workers)
	}
	p.round.waiting = append(p.round.waiting, e.t)
	return nil
}

func (p *pass) setAside(g *taskGroup) {
	p.queue.setAside(g)
	p.aside = append(p.aside, g)
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
func (c *Core) orderRun(now time.Time, epoch uint64, e *evaluator, cand *candidate, orders map[*worker]*orderList) {
	t, w := e.t, cand.w
	cand.free = cand.free.Sub(t.step.Need)
	if w.outlier {
		w.probedAt = now
	}
	t.nextRun(epoch)
	w.orderedAt = now
	c.assign(now, t, w)
	if orders[w] == nil {
		orders[w] = &orderList{}
	}
	t.startSeq = w.startSeq + orders[w].add(wire.RunOrder{
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
