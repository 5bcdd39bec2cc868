package scheduler

import (
	"slices"
	"time"

	"github.com/lichenfall/lichenfall/jobs/durable"
)

// maxCandidates is how many workers are looked at in one round, so that a task
// costs the same however many there are.
const maxCandidates = 64

// candidate is a worker with what we believe is free there.
type candidate struct {
	w       *worker
	free    durable.Resources
	fresh   bool    // it told of that just now
	factor  float64 // usual time of a run there over its estimate
	heldFor float64 // work that holds out for it in this round, thousandths of a core times ms
	ejected bool    // an outlier that gets no task now
	jitter  float64 // share of the capacity by which the choice is left to chance
}

// candidates returns the workers of the service that take tasks.
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

// takesTasks returns whether the worker can be reached and takes tasks.
func (c *Core) takesTasks(now time.Time, w *worker) bool {
	return w.up && w.status.Ready && now.Sub(w.statusAt) <= c.cfg.Suspect
}

// free returns what is free at the worker: what it said last, less what was
// ordered since. It may be negative.
func (w *worker) free() durable.Resources {
	free := w.status.Free
	for t := range w.assigned {
		if t.startSeq > w.status.StartSeq {
			free = free.Sub(t.step.Need)
		}
	}
	return free
}

// sample returns the workers to look at in this round: all, or a run of them that begins
// anywhere, and those that have just told of room which was asked for.
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
	for _, w := range c.asksOf(service).told {
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
