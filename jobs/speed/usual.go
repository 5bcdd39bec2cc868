package speed

import "slices"

// usual is what runs at the server usually take.
type usual struct {
	value float64   // logarithm of time over estimate; 0 while it is not known
	runs  int       // that it was learned from
	first []float64 // the first of them, at most firstRuns
}

const (
	firstRuns = 30 // are kept, and looked at together
	// leastRuns is how many runs make the value known: one more wrong by a fourth is of no
	// use to anybody.
	leastRuns = 16
	// mostRuns bounds how many runs the value rests on, so that it follows small changes.
	mostRuns = 1000
	// usualReach is the distance that one run counts for at most: logarithm of 1.8.
	usualReach = 0.59
)

func (u *usual) known() bool { return u.runs >= leastRuns }

// learn takes a run.
func (u *usual) learn(x float64) {
	u.runs = min(u.runs+1, mostRuns)
	if u.runs > firstRuns {
		u.value += clip(x-u.value, usualReach) / float64(u.runs)
		return
	}
	u.first = append(u.first, x)
	if u.known() {
		u.value = centre(u.first)
	}
}

// restart forgets all runs but those given: firstRuns at most.
func (u *usual) restart(ratios []float64) {
	u.first = slices.Clone(ratios)
	u.runs = len(ratios)
	u.value = centre(ratios)
}

// latestOf returns how the runs compare with what is usual.
func (u *usual) latestOf(ratios []float64) float64 {
	latest := 0.0
	for _, x := range ratios {
		latest = follow(latest, x-u.value, latestWeight)
	}
	return latest
}

// centre returns the middle of the values: the mean of their distances from the median,
// of which none counts for more than usualReach.
func centre(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	n := len(sorted)
	median := (sorted[(n-1)/2] + sorted[n/2]) / 2
	sum := 0.0
	for _, x := range sorted {
		sum += clip(x-median, usualReach)
	}
	return median + sum/float64(n)
}
