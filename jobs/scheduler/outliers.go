package scheduler

import "time"

// Bounds of outlier detection, in the percent of WorkerStatus. Chosen, not measured.
const (
	sound           = 100         // slowness of a worker of which nothing is known
	outlierSlowness = 2.2         // times the median of its peers
	outlierFailing  = 35          // share of runs that failed
	probeEvery      = time.Second // an outlier gets one task so often, of all coordinators together
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
func (c *Core) detectOutlier(now time.Time, w *worker, median float64) {
	outlier := w.slowness() >= outlierSlowness*median || w.status.Failing >= outlierFailing
	if outlier == w.outlier {
		return
	}
	w.outlier = outlier
	if outlier {
		w.probedAt = now.Add(-time.Duration(c.random.Float64() * float64(c.probeGap(w))))
	}
	n := Note{What: WorkerRestored, Worker: w.name, Measure: SlownessPercent, Value: int64(w.slowness()), Limit: int64(outlierSlowness * median)}
	if outlier {
		n.What = WorkerEjected
	}
	if w.status.Failing >= outlierFailing {
		n.Measure, n.Value, n.Limit = FailingPercent, int64(w.status.Failing), outlierFailing
	}
	c.note(n)
}

// probeGap returns the time between two probes of an outlier by this coordinator. All that
// share the worker probe it, each so much less often: a probe is a caller's task, and late
// if the worker has not recovered. With one a second from each of eleven sharers, slow
// servers made 8 % of all jobs late for as long as they were slow.
func (c *Core) probeGap(w *worker) time.Duration {
	return time.Duration(float64(probeEvery) * max(1, c.sharers[w.identity.Service]))
}

// ejected returns whether the worker is an outlier that is not due for a probe.
func (c *Core) ejected(now time.Time, w *worker) bool {
	return w.outlier && (len(w.assigned) > 0 || now.Sub(w.probedAt) < c.probeGap(w))
}
