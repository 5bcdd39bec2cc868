package scheduler

import "slices"

// Who goes where, and why. Tasks are placed one after the other, in the order of the queue
// (task.turn). For each:
//
//  1. mayGo: where it may run at all, and there is room now.
//  2. worth: of these places that with the greatest worth. It is first of all one that
//     brings the job in time by the expected end there (fit.risk); then, traded against each
//     other, the rack of its data, a preferred worker, few failures, speed, free room, chance.
//  3. holdsOut: if it would be late even there, and quicker places are full that will have
//     room in time, it waits for these.
//
// A task for which there is no place waits here and not at a worker, where it would wait for
// the ends of that one alone.

// choose returns the worker that the task goes to, or nil. It is the one with the
// greatest worth among those where the task may go.
func (c *Core) choose(f *fit, workers []candidate) *candidate {
	var best *candidate
	bestWorth := 0.0
	for i := range workers {
		cand := &workers[i]
		if !f.t.mayGo(cand) || c.cfg.Load.AskForRoom && f.t.handedBack && !cand.fresh {
			continue
		}
		if worth := c.worth(f, cand); best == nil || worth > bestWorth {
			best, bestWorth = cand, worth
		}
	}
	return best
}

// mayGo returns whether the task may be sent to the worker now: it suits, and there is room.
func (t *task) mayGo(cand *candidate) bool {
	return t.step.Need.Fits(cand.free) && t.suits(cand)
}

// suits returns whether the task may be sent to the worker once there is room: the step's
// constraints allow it, the worker is no outlier, and for a kept job the store has
// confirmed, since the worker's connection was made, that we own it.
func (t *task) suits(cand *candidate) bool {
	return (cand.w.confirmed || t.job.sub.BestEffort) && cand.w.identity.Capacity.CPU > 0 && !cand.ejected && allowed(t, cand.w)
}

// share returns the share of the worker's cores that is free; it may be negative.
func (cand *candidate) share() float64 {
	return float64(cand.free.CPU) / float64(cand.w.identity.Capacity.CPU)
}

// The worth of sending a task to a worker, in shares of the worker's cores that
// are free: each weight says how much more free room elsewhere would outweigh it.
// They are no plain order of preference. worthAvoided is so large that nothing but
// worthFailingAgain outweighs it, and worthLate outweighs rack, preference, data centre and
// room together; the others are traded against room.
const (
	worthAvoided      = 10.0 // taken away where a run of the task failed or straggled
	worthSuspects     = 4.0  // taken away from a task with crashes where another such is: the next crash shall tell whose fault it is
	worthLate         = 4.0  // taken away, times the risk that the job is late by it
	worthRack         = 2.0  // near the task's data
	worthFast         = 1.0  // taken away, times what runs there take beyond their estimates
	worthPreferred    = 0.6  // a preferred worker: we know best what is free there
	worthDataCentre   = 0.02 // in our own data centre
	worthFailing      = 1.0  // taken away, times the share of runs that failed there lately
	worthFailingAgain = 8.0  // the same, for a task that has failed before
	maxJitter         = 0.08 // left to chance, so that coordinators do not all choose the same
)

// worth returns how much the worker is preferred for the task.
func (c *Core) worth(f *fit, cand *candidate) float64 {
	t, w := f.t, cand.w
	worth := 0.0
	if t.avoids(w) {
		worth -= worthAvoided
	}
	if len(t.crashes) > 0 && w.hasSuspect() {
		worth -= worthSuspects
	}
	if f.bySpeed {
		worth -= f.slowness(cand)
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
	if t.near(w) {
		worth += worthRack
	}
	return worth + cand.share() + cand.jitter
}

// slowness returns what is taken away for the time that the task takes there. Where it is
// surely in time the room decides whether the fast are preferred or left to others; where it
// is not, the faster the better.
func (f *fit) slowness(cand *candidate) float64 {
	beyond := worthFast * (cand.factor - 1)
	if risk := f.risk(cand); risk > 0 {
		return worthLate*risk + beyond
	}
	return f.fast * beyond
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
