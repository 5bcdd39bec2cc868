package scheduler

import (
	"slices"
	"time"
)

// evaluator evaluates candidates for one task at one moment. Times are in milliseconds.
type evaluator struct {
	t            *task
	bySpeed      bool    // the speed of the worker is taken into account
	estimate     float64 // of a run in the rack of the task's data
	remoteFactor float64 // how many times as long a run takes in another rack; 1 if that makes no difference
	remaining    float64 // time until the step has to end for the job to be on time; may be negative
	speedWeight  float64 // preference for fast workers where the task is in time: from 1 to -1, which prefers slow ones
}

// evaluatorFor returns the evaluator for the task.
func (c *Core) evaluatorFor(now time.Time, t *task, r *round) evaluator {
	e := evaluator{t: t, bySpeed: c.cfg.Load.PlaceBySpeed, estimate: float64(t.step.EstimateMS), remoteFactor: 1, speedWeight: r.speedWeight}
	if e.bySpeed && t.step.Affinity != "" {
		e.remoteFactor = max(1, c.cfg.Load.RemoteFactor)
	}
	e.remaining = t.due.Sub(now).Seconds()*1000 + e.estimate
	return e
}

// near returns whether the worker is in the rack of the step's data.
func (t *task) near(w *worker) bool {
	return t.step.Affinity != "" && slices.Contains(w.identity.Labels, t.step.Affinity)
}

// far returns whether a run takes longer on the worker because its data is in another rack.
func (e *evaluator) far(w *worker) bool { return e.remoteFactor > 1 && !e.t.near(w) }

// estimateAt returns the estimate of a run on the worker. It includes the distance from the data but
// not the worker's own speed.
func (e *evaluator) estimateAt(w *worker) float64 {
	if e.far(w) {
		return e.estimate * e.remoteFactor
	}
	return e.estimate
}

// expected returns how long one run on the candidate is expected to take.
func (e *evaluator) expected(cand *candidate) float64 {
	if !e.bySpeed {
		return e.estimate
	}
	return e.estimateAt(cand.w) * cand.factor
}

// total returns how long the task is expected to take on the candidate: one run, and a second one for
// the share of runs that fail there.
func (e *evaluator) total(cand *candidate) float64 { return e.expected(cand) * (1 + cand.w.failing()) }

// safetyFactor times the expected total has to remain for a task to be at no risk: the times of runs
// scatter, and the longest of a job's tasks decides when the job ends.
const safetyFactor = 1.25

// risk returns the risk that the task makes its job late on the candidate: 0 while safetyFactor
// times the expected total remains, 1 when the task is expected to be late.
func (e *evaluator) risk(cand *candidate) float64 {
	total := e.total(cand)
	switch {
	case e.remaining >= safetyFactor*total:
		return 0
	case e.remaining <= total:
		return 1
	}
	return (safetyFactor - e.remaining/total) / (safetyFactor - 1)
}

// Reasons that the log gives for a run that was ordered on a worker which is not ideal for it.
const (
	reasonFar      = "far"       // not in the rack of its data, and in time
	reasonLateFar  = "late_far"  // not in the rack of its data, and expected to be late
	reasonLateSlow = "late_slow" // on a slow worker, and expected to be late
)

// reason returns the reason that the log gives for a run on the candidate; empty if there is none.
func (e *evaluator) reason(cand *candidate) string {
	late := e.bySpeed && e.risk(cand) >= 1
	switch {
	case late && e.far(cand.w):
		return reasonLateFar
	case late && cand.factor > 1:
		return reasonLateSlow
	case e.far(cand.w):
		return reasonFar
	}
	return ""
}
