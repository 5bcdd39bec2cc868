package speed

// The weight of one more run in what the latest were like, and the distance that it counts
// for at most: eight tasks of one job over the same bad estimate do not make a server an
// outlier.
const (
	latestWeight    = 0.08 // share of the new run
	recoveredWeight = 0.3  // of a run that shows that a slowed server has recovered
	latestReach     = 1.39 // logarithm of 4
)

// follow moves the smoothed distance towards that of one more run.
func follow(latest, distance, weight float64) float64 {
	return latest + weight*(clip(distance, latestReach)-latest)
}

// clip cuts x at the reach, to both sides.
func clip(x, reach float64) float64 { return max(-reach, min(reach, x)) }
