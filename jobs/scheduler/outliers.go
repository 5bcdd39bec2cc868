package scheduler

import "time"

// runStats is what a worker's runs were like lately, for outlier detection.
type runStats struct {
	slowness float64 // smoothed: time of a run over its estimate
	failing  float64 // smoothed: share of runs that failed
	probedAt time.Time
}

// newRunStats returns those of a worker that nothing is known of.
func newRunStats() runStats { return runStats{slowness: 1} }

// Bounds of outlier detection. Chosen, not measured; that a worker that fails
// runs counts for less was measured at 0.873 and 0.872 in worth, 0.003 and 0.001
// of requests failed (docs/measurements/0006).
const (
	smoothing       = 0.2         // weight of one more run
	outlierSlowness = 2.2         // times the median of its peers
	outlierFailing  = 0.35        // share of runs that failed
	probeEvery      = time.Second // an outlier gets one task so often, to see whether it has recovered
)

func (s *runStats) ran(slowness float64) {
	s.slowness += smoothing * (slowness - s.slowness)
	s.failing -= smoothing * s.failing
}

func (s *runStats) failed() { s.failing += smoothing * (1 - s.failing) }

// ejected returns whether the worker is an outlier that is not due for a probe:
// its runs take far longer than its peers', or fail too often.
func (c *Core) ejected(now time.Time, w *worker, median float64) bool {
	if w.stats.slowness < outlierSlowness*median && w.stats.failing < outlierFailing {
		return false
	}
	return len(w.assigned) > 0 || now.Sub(w.stats.probedAt) < probeEvery
}

// slowness returns how long a run took as a multiple of its estimate; 1 if either
// is not known.
func slowness(t *task, runMS int64) float64 {
	if t.step.EstimateMS <= 0 || runMS <= 0 {
		return 1
	}
	return float64(runMS) / float64(t.step.EstimateMS)
}
