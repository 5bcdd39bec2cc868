package scheduler

import (
	"slices"
	"time"

	"github.com/lichenfall/lichenfall/jobs/durable"
)

// maxCandidates is the number of workers that one round considers, so that the cost of a task does
// not grow with the number of workers.
const maxCandidates = 64

// candidate is a worker that may get tasks in a round, with the capacity that is free there as far as
// this coordinator knows.
type candidate struct {
	w       *worker
	free    durable.Resources
	fresh   bool    // its status is at most freshFor old
	factor  float64 // usual time of a run there over its estimate
	heldFor float64 // work of the tasks held for it in this round, in thousandths of a core times ms
	ejected bool    // it is an outlier and not due for a probe
	jitter  float64 // random term of its score
}

// candidates returns the sampled workers of the service that take tasks.
func (c *Core) candidates(now time.Time, service string) []candidate {
	sample := c.sample(service)
	out := make([]candidate, 0, len(sample))
	slow := make([]float64, 0, len(sample))
	for _, w := range sample {
		if !c.takesTasks(now, w) || w.identity.Service != service {
			continue
		}
		out = append(out, candidate{w: w, free: w.usable(now), fresh: w.fresh(now), factor: w.timeFactor(), jitter: c.random.Float64() * maxJitter})
		slow = append(slow, w.slowness())
	}
	slices.Sort(slow)
	for i := range out {
		c.detectOutlier(now, out[i].w, slow[len(slow)/2])
		out[i].ejected = c.ejected(now, out[i].w)
	}
	return out
}

// takesTasks returns whether the worker is connected, has sent a status within Settings.Suspect, and
// reports that it takes tasks.
func (c *Core) takesTasks(now time.Time, w *worker) bool {
	return w.up && w.status.Ready && now.Sub(w.statusAt) <= c.cfg.Suspect
}

// free returns the worker's free capacity: what its last status reports, less the needs of the runs
// that were ordered since. It may be negative.
func (w *worker) free() durable.Resources {
	free := w.status.Free
	for t := range w.assigned {
		if t.startSeq > w.status.StartSeq {
			free = free.Sub(t.step.Need)
		}
	}
	return free
}

// sample returns the workers that this round considers: all eligible ones, or maxCandidates of them
// in sequence from a random one, and those that have just reported capacity which was requested for
// the service.
func (c *Core) sample(service string) []*worker {
	n := len(c.eligible)
	if n <= maxCandidates {
		return c.eligible
	}
	at := c.random.IntN(n)
	var out []*worker
	if at+maxCandidates <= n {
		out = slices.Clone(c.eligible[at : at+maxCandidates])
	} else {
		out = slices.Concat(c.eligible[at:], c.eligible[:at+maxCandidates-n])
	}
	for _, w := range c.requestsOf(service).reported {
		if c.isEligible(w) && !slices.Contains(out, w) {
			out = append(out, w)
		}
	}
	return out
}

// isEligible returns whether new tasks may go to the worker at all.
func (c *Core) isEligible(w *worker) bool {
	_, is := slices.BinarySearchFunc(c.eligible, w, byName)
	return is
}
