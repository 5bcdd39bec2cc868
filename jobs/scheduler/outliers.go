package scheduler

import "time"

// Bounds of outlier detection, in the percent of WorkerStatus.
const (
	sound            = 100         // slowness of a worker of which nothing is known
	outlierSlowness  = 2           // times what is usual there, and the median of its peers
	restoredSlowness = 1.6         // the same, of a worker that is an outlier
	outlierTime      = 2.2         // times the median of its peers, where servers are taken to be alike
	outlierFailing   = 35          // share of runs that failed
	probeEvery       = time.Second // an outlier gets one task so often, of all coordinators together
)

// slowness returns what the worker says of the time of its latest runs, in percent of what is
// usual there; of their estimates where servers are taken to be alike.
func (w *worker) slowness() float64 {
	slowness := float64(w.status.Slowness)
	if w.status.Slowness == 0 {
		slowness = sound
	}
	if w.speedIgnored && w.status.TimeFactor != 0 {
		slowness *= float64(w.status.TimeFactor) / 100
	}
	return slowness
}

// slownessBound returns from which slowness on the worker is an outlier, by the median of its
// peers. One that is an outlier has to come well below, so that one quick probe does not
// restore it. Peers that are faster than usual make nobody slow.
func (w *worker) slownessBound(median float64) float64 {
	switch {
	case w.speedIgnored:
		return outlierTime * median
	case w.outlier:
		return restoredSlowness * max(sound, median)
	}
	return outlierSlowness * max(sound, median)
}

// failing returns the share of the worker's latest runs that failed.
func (w *worker) failing() float64 { return float64(w.status.Failing) / 100 }

// detectOutlier notes whether the worker is an outlier: its runs take far longer than usual
// there, and its peers' do not, or they fail too often.
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

// probeGap returns the time between two probes of an outlier by this coordinator. All that
// share the worker probe it, each so much less often: a probe is a caller's task, and late
// if the worker has not recovered.
func (c *Core) probeGap(w *worker) time.Duration {
	return time.Duration(float64(probeEvery) * max(1, c.sharers[w.identity.Service]))
}

// ejected returns whether the worker is an outlier that is not due for a probe.
func (c *Core) ejected(now time.Time, w *worker) bool {
	return w.outlier && (len(w.assigned) > 0 || now.Sub(w.probedAt) < c.probeGap(w))
}
