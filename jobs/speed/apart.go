package speed

import "time"

// apart is a time in which the latest runs are far from what is usual, to one side.
type apart struct {
	since  time.Time // zero at any other time
	slower bool
	ratios []float64 // the newest of the runs since then, at most firstRuns
}

// sicknessMost is how long a server that has turned slow is thought to recover; after it, it
// is a slow one.
const sicknessMost = time.Minute

// add takes a run.
func (a *apart) add(now time.Time, slower bool, x float64) {
	if a.since.IsZero() || a.slower != slower {
		*a = apart{since: now, slower: slower}
	}
	if len(a.ratios) == firstRuns {
		a.ratios = append(a.ratios[:0], a.ratios[1:]...)
	}
	a.ratios = append(a.ratios, x)
}

// lasts returns whether it is no sickness but what is usual now. Nothing makes a server
// faster than it is: what was usual before was a sickness, or learned from few runs.
func (a *apart) lasts(now time.Time) bool {
	if !a.slower {
		return len(a.ratios) == firstRuns
	}
	return len(a.ratios) >= leastRuns && now.Sub(a.since) >= sicknessMost
}
