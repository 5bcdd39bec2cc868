package speed

import "slices"

// baseline is the usual duration of runs on the server over their estimates.
type baseline struct {
	value   float64   // logarithm of duration over estimate; 0 while it is unknown
	runs    int       // how many runs the value is learned from, at most maxRuns
	samples []float64 // the first of these runs, at most maxSamples
}

const (
	// maxSamples is how many runs are kept, and evaluated together.
	maxSamples = 30
	// minRuns is how many runs make the value known. With fewer it may be off by more than a
	// quarter, which is of no use.
	minRuns = 16
	// maxRuns bounds how many runs the value rests on, so that it follows small changes.
	maxRuns = 1000
	// baselineClip is the greatest distance from the value that a run counts for: the
	// logarithm of 1.8.
	baselineClip = 0.59
)

func (b *baseline) known() bool { return b.runs >= minRuns }

// add records a run.
func (b *baseline) add(x float64) {
	b.runs = min(b.runs+1, maxRuns)
	if b.runs > maxSamples {
		b.value += clip(x-b.value, baselineClip) / float64(b.runs)
		return
	}
	b.samples = append(b.samples, x)
	if b.known() {
		b.value = robustMean(b.samples)
	}
}

// reset replaces all runs by the given ones, of which there are at most maxSamples.
func (b *baseline) reset(ratios []float64) {
	b.samples = slices.Clone(ratios)
	b.runs = len(ratios)
	b.value = robustMean(ratios)
}

// smoothedDistance returns the smoothed distance of the given runs from the baseline.
func (b *baseline) smoothedDistance(ratios []float64) float64 {
	latest := 0.0
	for _, x := range ratios {
		latest = smooth(latest, x-b.value, latestWeight)
	}
	return latest
}

// robustMean returns the median of the values plus the mean of their distances from it, each
// limited to baselineClip so that outliers count for little.
func robustMean(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	n := len(sorted)
	median := (sorted[(n-1)/2] + sorted[n/2]) / 2
	sum := 0.0
	for _, x := range sorted {
		sum += clip(x-median, baselineClip)
	}
	return median + sum/float64(n)
}
