package scheduler

import (
	"slices"
	"time"

	"github.com/lichenfall/lichenfall/jobs/durable"
)

// candidate is a worker with what is free there, as far as we know.
type candidate struct {
	w      *worker
	free   durable.Resources
	shaky  bool // slow or failing against its peers
	jitter float64
	queues bool // a task that does not fit may wait there
}

// candidates returns the workers of the service that take tasks.
func (c *Core) candidates(now time.Time, service string) []candidate {
	var out []candidate
	var slow []float64
	homes := false
	for _, w := range c.sample() {
		if !w.up || !w.status.Ready || w.identity.Service != service || now.Sub(w.heardAt) > c.cfg.Suspect {
			continue
		}
		free := w.status.Free
		for t := range w.assigned {
			if t.startSeq > w.status.StartSeq {
				free = free.Sub(t.step.Need)
			}
		}
		out = append(out, candidate{w: w, free: free, jitter: c.random.Float64() * spread})
		slow = append(slow, w.judge.slowness)
		homes = homes || w.preference == Home
	}
	slices.Sort(slow)
	for i := range out {
		w := out[i].w
		out[i].shaky = c.shaky(now, w, slow[len(slow)/2])
		out[i].queues = (w.preference == Home || !homes) && !now.Before(w.fullUntil)
	}
	return out
}

// mostLooked is how many workers are looked at in one round, so that a task
// costs the same however many there are.
const mostLooked = 64

// sample returns the workers to look at in this round: all, or a run of them
// that begins anywhere.
func (c *Core) sample() []*worker {
	n := len(c.chosen)
	if n <= mostLooked {
		return c.chosen
	}
	at := c.random.IntN(n)
	if at+mostLooked <= n {
		return c.chosen[at : at+mostLooked]
	}
	return slices.Concat(c.chosen[at:], c.chosen[:at+mostLooked-n])
}

// spread is by how much of a worker's capacity the choice is left to chance, so
// that coordinators do not all choose the same.
const spread = 0.08

// Bounds beyond which a worker gets no more than a trickle.
const (
	slowX      = 2.2 // times the median of its peers
	failingMax = 0.35
	trickle    = time.Second
)

func (c *Core) shaky(now time.Time, w *worker, median float64) bool {
	if w.judge.slowness < slowX*median && w.judge.failing < failingMax {
		return false
	}
	return len(w.assigned) > 0 || now.Sub(w.judge.probedAt) < trickle
}

// choose returns the worker with the most room that the task may run on: a
// sound one where it fits, else a sound one where it waits a little, else any
// where it fits.
func (c *Core) choose(t *task, workers []candidate, wait bool) *candidate {
	var best *candidate
	bestScore := 0.0
	for i := range workers {
		cand := &workers[i]
		score, ok := c.score(t, cand, wait)
		if ok && (best == nil || score > bestScore) {
			best, bestScore = cand, score
		}
	}
	return best
}

// Scores of a choice, before the share of the capacity that is free.
const (
	scoreFits  = 10.0
	scoreWaits = 5.0
	scoreNear  = 0.02 // same data centre
	scoreHome  = 0.6  // a home worker: what is free there is known best
	scoreRack  = 2.0  // near the task's data
	overcommit = 0.06 // share of the capacity that may wait at a worker

	// What the share of failed runs at a worker takes away: for a task that has
	// failed before, more than anything but room can add.
	scoreFailing      = 1.0
	scoreFailingAgain = 8.0
)

func (c *Core) score(t *task, cand *candidate, wait bool) (score float64, ok bool) {
	capacity := cand.w.identity.Capacity
	if !t.step.Need.Fits(capacity) || !allowed(t, cand.w) || capacity.CPU == 0 {
		return 0, false
	}
	share := float64(cand.free.CPU) / float64(capacity.CPU)
	switch {
	case cand.shaky:
		return 0, false
	case t.step.Need.Fits(cand.free):
		score = scoreFits
	case wait && cand.queues && share > -overcommit && cand.w.status.Waiting < mostWaiting:
		score = scoreWaits
	default:
		return 0, false
	}
	if t.avoids(cand.w) {
		score -= scoreFits
	}
	if cand.w.preference == Home {
		score += scoreHome
	}
	if len(t.failures) > 0 {
		score -= scoreFailingAgain * cand.w.judge.failing
	} else {
		score -= scoreFailing * cand.w.judge.failing
	}
	if cand.w.dataCentre == c.cfg.DataCentre {
		score += scoreNear
	}
	if t.step.Affinity != "" && slices.Contains(cand.w.identity.Labels, t.step.Affinity) {
		score += scoreRack
	}
	return score + share + cand.jitter, true
}

// mostWaiting is how many runs may wait at a worker to which more are sent
// that have to wait.
const mostWaiting = 2

// allowed returns whether the step's constraints let the task run there.
func allowed(t *task, w *worker) bool {
	if t.step.Requires != "" && !slices.Contains(w.identity.Labels, t.step.Requires) {
		return false
	}
	if t.step.AntiAffinity == 0 {
		return true
	}
	n := uint32(0)
	for o := range w.assigned {
		if o.job == t.job && o.id.Step == t.id.Step {
			n++
		}
	}
	return n < t.step.AntiAffinity
}
