package scheduler

import (
	"slices"
	"time"
)

// round holds the candidates for all ready tasks of a service in one pass of dispatch.
type round struct {
	service     string
	workers     []candidate
	partial     bool    // workers is a sample
	speedWeight float64 // preference for fast workers: from 1 to -1, which prefers slow ones
	unplaced    []need  // that none of workers has capacity for
	looks       int     // number of tasks for which no worker was found
	waiting     []*task // of those that stay queued, the first of each need
	leaves      bool    // what tasks of waiting may use once it is free is left to them
}

func (c *Core) newRound(now time.Time, service string) *round {
	sample := c.sample(service)
	workers := c.candidates(now, service, sample)
	return &round{service: service, workers: workers, partial: len(sample) < len(c.eligible), speedWeight: speedPreference(workers)}
}

// knownUnplaced returns whether it follows from earlier looks in this round that no worker has capacity
// for a task of the need: what is free only decreases.
func (r *round) knownUnplaced(n *need) bool {
	for i := range r.unplaced {
		if r.unplaced[i].implies(n) {
			return true
		}
	}
	return false
}

// recordUnplaced records that no worker could start the task. Others of the need can't start either;
// those of other needs can't if capacity is what is missing.
func (r *round) recordUnplaced(t *task) {
	r.looks++
	for i := range r.workers {
		cand := &r.workers[i]
		if t.step.Need.Fits(cand.free) && t.mayUse(cand) {
			return
		}
	}
	r.unplaced = append(r.unplaced, t.group.need)
}

// While more than ampleFree of the cores is free, every task prefers fast workers. While less than
// scarceFree is free, tasks that are certain to be in time on slow workers prefer those, and leave
// the fast ones to tasks with little slack. In between, the preference changes linearly.
const (
	ampleFree  = 0.3 // share of all cores
	scarceFree = 0.1 // share of all cores
)

// speedPreference returns the weight of the preference for fast workers, from -1 to 1, by the share
// of the cores that is free.
func speedPreference(workers []candidate) float64 {
	var free, capacity int64
	for i := range workers {
		if workers[i].ejected {
			continue
		}
		free += max(0, workers[i].free.CPU)
		capacity += workers[i].w.identity.Capacity.CPU
	}
	if capacity == 0 {
		return 0
	}
	share := float64(free) / float64(capacity)
	return min(1, max(-1, 2*(share-scarceFree)/(ampleFree-scarceFree)-1))
}

// leaveToWaiting withdraws from the round the workers that tasks which stay queued can use: what is free
// there adds up for them. Overdue tasks then get the others.
func (r *round) leaveToWaiting() {
	r.leaves = true
	r.workers = slices.DeleteFunc(r.workers, func(cand candidate) bool { return r.isLeft(&cand) })
}

// isLeft returns whether the candidate is left to tasks that stay queued.
func (r *round) isLeft(cand *candidate) bool {
	return r.leaves && slices.ContainsFunc(r.waiting, func(t *task) bool {
		return t.step.Need.Fits(cand.w.identity.Capacity) && t.compatible(cand)
	})
}
