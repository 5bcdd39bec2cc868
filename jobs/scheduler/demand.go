package scheduler

import "time"

// demand tracks how much CPU this coordinator's tasks of one service have taken at workers.
type demand struct {
	inUse         int64     // of the tasks now with workers, thousandths of a core
	peak          int64     // highest inUse in this span
	previousPeak  int64     // highest inUse in the span before
	spanStart     time.Time // when this span began
	shortageAt    time.Time // when tasks last were left for lack of capacity
	shortageStart time.Time // when that shortage began, after demandSpan without one
}

// demandSpan is the length of a span; demand counts for one to two spans. It is longer than the
// time between bursts, so that connections are not closed and opened again for each burst.
const demandSpan = 10 * time.Second

// choiceFactor is how many workers a coordinator wants to choose from for each that its tasks
// would fill. Tasks of other coordinators fill most of each worker.
const choiceFactor = 4

func (c *Core) demandOf(service string) *demand {
	d := c.demands[service]
	if d == nil {
		d = &demand{}
		c.demands[service] = d
	}
	return d
}

// use adds the CPU of a task that was ordered, or, if negative, of one that has ended.
func (d *demand) use(milliCPU int64) {
	d.inUse += milliCPU
	d.peak = max(d.peak, d.inUse)
}

// recordShortage records that dispatch could not place all tasks now.
func (d *demand) recordShortage(now time.Time) {
	if now.Sub(d.shortageAt) >= demandSpan {
		d.shortageStart = now
	}
	d.shortageAt = now
}

// rotate starts a new span when the current one is over.
func (d *demand) rotate(now time.Time) {
	if now.Sub(d.spanStart) < demandSpan {
		return
	}
	d.previousPeak, d.peak = d.peak, d.inUse
	d.spanStart = now
}

// WorkersWanted returns how many workers of the service this coordinator wants to be connected
// to. all means as many as possible: dispatch could not place all tasks recently, or no
// capacity is known yet. Each connection costs five heartbeats a second and their answers, so a
// coordinator with little demand keeps few.
func (c *Core) WorkersWanted(now time.Time, service string) (n int, all bool) {
	d := c.demandOf(service)
	d.rotate(now)
	if now.Sub(d.shortageAt) < demandSpan {
		return 0, true
	}
	capacity, workers := int64(0), int64(0)
	for _, w := range c.eligible {
		if w.identity.Service == service && w.identity.Capacity.CPU > 0 {
			capacity += w.identity.Capacity.CPU
			workers++
		}
	}
	if capacity == 0 {
		return 0, true
	}
	asked := choiceFactor * max(d.peak, d.previousPeak) * workers
	return int((asked + capacity - 1) / capacity), false
}

// ShortageSince returns whether a shortage of capacity has begun after the time, in any service.
func (c *Core) ShortageSince(since time.Time) bool {
	for _, d := range c.demands {
		if d.shortageStart.After(since) {
			return true
		}
	}
	return false
}
