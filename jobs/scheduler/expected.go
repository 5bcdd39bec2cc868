package scheduler

import (
	"slices"
	"time"
)

// fit is what a task asks of a place at one moment, worked out once for all candidates.
// Times are in milliseconds.
type fit struct {
	t        *task
	bySpeed  bool    // the expected end is reckoned with
	estimate float64 // of a run near its data
	remote   float64 // how many times as long a run takes away from its data; 1 if that makes no difference
	left     float64 // until the step has to end for the job to be on time; negative when that is over
	fast     float64 // how much fast workers are preferred where the task is in time: 1, or -1 for the slow
}

// fitOf works out what the task asks of a place.
func (c *Core) fitOf(now time.Time, t *task, r *round) fit {
	f := fit{t: t, bySpeed: c.cfg.Load.PlaceBySpeed, estimate: float64(t.step.EstimateMS), remote: 1, fast: r.fast}
	if f.bySpeed && t.step.Affinity != "" {
		f.remote = max(1, c.cfg.Load.RemoteFactor)
	}
	f.left = t.due.Sub(now).Seconds()*1000 + f.estimate
	return f
}

// near returns whether the worker is in the rack of the step's data.
func (t *task) near(w *worker) bool {
	return t.step.Affinity != "" && slices.Contains(w.identity.Labels, t.step.Affinity)
}

// far returns whether a run takes longer there since its data is elsewhere.
func (f *fit) far(w *worker) bool { return f.remote > 1 && !f.t.near(w) }

// estimateAt returns the estimate of a run there: that of any worker of usual speed as far
// from the data.
func (f *fit) estimateAt(w *worker) float64 {
	if f.far(w) {
		return f.estimate * f.remote
	}
	return f.estimate
}

// expected returns how long a run is expected to take there.
func (f *fit) expected(cand *candidate) float64 {
	if !f.bySpeed {
		return f.estimate
	}
	return f.estimateAt(cand.w) * cand.factor
}

// takes returns how long the task is expected to take there: the share of runs that fail has
// to begin anew.
func (f *fit) takes(cand *candidate) float64 { return f.expected(cand) * (1 + cand.w.failing()) }

// safeX is how many times what a task takes has to be left to it for the risk to be none:
// runs scatter, and the longest of a job's tasks decides.
const safeX = 1.25

// risk returns the risk that the task makes its job late there: none while safeX times what it
// takes is left to it, 1 when it is late as expected.
func (f *fit) risk(cand *candidate) float64 {
	takes := f.takes(cand)
	switch {
	case f.left >= safeX*takes:
		return 0
	case f.left <= takes:
		return 1
	}
	return (safeX - f.left/takes) / (safeX - 1)
}

// Reasons in the log for a run that is not where it would be best.
const (
	reasonFar      = "far"       // away from its data, and in time
	reasonLateFar  = "late_far"  // away from its data, and late as expected
	reasonLateSlow = "late_slow" // on a slow worker, and late as expected
)

// reason says for the log what is to be said against the place.
func (f *fit) reason(cand *candidate) string {
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
