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

// stopStragglers stops runs that take far longer than they should, so that
// they can be started elsewhere.
func (c *Core) stopStragglers(now time.Time, w *worker) {
	for _, t := range w.tasks() {
		if t.step.EstimateMS <= 0 {
			continue
		}
		x := c.cfg.StragglerX * float64(int(1)<<min(t.patience, maxPatience))
		limit := time.Duration(x*float64(t.step.Estimate())) + c.cfg.StragglerMin
		if now.Sub(t.sentAt) < limit {
			continue
		}
		c.note(Note{What: "straggler_stopped", Task: t.id.String(), Run: t.run, Worker: w.name, Number: now.Sub(t.sentAt).Milliseconds()})
		t.patience++
		t.sentAt = now
		t.avoid = append(t.avoid, w.name)
		w.judge.ran(x)
		c.stop(t)
	}
}

const maxPatience = 6

// avoids returns whether the task should not run on the worker again.
func (t *task) avoids(w *worker) bool { return slices.Contains(t.avoid, w.name) }
