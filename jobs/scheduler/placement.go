package scheduler

import "slices"

// Placement decides which worker runs which task. Tasks are placed one at a time, in the order of
// the queue (task.virtualDeadline). For each task:
//
//  1. canStart selects the workers that may run it and have free capacity for it now.
//  2. score ranks them. First of all it prefers workers where the task is expected to end in time
//     (evaluator.risk). Then it trades off the rack of the task's data, the worker's preference,
//     failed runs, speed, free capacity and a random term.
//  3. shouldHold keeps the task waiting if it would be late even on the best of them, and faster
//     workers that are full are expected to have capacity in time.
//
// A task that no worker can start waits at the coordinator. At a worker it could only use capacity
// that becomes free on that worker.

// choose returns the candidate with the highest score among those that can start the task, or nil.
// A task that a worker has handed back goes only to workers whose status is fresh, while
// coordinators request capacity.
func (c *Core) choose(e *evaluator, workers []candidate) *candidate {
	var best *candidate
	bestScore := 0.0
	for i := range workers {
		cand := &workers[i]
		if !e.t.canStart(cand) || c.cfg.Load.AskForRoom && e.t.handedBack && !cand.fresh {
			continue
		}
		if score := c.score(e, cand); best == nil || score > bestScore {
			best, bestScore = cand, score
		}
	}
	return best
}

// canStart returns whether the task may be sent to the candidate now: it is compatible and has
// enough free capacity.
func (t *task) canStart(cand *candidate) bool {
	return t.step.Need.Fits(cand.free) && t.compatible(cand)
}

// compatible returns whether the task may be sent to the candidate once that has capacity: the
// step's constraints allow it, the worker is not ejected as an outlier, and for a durable job the store
// has confirmed, since the worker connected, that this coordinator owns the job.
func (t *task) compatible(cand *candidate) bool {
	return t.mayUse(cand) && withinSpread(t, cand.w)
}

// mayUse returns whether a task of that need may be sent to the candidate once that has capacity,
// wherever the step's other tasks are.
func (t *task) mayUse(cand *candidate) bool {
	return (cand.w.confirmed || t.job.sub.BestEffort) && cand.w.identity.Capacity.CPU > 0 && !cand.ejected && cand.w.hasLabel(t.step.Requires)
}

// share returns the share of the worker's cores that is free; it may be negative.
func (cand *candidate) share() float64 {
	return float64(cand.free.CPU) / float64(cand.w.identity.Capacity.CPU)
}

// The weights of the score. Their unit is the share of the worker's cores that is free: a weight
// says how much more free capacity on another worker outweighs it. The score is a sum and not a
// strict order of preference. weightAvoided is so large that only weightFailingAgain can outweigh
// it, and weightLate outweighs rack, preference, data centre and free capacity together; the others
// are traded off against free capacity. weightSuspects keeps tasks with crashes apart, so that the next
// crash shows which of them causes it.
const (
	weightAvoided      = 10.0 // subtracted on a worker where a run of the task failed or straggled
	weightSuspects     = 4.0  // subtracted for a task with crashes beside another such task
	weightLate         = 4.0  // subtracted, times the risk that the task makes its job late there
	weightRack         = 2.0  // added in the rack of the task's data
	weightSpeed        = 1.0  // subtracted, times the share by which runs there exceed their estimates
	weightPreferred    = 0.6  // added on a preferred worker, whose free capacity is known best here
	weightDataCentre   = 0.02 // added in the coordinator's own data centre
	weightFailing      = 1.0  // subtracted, times the share of the latest runs there that failed
	weightFailingAgain = 8.0  // replaces weightFailing for a task that has failed before
	maxJitter          = 0.08 // upper bound of a random term, so that coordinators do not all choose the same worker
)

// score returns how well the candidate suits the task; the highest score is chosen.
func (c *Core) score(e *evaluator, cand *candidate) float64 {
	t, w := e.t, cand.w
	score := 0.0
	if t.avoids(w) {
		score -= weightAvoided
	}
	if len(t.crashes) > 0 && w.hasSuspect() {
		score -= weightSuspects
	}
	if e.bySpeed {
		score -= e.slownessPenalty(cand)
	}
	if w.preference == Preferred {
		score += weightPreferred
	}
	if len(t.failures) > 0 {
		score -= weightFailingAgain * w.failing()
	} else {
		score -= weightFailing * w.failing()
	}
	if w.dataCentre == c.cfg.DataCentre {
		score += weightDataCentre
	}
	if t.near(w) {
		score += weightRack
	}
	return score + cand.share() + cand.jitter
}

// slownessPenalty returns what is subtracted for the time that the task takes on the candidate.
// Where it is certain to be in time, the free capacity of all workers decides whether fast workers
// are preferred or left to other tasks (speedPreference). Where it is not, faster is better.
func (e *evaluator) slownessPenalty(cand *candidate) float64 {
	beyond := weightSpeed * (cand.factor - 1)
	if risk := e.risk(cand); risk > 0 {
		return weightLate*risk + beyond
	}
	return e.speedWeight * beyond
}

// allowedOn returns whether the step's constraints allow the task on the worker: the label that the
// step requires, and its limit on the number of its tasks on one worker.
func allowedOn(t *task, w *worker) bool { return w.hasLabel(t.step.Requires) && withinSpread(t, w) }

// hasLabel returns whether the backend server has the label, if one is given.
func (w *worker) hasLabel(label string) bool {
	return label == "" || slices.Contains(w.identity.Labels, label)
}

// withinSpread returns whether one more task of the step may be on the worker.
func withinSpread(t *task, w *worker) bool {
	if t.step.AntiAffinity == 0 {
		return true
	}
	n := uint32(0)
	for o := range w.assigned {
		if o.job == t.job && o.id.Step == t.id.Step {
			n++
		}
	}
	return n < t.step.AntiAffinity
}
