package scheduler

import "slices"

// choose returns the worker that the task goes to, or nil. It is the one with the
// greatest worth among those where the task may go.
func (c *Core) choose(t *task, workers []candidate) *candidate {
	var best *candidate
	bestWorth := 0.0
	for i := range workers {
		cand := &workers[i]
		if !t.mayGo(cand) || c.cfg.Load.AskForRoom && t.cameBack && !cand.fresh {
			continue
		}
		if worth := c.worth(t, cand); best == nil || worth > bestWorth {
			best, bestWorth = cand, worth
		}
	}
	return best
}

// mayGo returns whether the task may be sent to the worker: it fits, the step's
// constraints allow it, the worker is no outlier, and for a kept job the store has
// confirmed, since the worker's connection was made, that we own it. A task that fits nowhere waits
// here and not at a worker, where it would wait for the ends of that one alone: with two
// that could wait at each preferred worker, 93.2 % of the calls of an overload were
// answered in time, so 94.6 %.
func (t *task) mayGo(cand *candidate) bool {
	return (cand.w.confirmed || t.job.sub.BestEffort) && t.step.Need.Fits(cand.free) && cand.w.identity.Capacity.CPU > 0 && !cand.ejected && allowed(t, cand.w)
}

// share returns the share of the worker's cores that is free; it may be negative.
func (cand *candidate) share() float64 {
	return float64(cand.free.CPU) / float64(cand.w.identity.Capacity.CPU)
}

// The worth of sending a task to a worker, in shares of the worker's cores that
// are free: each weight says how much more free room elsewhere would outweigh it.
// They are no plain order of preference. worthAvoided is so large that nothing but
// worthFailingAgain outweighs it; the others are traded against room. Chosen, not
// measured, but where a figure stands (measured once).
const (
	worthAvoided      = 10.0 // taken away where a run of the task failed or straggled
	worthSuspects     = 4.0  // taken away from a task with crashes where another such is: the next crash shall tell whose fault it is
	worthRack         = 2.0  // near the task's data
	worthPreferred    = 0.6  // a preferred worker; in an overload 83.1 % of the worth was earned, without it 82.7 %
	worthDataCentre   = 0.02 // in our own data centre
	worthFailing      = 1.0  // taken away, times the share of runs that failed there lately
	worthFailingAgain = 8.0  // the same, for a task that has failed before; failed calls 0.3 % before, 0.1 % after
	maxJitter         = 0.08 // left to chance, so that coordinators do not all choose the same
)

// worth returns how much the worker is preferred for the task.
func (c *Core) worth(t *task, cand *candidate) float64 {
	w := cand.w
	worth := 0.0
	if t.avoids(w) {
		worth -= worthAvoided
	}
	if len(t.crashes) > 0 && w.hasSuspect() {
		worth -= worthSuspects
	}
	if w.preference == Preferred {
		worth += worthPreferred
	}
	if len(t.failures) > 0 {
		worth -= worthFailingAgain * w.failing()
	} else {
		worth -= worthFailing * w.failing()
	}
	if w.dataCentre == c.cfg.DataCentre {
		worth += worthDataCentre
	}
	if t.step.Affinity != "" && slices.Contains(w.identity.Labels, t.step.Affinity) {
		worth += worthRack
	}
	return worth + cand.share() + cand.jitter
}

// allowed returns whether the step's constraints let the task run there: the
// label that it requires, and the bound on tasks of the step at one worker.
func allowed(t *task, w *worker) bool {
	if t.step.Requires != "" && !slices.Contains(w.identity.Labels, t.step.Requires) {
		return false
	}
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
