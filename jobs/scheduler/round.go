package scheduler

import "time"

// round holds the candidates for all ready tasks of a service in one pass of dispatch.
type round struct {
	workers     []candidate
	speedWeight float64 // preference for fast workers: from 1 to -1, which prefers slow ones
}

func (c *Core) newRound(now time.Time, service string) *round {
	workers := c.candidates(now, service)
	return &round{workers: workers, speedWeight: speedPreference(workers)}
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
