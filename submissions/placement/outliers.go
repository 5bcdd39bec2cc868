package placement

import (
	"slices"
	"time"
)

// An agent is an outlier if its backend server takes much longer for its tasks
// than those of the other agents of its pool, or fails many more tasks. Its load
// is multiplied by the factor by which it is slower, or by failFactor. It still
// gets a small share of the tasks, so that its recovery is noticed, and its
// statistics decay towards those of a healthy agent.

// OutlierSettings holds the settings of outlier detection.
type OutlierSettings struct {
	// SlowFactor is the ratio of an agent's mean run time to the median of its
	// pool above which the agent is an outlier. Zero disables detection.
	SlowFactor float64
	// MaxShare is the greatest share of a pool's agents that may be outliers. If
	// more agents appear to be, the measurement is assumed to be wrong and none is.
	MaxShare float64
	// TrickleShare is the share of tasks that are offered to outliers.
	TrickleShare float64
}

const (
	detectInterval = 100 * time.Millisecond // between two passes over all pools
	sampleWeight   = 0.1                    // weight of the newest task in the averages
	minSamples     = 8                      // tasks before an agent can be an outlier
	decayPerPass   = 0.995                  // factor per pass on failure share and distance to the median run time
	maxFactor      = 50                     // limit on the factor of a slow agent
	failFactor     = 30                     // factor of an agent that fails far more tasks than the others
	failMargin     = 0.25                   // failure share above that of the median agent that makes an outlier
)

// taskStats holds the statistics of the tasks that ran at an agent.
type taskStats struct {
	n      int     // number of tasks
	run    float64 // moving average of the run time of successful tasks, in seconds
	failed float64 // moving average of the share of failed tasks
	factor float64 // factor on the agent's load: above 1 for an outlier, else 1 or, before the first pass, 0
}

// Observe records the run time and the outcome of a task that ran at the agent.
func (s *Set) Observe(id string, run time.Duration, failed bool) {
	a := s.byID[id]
	if a == nil {
		return
	}
	w := sampleWeight
	if a.stats.n == 0 {
		w = 1
	}
	a.stats.n++
	f := 0.0
	if failed {
		f = 1
	} else {
		a.stats.run += w * (run.Seconds() - a.stats.run)
	}
	a.stats.failed += sampleWeight * (f - a.stats.failed)
}

// DetectOutliers compares the agents of each pool if detectInterval has passed
// since the last time.
func (s *Set) DetectOutliers(now time.Time) {
	if s.policy.Outliers.SlowFactor == 0 || now.Sub(s.detectedAt) < detectInterval {
		return
	}
	s.detectedAt = now
	for _, pool := range s.pools {
		s.detectInPool(pool)
	}
}

func (s *Set) detectInPool(pool []*Agent) {
	run := median(pool, func(a *Agent) float64 { return a.stats.run })
	failed := median(pool, func(a *Agent) float64 { return a.stats.failed })
	outliers := 0
	factors := make([]float64, len(pool))
	for i, a := range pool {
		factors[i] = s.factor(a, run, failed)
		if factors[i] > 1 {
			outliers++
		}
	}
	plausible := float64(outliers) <= s.policy.Outliers.MaxShare*float64(len(pool))
	for i, a := range pool {
		a.stats.factor = 1
		if plausible {
			a.stats.factor = factors[i]
		}
		a.stats.failed *= decayPerPass
		a.stats.run += (1 - decayPerPass) * (run - a.stats.run)
	}
}

// factor returns the factor on the load of the agent, given the medians of the
// pool's run times and failure shares. It is 1 if the agent is no outlier.
func (s *Set) factor(a *Agent, run, failed float64) float64 {
	if a.stats.n < minSamples {
		return 1
	}
	if a.stats.failed > failed+failMargin {
		return failFactor
	}
	if run > 0 && a.stats.run > s.policy.Outliers.SlowFactor*run {
		return min(a.stats.run/run, maxFactor)
	}
	return 1
}

func median(pool []*Agent, of func(*Agent) float64) float64 {
	var values []float64
	for _, a := range pool {
		if a.stats.n >= minSamples {
			values = append(values, of(a))
		}
	}
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)/2]
}

// pickOutlier returns, for TrickleShare of the calls, an outlier that holds no
// task of this entry. It returns nil for the other calls and if there is none.
func (s *Set) pickOutlier(agents []*Agent, avoid []string) *Agent {
	if s.policy.Outliers.SlowFactor == 0 || s.rng.Float64() >= s.policy.Outliers.TrickleShare {
		return nil
	}
	for _, a := range agents {
		if a.stats.factor > 1 && a.Outstanding == 0 && usable(a, avoid) {
			return a
		}
	}
	return nil
}

// Outliers returns the number of outliers.
func (s *Set) Outliers() int {
	n := 0
	for _, a := range s.all {
		if a.stats.factor > 1 {
			n++
		}
	}
	return n
}
