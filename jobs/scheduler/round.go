package scheduler

import "time"

// round is one look for places, of all ready tasks of a service.
type round struct {
	workers []candidate
	fast    float64 // how much fast workers are preferred: 1, or -1 for the slow
}

func (c *Core) newRound(now time.Time, service string) *round {
	workers := c.candidates(now, service)
	return &round{workers: workers, fast: preferFast(workers)}
}

// While more than ampleRoom of the cores is free everybody gets the fastest; while less than
// scarceRoom is, what is surely in time on slow workers leaves the fast to what is tight.
// Between them the preference turns by and by.
const (
	ampleRoom  = 0.3 // share of all cores
	scarceRoom = 0.1 // the same
)

// preferFast returns how much fast workers are preferred, by the room that there is.
func preferFast(workers []candidate) float64 {
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
	return min(1, max(-1, 2*(share-scarceRoom)/(ampleRoom-scarceRoom)-1))
}
