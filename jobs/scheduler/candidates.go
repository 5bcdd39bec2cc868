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

// candidates returns the workers among the sample that serve the service and take tasks.
func (c *Core) candidates(now time.Time, service string, sample []*worker) []candidate {
	out := make([]candidate, 0, len(sample))
	slow := make([]float64, 0, len(sample))
	for _, w := range sample {
		if !c.takesTasks(now, w) || w.identity.Service != service {
			continue
		}
		out = append(out, c.newCandidate(now, w))
		slow = append(slow, w.slowness())
	}
	slices.Sort(slow)
	for i := range out {
		c.detectOutlier(now, out[i].w, slow[len(slow)/2])
		out[i].ejected = c.ejected(now, out[i].w)
	}
	return out
}

func (c *Core) newCandidate(now time.Time, w *worker) candidate {
	return candidate{w: w, free: w.usable(now), fresh: w.fresh(now), factor: w.timeFactor(), jitter: c.random.Float64() * maxJitter}
}

const (
	// completeLookInterval is how often all workers are looked at for tasks of one need, if the sample of
	// a round has none for them: a label or a size may be that of a single worker.
	completeLookInterval = 50 * time.Millisecond
	// maxAdded is the number of workers that one such look adds to the candidates.
	maxAdded = 4
)

// addCandidates looks at the workers that are not in the round's sample, and adds some that can start the
// task. It returns whether there are any.
func (c *Core) addCandidates(now time.Time, r *round, t *task) bool {
	if !r.partial || now.Sub(t.group.lookedAt) < completeLookInterval {
		return false
	}
	t.group.lookedAt = now
	added := 0
	for _, w := range c.eligible {
		if added == maxAdded {
			break
		}
		if w.identity.Service != r.service || !t.step.Need.Fits(w.identity.Capacity) || !c.takesTasks(now, w) || r.has(w) {
			continue
		}
		cand := c.newCandidate(now, w)
		cand.ejected = c.ejected(now, w)
		if t.canStart(&cand) && !r.isLeft(&cand) {
			r.workers = append(r.workers, cand)
			added++
		}
	}
	return added > 0
}

// has returns whether the worker is among the candidates.
func (r *round) has(w *worker) bool {
	return slices.ContainsFunc(r.workers, func(cand candidate) bool { return cand.w == w })
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
