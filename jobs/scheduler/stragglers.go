package scheduler

import "time"

// maxDoublings bounds how often a task's limit doubles. Chosen, not measured.
const maxDoublings = 6

// limitOf returns how long a run of the task may take before its worker stops it
// as a straggler; 0 sets no limit. It doubles with each run that was stopped, in
// case the estimate is wrong and not the worker.
func (c *Core) limitOf(t *task) time.Duration {
	if t.step.EstimateMS <= 0 {
		return 0
	}
	x := c.cfg.StragglerX * float64(int(1)<<min(t.straggles, maxDoublings))
	return time.Duration(x*float64(t.step.Estimate())) + c.cfg.StragglerMin
}
