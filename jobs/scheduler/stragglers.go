package scheduler

import "time"

// maxDoublings bounds how often the limit of a task's runs doubles.
const maxDoublings = 6

// limitOf returns how long a run of the task may take on the candidate before the worker stops it
// as a straggler; 0 sets no limit. The limit follows the time that the run is expected to take
// there. It doubles with each run that was stopped, in case the estimate is wrong and not the worker
// slow.
func (c *Core) limitOf(e *evaluator, cand *candidate) time.Duration {
	if e.estimate <= 0 {
		return 0
	}
	x := c.cfg.StragglerX * float64(int(1)<<min(e.t.straggles, maxDoublings))
	return time.Duration(x*e.expected(cand)*float64(time.Millisecond)) + c.cfg.StragglerMin
}
