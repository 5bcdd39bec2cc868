package scheduler

import "time"

// maxDoublings bounds how often a task's limit doubles.
const maxDoublings = 6

// limitOf returns how long a run of the task may take at the worker before that stops it
// as a straggler; 0 sets no limit. It goes by what a run is expected to take there, and
// doubles with each run that was stopped, in case the estimate is wrong and not the worker.
func (c *Core) limitOf(f *fit, cand *candidate) time.Duration {
	if f.estimate <= 0 {
		return 0
	}
	x := c.cfg.StragglerX * float64(int(1)<<min(f.t.straggles, maxDoublings))
	return time.Duration(x*f.expected(cand)*float64(time.Millisecond)) + c.cfg.StragglerMin
}
