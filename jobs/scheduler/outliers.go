package scheduler

import "time"

// Limits of outlier detection. Slowness and failures are in percent, as in wire.WorkerStatus.
const (
	usualSlowness    = 100         // slowness of a worker that has reported none
	outlierSlowness  = 2           // multiple of the usual slowness and of the peers' median that makes an outlier
	restoredSlowness = 1.6         // an outlier below this is restored; in the units of outlierSlowness
	outlierTime      = 2.2         // multiple of the peers' median alone, where servers are taken to be equally fast
	outlierFailing   = 35          // a worker with this share of failed runs is an outlier
	probeEvery       = time.Second // interval of the tasks that an outlier gets from all coordinators together
)

// slowness returns how long the worker's latest runs take, in percent of the baseline of that worker;
// in percent of their estimates where all servers are taken to be equally fast.
func (w *worker) slowness() float64 {
	slowness := float64(w.status.Slowness)
	if w.status.Slowness == 0 {
		slowness = usualSlowness
	}
	if w.speedIgnored && w.status.TimeFactor != 0 {
		slowness *= float64(w.status.TimeFactor) / 100
	}
	return slowness
}

// slownessBound returns the slowness from which on the worker is an outlier, given the median of its
// peers. An outlier has to fall well below the first bound, so that one quick probe does not restore
// it. Peers that are faster than usual don't lower the bound.
func (w *worker) slownessBound(median float64) float64 {
	switch {
	case w.speedIgnored:
		return outlierTime * median
	case w.outlier:
		return restoredSlowness * max(usualSlowness, median)
	}
	return outlierSlowness * max(usualSlowness, median)
}

// failing returns the share of the worker's latest runs that failed.
func (w *worker) failing() float64 { return float64(w.status.Failing) / 100 }

// detectOutlier updates whether the worker is an outlier, and logs a change. An outlier's runs take
// far longer than its baseline while those of its peers do not, or too many of them fail.
func (c *Core) detectOutlier(now time.Time, w *worker, median float64) {
	bound := w.slownessBound(median)
	outlier := w.slowness() >= bound || w.status.Failing >= outlierFailing
	if outlier == w.outlier {
		return
	}
	w.outlier = outlier
	if outlier {
		w.probedAt = now.Add(-time.Duration(c.random.Float64() * float64(c.probeGap(w))))
	}
	n := Note{What: WorkerRestored, Worker: w.name, Measure: SlownessPercent, Value: int64(w.slowness()), Limit: int64(bound)}
	if outlier {
		n.What = WorkerEjected
	}
	if w.status.Failing >= outlierFailing {
		n.Measure, n.Value, n.Limit = FailingPercent, int64(w.status.Failing), outlierFailing
	}
	c.note(n)
}

// probeGap returns the time between two probes of an outlier by this coordinator. All coordinators
// that share the worker probe it, each proportionally less often: a probe is a caller's task, and is
// late if the worker has not recovered.
func (c *Core) probeGap(w *worker) time.Duration {
	return time.Duration(float64(probeEvery) * max(1, c.sharers[w.identity.Service]))
}

// ejected returns whether the worker is an outlier that is not due for a probe.
func (c *Core) ejected(now time.Time, w *worker) bool {
	return w.outlier && (len(w.assigned) > 0 || now.Sub(w.probedAt) < c.probeGap(w))
}
