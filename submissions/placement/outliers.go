package placement

import (
	"slices"
	"time"
)

// An agent whose backend server takes much longer for its tasks than those of
// the other agents of its pool, or fails many more, counts as more loaded than
// it is, by the factor by which it is worse. It still gets a trickle, so that
// it is noticed when it has recovered, and what was held against it fades.

// OutlierSettings holds the settings of this.
type OutlierSettings struct {
	// SlowFactor is how many times as slow as the median of its pool an agent must
	// be to be held back; zero detects none.
	SlowFactor float64
	// MaxShare is how many of a pool's agents may be held back. When more seem
	// bad, it is the view that is wrong, and none is.
	MaxShare float64
	// TrickleShare is the share of tasks that go to agents held back.
	TrickleShare float64
}

// Bounds of outlier detection.
const (
	detectEvery  = 100 * time.Millisecond // between two passes over a pool
	sampleWeight = 0.1                    // of the newest task in the averages
	leastSamples = 8                      // tasks seen before an agent can be an outlier
	fadePerPass  = 0.995                  // what is left after a pass of what was held against an agent
	worstFactor  = 50                     // greatest factor by which an outlier's load counts
	failFactor   = 30                     // of an agent that fails far more than the others
	failShare    = 0.25                   // of its tasks, beyond that of the median agent
)

// seen is what was seen of an agent's tasks.
type seen struct {
	n      int
	run    float64 // seconds, averaged
	failed float64 // share, averaged
	factor float64 // by which its load counts; 1 or more
}

// Observe records the end of a task that ran at the agent.
func (s *Set) Observe(id string, run time.Duration, failed bool) {
	a := s.byID[id]
	if a == nil {
		return
	}
	w := sampleWeight
	if a.seen.n == 0 {
		w = 1
	}
	a.seen.n++
	f := 0.0
	if failed {
		f = 1
	} else {
		a.seen.run += w * (run.Seconds() - a.seen.run)
	}
	a.seen.failed += sampleWeight * (f - a.seen.failed)
}

// DetectOutliers compares the agents of each pool, every so often.
func (s *Set) DetectOutliers(now time.Time) {
	if s.policy.Outliers.SlowFactor == 0 || now.Sub(s.detectedAt) < detectEvery {
		return
	}
	s.detectedAt = now
	for _, pool := range s.pools {
		s.detectIn(pool)
	}
}

func (s *Set) detectIn(pool []*Agent) {
	run := median(pool, func(a *Agent) float64 { return a.seen.run })
	failed := median(pool, func(a *Agent) float64 { return a.seen.failed })
	bad := 0
	factors := make([]float64, len(pool))
	for i, a := range pool {
		factors[i] = s.factor(a, run, failed)
		if factors[i] > 1 {
			bad++
		}
	}
	trusted := float64(bad) <= s.policy.Outliers.MaxShare*float64(len(pool))
	for i, a := range pool {
		a.seen.factor = 1
		if trusted {
			a.seen.factor = factors[i]
		}
		a.seen.failed *= fadePerPass
		a.seen.run += (1 - fadePerPass) * (run - a.seen.run)
	}
}

// factor returns how much worse than the median the agent is; 1 when it is not
// bad enough to be held back.
func (s *Set) factor(a *Agent, run, failed float64) float64 {
	if a.seen.n < leastSamples {
		return 1
	}
	if a.seen.failed > failed+failShare {
		return failFactor
	}
	if run > 0 && a.seen.run > s.policy.Outliers.SlowFactor*run {
		return min(a.seen.run/run, worstFactor)
	}
	return 1
}

func median(pool []*Agent, of func(*Agent) float64) float64 {
	var values []float64
	for _, a := range pool {
		if a.seen.n >= leastSamples {
			values = append(values, of(a))
		}
	}
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)/2]
}

// trickle returns an agent that is held back, now and then; else nil.
func (s *Set) trickle(agents []*Agent, avoid []string) *Agent {
	if s.policy.Outliers.SlowFactor == 0 || s.rng.Float64() >= s.policy.Outliers.TrickleShare {
		return nil
	}
	for _, a := range agents {
		if a.seen.factor > 1 && a.Outstanding == 0 && usable(a, avoid) {
			return a
		}
	}
	return nil
}

// Outliers returns the number of agents that count as more loaded than they
// are.
func (s *Set) Outliers() int {
	n := 0
	for _, a := range s.all {
		if a.seen.factor > 1 {
			n++
		}
	}
	return n
}
