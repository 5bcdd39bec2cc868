// Package speed is the core that learns how the time of runs at one life of a backend server
// relates to their estimates: what is usual there, and how the latest runs compare with that.
// A server that is slow as such is used for what still ends in time there; one that has turned
// slow is left alone until it recovers.
//
// It owns the figures of one life. It relies on its caller for the ends of runs and the time.
// It does no I/O and reads no clock.
package speed

import (
	"math"
	"time"
)

// Meter learns the speed of one life of a backend server. All its figures are natural
// logarithms of time over estimate, since runs differ by factors.
type Meter struct {
	runs   uint64 // that ended
	usual  usual
	latest float64 // smoothed: distance of the latest runs from the usual value
	apart  apart   // while the latest runs are far from it
}

// Running is a run that goes on.
type Running struct {
	MinRatio    float64 // the least that its time over its estimate will be
	EndedBefore uint64  // Meter.Runs when it began
}

// apartX is how many times as long as usual, or as short, the latest runs take when the
// server's usual speed is not learned from them.
const apartX = 1.5

// New returns a meter that knows nothing.
func New() *Meter { return &Meter{} }

// Runs returns how many runs have ended.
func (m *Meter) Runs() uint64 { return m.runs }

// RunEnded takes a run that has ended; ratio is its time over its estimate, above 0.
func (m *Meter) RunEnded(now time.Time, ratio float64) {
	m.runs++
	x := logarithm(ratio)
	knew := m.usual.known()
	if m.apart.since.IsZero() || !knew {
		m.usual.learn(x)
	}
	if m.usual.known() && !knew {
		m.latest = m.usual.latestOf(m.usual.first)
		return
	}
	m.latest = follow(m.latest, x-m.usual.value, m.weight(x))
	m.noteApart(now, x)
}

// weight returns the weight of a run in the latest figure. A slowed server that is left alone
// has few runs to show that it has recovered: those count for more that are nearer to what is
// usual than to the latest.
func (m *Meter) weight(x float64) float64 {
	if m.latest > math.Log(apartX) && x-m.usual.value < m.latest/2 {
		return recoveredWeight
	}
	return latestWeight
}

// noteApart notes whether the latest runs are far from what is usual, and takes what they
// say for usual once that has lasted.
func (m *Meter) noteApart(now time.Time, x float64) {
	if !m.usual.known() || math.Abs(m.latest) < math.Log(apartX) {
		m.apart = apart{}
		return
	}
	m.apart.add(now, m.latest > 0, x)
	if m.apart.lasts(now) {
		m.usual.restart(m.apart.ratios)
		m.latest = m.usual.latestOf(m.apart.ratios)
		m.apart = apart{}
	}
}

// TimeFactor returns the usual time of a run over its estimate; 0 while it is not known.
func (m *Meter) TimeFactor() float64 {
	if !m.usual.known() {
		return 0
	}
	return math.Exp(m.usual.value)
}

// Slowness returns the time of the latest runs over what is usual, or over their estimates
// while that is not known. The runs that go on count as if they had ended, each at its
// place, where they take longer than the latest: a server that has become slow, or does
// nothing, is known before its runs end.
func (m *Meter) Slowness(running []Running) float64 {
	latest := m.latest
	for _, r := range running {
		x := logarithm(r.MinRatio) - m.usual.value
		if x > latest {
			latest = follow(latest, x, latestWeight*math.Pow(1-latestWeight, float64(m.runs-r.EndedBefore)))
		}
	}
	return math.Exp(latest)
}

// leastRatio bounds how short a run counts.
const leastRatio = 0.01

func logarithm(ratio float64) float64 { return math.Log(max(leastRatio, ratio)) }
