package placement

import "time"

// PoolState sums up the agents of a pool that can be used.
type PoolState struct {
	Slots   int
	Queue   int           // tasks that may wait, by the agents' bounds
	Held    int           // tasks thought to be queued or running
	MeanRun time.Duration // mean time of a task, zero when none was seen
}

// State returns the state of a pool as this entry knows it.
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
		if a.seen.n > 0 {
			run += a.seen.run
			counted++
		}
	}
	if counted > 0 {
		p.MeanRun = time.Duration(run / float64(counted) * float64(time.Second))
	}
	return p
}

// Wait returns how long the last of n new tasks would wait for a slot.
func (p PoolState) Wait(n int) time.Duration {
	behind := p.Held + n - p.Slots
	if behind <= 0 || p.Slots == 0 {
		return 0
	}
	return time.Duration(float64(behind) / float64(p.Slots) * float64(p.MeanRun))
}

// fullShare is the share of the pool's queues up to which whole jobs are taken. The rest is
// for what an entry does not know of the others.
const fullShare = 0.7

// Full returns whether n new tasks would fill the queues so far that some of
// them might be refused.
func (p PoolState) Full(n int) bool {
	return float64(p.Held+n-p.Slots) > fullShare*float64(p.Queue)
}
