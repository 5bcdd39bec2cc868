package speed

import "time"

// deviation is a period in which the latest runs are far from the baseline, all slower or all
// faster.
type deviation struct {
	since  time.Time // when the period began; zero if there is none
	slower bool
	ratios []float64 // logarithms of the newest runs since then, at most maxSamples
}

// maxRecovery is how long a slowed server may take to recover. If it is still slow afterwards,
// that is its new baseline.
const maxRecovery = time.Minute

// add records a run.
func (d *deviation) add(now time.Time, slower bool, x float64) {
	if d.since.IsZero() || d.slower != slower {
		*d = deviation{since: now, slower: slower}
	}
	if len(d.ratios) == maxSamples {
		d.ratios = append(d.ratios[:0], d.ratios[1:]...)
	}
	d.ratios = append(d.ratios, x)
}

// permanent returns whether the deviation is to become the new baseline. One to the faster side
// does so after maxSamples runs, however short the period: nothing makes a server faster than it
// is, so the old baseline was wrong: it was learned while the server was slowed, or from too few
// runs.
func (d *deviation) permanent(now time.Time) bool {
	if !d.slower {
		return len(d.ratios) == maxSamples
	}
	return len(d.ratios) >= minRuns && now.Sub(d.since) >= maxRecovery
}
