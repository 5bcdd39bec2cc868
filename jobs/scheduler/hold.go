package scheduler

import "math"

// A task that would be late on every worker with free capacity may be held for a faster worker that
// is full: one in the rack of its data, or one of higher speed. Capacity that is of no use to it is
// thereby left to later tasks that are in time there.
const (
	holdRisk     = 0.5 // a task at more risk of being late is held; a faster worker is one where it is at no more
	fasterFactor = 0.8 // the expected total on a faster worker is at most this share of that on the best free one
	holdShare    = 0.5 // share of the task's slack on the faster workers that it may be held
)

// shouldHold returns whether the task waits for a faster worker although best, the best candidate
// with free capacity, could start it.
func (c *Core) shouldHold(r *round, e *evaluator, best *candidate) bool {
	if !e.bySpeed || e.risk(best) <= holdRisk {
		return false
	}
	faster := e.fasterWorkers(r.workers, best)
	if len(faster) == 0 {
		return false
	}
	total := e.leastTotal(faster)
	work := float64(e.t.step.Need.CPU) * total
	wait := c.holdWait(e.t, faster, work)
	allowed := holdShare * (e.remaining - max(total, e.estimate))
	if wait > allowed {
		return false
	}
	for _, cand := range faster {
		cand.heldFor += work / float64(len(faster))
	}
	c.noteHeld(e.t, wait, allowed)
	return true
}

// leastTotal returns the least expected total of the task on any of the candidates.
func (e *evaluator) leastTotal(candidates []*candidate) float64 {
	least := math.Inf(1)
	for _, cand := range candidates {
		least = min(least, e.total(cand))
	}
	return least
}

// holdWait returns how long the task is expected to wait for the candidates, in milliseconds: the
// work that is already held for them, and the task's own work, divided by this coordinator's share
// of their capacity.
func (c *Core) holdWait(t *task, candidates []*candidate, work float64) float64 {
	capacity := 0.0
	for _, cand := range candidates {
		work += cand.heldFor
		capacity += float64(cand.w.identity.Capacity.CPU)
	}
	return work * max(1, c.sharers[t.job.sub.Queue.Service]) / capacity
}

// fasterWorkers returns the candidates that may run the task, have no free capacity for it now, and
// where it is expected to end clearly sooner than on best, and in time.
func (e *evaluator) fasterWorkers(workers []candidate, best *candidate) []*candidate {
	var faster []*candidate
	most := fasterFactor * e.total(best)
	for i := range workers {
		cand := &workers[i]
		if e.total(cand) > most || e.risk(cand) > holdRisk || e.t.avoids(cand.w) {
			continue
		}
		if e.t.compatible(cand) && !e.t.step.Need.Fits(cand.free) && e.t.step.Need.Fits(cand.w.identity.Capacity) {
			faster = append(faster, cand)
		}
	}
	return faster
}

// noteHeld logs that the task is held, once for each task.
func (c *Core) noteHeld(t *task, wait, allowed float64) {
	if t.holdNoted {
		return
	}
	t.holdNoted = true
	c.note(Note{What: TaskHeld, Task: t.id.String(), Run: t.run, Reason: t.step.Affinity, Measure: WaitMS, Value: int64(wait), Limit: int64(allowed), Frequent: true})
}
