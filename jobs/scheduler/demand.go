package scheduler

import "time"

// demand is what the tasks of one service here have asked of workers.
type demand struct {
	inUse   int64     // what is ordered now, thousandths of a core
	peak    int64     // the most that was, in this span
	before  int64     // the same, in the span before
	spanAt  time.Time // when this span began
	shortAt time.Time // when a task last fitted at no worker
	began   time.Time // when that began: none had not fitted for demandSpan before
}

// demandSpan is for how long demand is remembered, and up to twice as long. Longer than bursts
// are apart, so that connections do not come and go with each.
const demandSpan = 10 * time.Second

// spread is how many times the workers that our tasks fill we want to choose from. The others'
// tasks fill most of each.
const spread = 4

func (c *Core) demandOf(service string) *demand {
	d := c.demands[service]
	if d == nil {
		d = &demand{}
		c.demands[service] = d
	}
	return d
}

// use notes that tasks that take so much more have been ordered; less, if negative.
func (d *demand) use(milliCPU int64) {
	d.inUse += milliCPU
	d.peak = max(d.peak, d.inUse)
}

// recordShortage notes that a task fits at no worker now.
func (d *demand) recordShortage(now time.Time) {
	if now.Sub(d.shortAt) >= demandSpan {
		d.began = now
	}
	d.shortAt = now
}

// rotate begins a new span when the present one is over.
func (d *demand) rotate(now time.Time) {
	if now.Sub(d.spanAt) < demandSpan {
		return
	}
	d.before, d.peak = d.peak, d.inUse
	d.spanAt = now
}

// WorkersWanted returns how many workers of the service we want to choose from, and
// whether that is all that we can have: some task has fitted nowhere of late. A connection
// costs five heartbeats a second and their answers, so who asks for little keeps few.
func (c *Core) WorkersWanted(now time.Time, service string) (n int, all bool) {
	d := c.demandOf(service)
	d.rotate(now)
	if now.Sub(d.shortAt) < demandSpan {
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
	asked := spread * max(d.peak, d.before) * workers
	return int((asked + capacity - 1) / capacity), false
}

// ShortageSince returns whether tasks have begun to fit at no worker since then.
func (c *Core) ShortageSince(since time.Time) bool {
	for _, d := range c.demands {
		if d.began.After(since) {
			return true
		}
	}
	return false
}
