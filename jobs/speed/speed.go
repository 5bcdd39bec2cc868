// Package speed measures how the durations of runs on one incarnation of a backend server relate
// to their estimates: the baseline, which is usual there, and how the latest runs compare with
// it. A server with a slow baseline is used for tasks that still end in time there; one that has
// become slower than its baseline gets no tasks until it recovers.
//
// It owns the figures of one incarnation. It relies on its caller for the ends of runs and the
// time. It does no I/O and reads no clock.
package speed

import (
	"math"
	"time"
)

// Meter measures the speed of one incarnation of a backend server. It calculates with the
// natural logarithm of duration over estimate, since durations differ by factors.
type Meter struct {
	runs      uint64 // that ended
	baseline  baseline
	latest    float64   // exponentially smoothed distance of the latest runs from the baseline
	deviation deviation // while the latest runs are far from the baseline
}

// Running is a run that has not ended.
type Running struct {
	MinRatio    float64 // the least that its duration over its estimate will be
	EndedBefore uint64  // Meter.Runs when it began
}

// deviationFactor is the factor by which the latest runs must be longer or shorter than usual
// for the baseline to stop following them.
const deviationFactor = 1.5

// New returns a meter without runs.
func New() *Meter { return &Meter{} }

// Runs returns how many runs have ended.
func (m *Meter) Runs() uint64 { return m.runs }

// RunEnded records a run that has ended; ratio is its duration over its estimate, above 0.
func (m *Meter) RunEnded(now time.Time, ratio float64) {
	m.runs++
	x := logRatio(ratio)
	knew := m.baseline.known()
	if m.deviation.since.IsZero() || !knew {
		m.baseline.add(x)
	}
	if m.baseline.known() && !knew {
		m.latest = m.baseline.smoothedDistance(m.baseline.samples)
		return
	}
	m.latest = smooth(m.latest, x-m.baseline.value, m.weight(x))
	m.trackDeviation(now, x)
}

// weight returns the weight of a run in the smoothed distance of the latest runs. A slowed
// server gets few tasks by which it could show that it has recovered, so runs that are nearer
// to the baseline than to the latest runs have a greater weight.
func (m *Meter) weight(x float64) float64 {
	if m.latest > math.Log(deviationFactor) && x-m.baseline.value < m.latest/2 {
		return recoveryWeight
	}
	return latestWeight
}

// trackDeviation records whether the latest runs are far from the baseline. A deviation that
// has become permanent replaces the baseline.
func (m *Meter) trackDeviation(now time.Time, x float64) {
	if !m.baseline.known() || math.Abs(m.latest) < math.Log(deviationFactor) {
		m.deviation = deviation{}
		return
	}
	m.deviation.add(now, m.latest > 0, x)
	if m.deviation.permanent(now) {
		m.baseline.reset(m.deviation.ratios)
		m.latest = m.baseline.smoothedDistance(m.deviation.ratios)
		m.deviation = deviation{}
	}
}

// TimeFactor returns the usual duration of a run over its estimate; 0 while it is unknown.
func (m *Meter) TimeFactor() float64 {
	if !m.baseline.known() {
		return 0
	}
	return math.Exp(m.baseline.value)
}

// Slowness returns the duration of the latest runs over the usual one, or over their estimates
// while the usual one is unknown. A run that has not ended is included if it takes longer than
// the latest, with a weight that decreases with each run that has ended since it began. This
// detects a server that has become slow, or does nothing, before its runs end.
func (m *Meter) Slowness(running []Running) float64 {
	latest := m.latest
	for _, r := range running {
		x := logRatio(r.MinRatio) - m.baseline.value
		if x > latest {
			latest = smooth(latest, x, latestWeight*math.Pow(1-latestWeight, float64(m.runs-r.EndedBefore)))
		}
	}
	return math.Exp(latest)
}

// minRatio is the least ratio of duration over estimate that is calculated with. It keeps the
// logarithm of very short runs finite.
const minRatio = 0.01

func logRatio(ratio float64) float64 { return math.Log(max(minRatio, ratio)) }
