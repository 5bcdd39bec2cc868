package speed

// Weights of one more run in the smoothed distance of the latest runs from the baseline, and the
// greatest distance that a run counts for. With these, eight tasks of one job with the same bad
// estimate do not make a server an outlier.
const (
	latestWeight   = 0.08 // of any run
	recoveryWeight = 0.3  // of a run that indicates that a slowed server has recovered
	latestClip     = 1.39 // logarithm of 4
)

// smooth returns the smoothed distance after one more run: an exponential moving average.
func smooth(latest, distance, weight float64) float64 {
	return latest + weight*(clip(distance, latestClip)-latest)
}

// clip limits x to the range from -limit to limit.
func clip(x, limit float64) float64 { return max(-limit, min(limit, x)) }
