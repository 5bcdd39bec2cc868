package config

import "github.com/lichenfall/lichenfall/jobs/subset"

// Subset is the section on the workers that a coordinator connects to.
type Subset struct {
	Size     int `json:"size"`     // workers of each service; all workers if there are fewer
	Coverage int `json:"coverage"` // coordinators that should be connected to each worker, at least
}

// DefaultSubset returns the defaults of Subset.
func DefaultSubset() Subset { return Subset{Size: 48, Coverage: 4} }

// Core returns the settings of the choice of workers.
func (s *Subset) Core() subset.Settings {
	return subset.Settings{Size: s.Size, Coverage: s.Coverage}
}

func (s *Subset) check(c *checker) {
	between(c, "subset.size", s.Size, 1, 10000)
	between(c, "subset.coverage", s.Coverage, 1, 1000)
}
