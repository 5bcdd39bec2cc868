package scheduler

import (
	"slices"
	"time"

	"github.com/lichenfall/lichenfall/wire"
)

// judge compares what a worker's runs took with what they should.
type judge struct {
	slowness float64 // smoothed: time of a run over its estimate
	failing  float64 // smoothed: share of runs that failed
	probedAt time.Time
}

// smoothing is the weight of one more run.
const smoothing = 0.2

func (j *judge) ran(slowness float64) {
	j.slowness += smoothing * (slowness - j.slowness)
	j.failing -= smoothing * j.failing
}

func (c *Core) stop(t *task) {
	if t.worker.up {
		c.send(t.worker.name, &wire.StopRuns{Runs: []wire.RunRef{t.ref()}})
	}
}

// limitOf returns how long a run of the task may take before it is a straggler;
// 0 sets no limit. It grows with each time that this has happened.
func (c *Core) limitOf(t *task) time.Duration {
	if t.step.EstimateMS <= 0 {
		return 0
	}
	x := c.cfg.StragglerX * float64(int(1)<<min(t.patience, maxPatience))
	return time.Duration(x*float64(t.step.Estimate())) + c.cfg.StragglerMin
}

const maxPatience = 6

// avoids returns whether the task should not run on the worker again.
func (t *task) avoids(w *worker) bool { return slices.Contains(t.avoid, w.name) }
