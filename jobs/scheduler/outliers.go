package scheduler

import "time"

// Bounds of outlier detection, in the percent of WorkerStatus. Chosen, not measured;
// that a worker that fails runs counts for less was measured at 0.873 and 0.872 in
// worth, 0.003 and 0.001 of requests failed (docs/measurements/0006).
const (
	sound           = 100         // slowness of a worker of which nothing is known
	outlierSlowness = 2.2         // times the median of its peers
	outlierFailing  = 35          // share of runs that failed
	probeEvery      = time.Second // an outlier gets one task so often, to see whether it has recovered
)

// slowness returns what the worker says of the time of its latest runs, in percent of
// their estimates.
func (w *worker) slowness() float64 {
	if w.status.Slowness == 0 {
		return sound
	}
	return float64(w.status.Slowness)
}

// failing returns the share of the worker's latest runs that failed.
func (w *worker) failing() float64 { return float64(w.status.Failing) / 100 }

// detectOutlier notes whether the worker is an outlier: its runs take far longer than its
// peers', or fail too often.
func (c *Core) detectOutlier(w *worker, median float64) {
	outlier := w.slowness() >= outlierSlowness*median || w.status.Failing >= outlierFailing
	if outlier == w.outlier {
		return
	}
	w.outlier = outlier
	n := Note{What: WorkerRestored, Worker: w.name, Measure: SlownessPercent, Value: int64(w.slowness()), Limit: int64(outlierSlowness * median)}
	if outlier {
		n.What = WorkerEjected
	}
	if w.status.Failing >= outlierFailing {
		n.Measure, n.Value, n.Limit = FailingPercent, int64(w.status.Failing), outlierFailing
	}
	c.note(n)
}

// ejected returns whether the worker is an outlier that is not due for a probe.
func (w *worker) ejected(now time.Time) bool {
	return w.outlier && (len(w.assigned) > 0 || now.Sub(w.probedAt) < probeEvery)
}
