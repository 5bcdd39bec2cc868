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
	f := evaluator{t: t, bySpeed: c.cfg.Load.PlaceBySpeed, estimate: float64(t.step.EstimateMS), remoteFactor: 1, speedWeight: r.speedWeight}
	if f.bySpeed && t.step.Affinity != "" {
		f.remoteFactor = max(1, c.cfg.Load.RemoteFactor)
	}
	f.remaining = t.due.Sub(now).Seconds()*1000 + f.estimate
	return f
}

// near returns whether the worker is in the rack of the step's data.
func (t *task) near(w *worker) bool {
	return t.step.Affinity != "" && slices.Contains(w.identity.Labels, t.step.Affinity)
}

// far returns whether a run takes longer on the worker because its data is in another rack.
func (f *evaluator) far(w *worker) bool { return f.remoteFactor > 1 && !f.t.near(w) }

// estimateAt returns the estimate of a run on the worker. It includes the distance from the data but
// not the worker's own speed.
func (f *evaluator) estimateAt(w *worker) float64 {
	if f.far(w) {
		return f.estimate * f.remoteFactor
	}
	return f.estimate
}

// expected returns how long one run on the candidate is expected to take.
func (f *evaluator) expected(cand *candidate) float64 {
	if !f.bySpeed {
		return f.estimate
	}
	return f.estimateAt(cand.w) * cand.factor
}

// total returns how long the task is expected to take on the candidate, with the repetition of the
// share of runs that fail there.
func (f *evaluator) total(cand *candidate) float64 { return f.expected(cand) * (1 + cand.w.failing()) }

// safetyFactor times the expected total has to remain for a task to be at no risk: the times of runs
// scatter, and the longest of a job's tasks decides when the job ends.
const safetyFactor = 1.25

// risk returns the risk that the task makes its job late on the candidate: 0 while safetyFactor
// times the expected total remains, 1 when the task is expected to be late.
func (f *evaluator) risk(cand *candidate) float64 {
	total := f.total(cand)
	switch {
	case f.remaining >= safetyFactor*total:
		return 0
	case f.remaining <= total:
		return 1
	}
	return (safetyFactor - f.remaining/total) / (safetyFactor - 1)
}

// Reasons that the log gives for a run that was ordered on a worker which is not ideal for it.
const (
	reasonFar      = "far"       // not in the rack of its data, and in time
	reasonLateFar  = "late_far"  // not in the rack of its data, and expected to be late
	reasonLateSlow = "late_slow" // on a slow worker, and expected to be late
)

// reason returns the reason that the log gives for a run on the candidate; empty if there is none.
func (f *evaluator) reason(cand *candidate) string {
	late := f.bySpeed && f.risk(cand) >= 1
	switch {
	case late && f.far(cand.w):
		return reasonLateFar
	case late && cand.factor > 1:
		return reasonLateSlow
	case f.far(cand.w):
		return reasonFar
	}
	return ""
}
