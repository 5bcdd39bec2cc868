package placement

import "time"

// PoolState is the sum over the usable agents of a pool.
type PoolState struct {
	Slots   int
	Queue   int           // limit on the tasks that wait at the agents
	Held    int           // estimated number of tasks queued or running
	MeanRun time.Duration // mean run time of a task; zero before the first
}

// State returns the state of the pool as this entry knows it.
func (s *Set) State(pool string) PoolState {
	var p PoolState
	var run float64
	counted := 0
	for _, a := range s.pools[pool] {
		if !usable(a, nil) {
			continue
		}
		p.Slots += a.Slots
		p.Queue += a.Queue
		p.Held += a.Outstanding + a.others
		if a.stats.n > 0 {
			run += a.stats.run
			counted++
		}
	}
	if counted > 0 {
		p.MeanRun = time.Duration(run / float64(counted) * float64(time.Second))
	}
	return p
}

// Wait returns the estimated time that the last of n new tasks waits for a slot.
func (p PoolState) Wait(n int) time.Duration {
	behind := p.Held + n - p.Slots
	if behind <= 0 || p.Slots == 0 {
		return 0
	}
	return time.Duration(float64(behind) / float64(p.Slots) * float64(p.MeanRun))
}

// maxQueueShare is the share of the pool's queues up to which whole jobs are accepted. The rest
// is a reserve for tasks that other entries have placed without this entry's knowledge.
const maxQueueShare = 0.7

// Full returns whether n new tasks would fill the queues beyond maxQueueShare, so
// that agents might refuse some of them.
func (p PoolState) Full(n int) bool {
	return float64(p.Held+n-p.Slots) > maxQueueShare*float64(p.Queue)
}
