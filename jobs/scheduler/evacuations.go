package scheduler

import (
	"slices"
	"time"

	"github.com/lichenfall/lichenfall/jobs/routing"
	"github.com/lichenfall/lichenfall/lib/ordered"
	"github.com/lichenfall/lichenfall/wire"
)

// Evacuate sets the data centres in which operators want no tasks started, as just read from the
// store, and returns whether the set has changed. A reading older than the last is ignored.
// Before the first reading no tasks are ordered. While the store cannot be read the last reading
// stays in force: to stop serving in each outage of the store would cost far more than a late
// evacuation, and workers receive a newer reading from other coordinators.
func (c *Core) Evacuate(now time.Time, e routing.Evacuations) (changed bool) {
	if e.Offset < c.evacuations.Offset {
		return false
	}
	before := c.evacuations
	c.evacuations, c.evacuationsAt = e, now
	if before.SameDataCentres(e) {
		return false
	}
	for _, w := range c.allWorkers {
		c.updateEligible(w)
	}
	c.noteEvacuations(now, before)
	c.announceEvacuations(now)
	if c.allEvacuated() {
		c.refuseAll(now)
	}
	return true
}

// Evacuated returns whether no tasks may be started in the data centre.
func (c *Core) Evacuated(dataCentre string) bool { return c.evacuations.Has(dataCentre) }

// noteEvacuations records since when data centres are evacuated, and logs those that are evacuated
// or returned.
func (c *Core) noteEvacuations(now time.Time, before routing.Evacuations) {
	for _, dataCentre := range c.evacuations.DataCentres {
		if !before.Has(dataCentre) {
			c.evacuatedAt[dataCentre] = now
			c.note(Note{What: DataCentreEvacuated, Reason: dataCentre, Measure: WorkersThere, Value: c.workersIn(dataCentre)})
		}
	}
	for _, dataCentre := range before.DataCentres {
		if !c.evacuations.Has(dataCentre) {
			delete(c.evacuatedAt, dataCentre)
			c.note(Note{What: DataCentreReturned, Reason: dataCentre, Measure: WorkersThere, Value: c.workersIn(dataCentre)})
		}
	}
}

// workersIn returns the number of connected workers in the data centre.
func (c *Core) workersIn(dataCentre string) int64 {
	n := int64(0)
	for _, w := range c.allWorkers {
		if w.up && w.dataCentre == dataCentre {
			n++
		}
	}
	return n
}

// announceEvacuations sends the evacuations to all workers at once, ahead of the next regular
// heartbeat. A worker in an evacuated data centre then hands back the orders that are still on their
// way to it.
func (c *Core) announceEvacuations(now time.Time) {
	for _, w := range c.allWorkers {
		c.heartbeat(now, w)
	}
}

// evacuationsKnown returns whether the evacuations have been read from the store.
func (c *Core) evacuationsKnown() bool { return !c.evacuationsAt.IsZero() }

// evacuationsMessage returns the evacuations for a worker's heartbeat; nil before the first reading.
func (c *Core) evacuationsMessage(now time.Time) *wire.Evacuations {
	if !c.evacuationsKnown() {
		return nil
	}
	return &wire.Evacuations{
		Offset:      c.evacuations.Offset,
		AgeMS:       uint32(now.Sub(c.evacuationsAt).Milliseconds()),
		DataCentres: c.evacuations.DataCentres,
	}
}

// allEvacuated returns whether there are connected workers and all are in evacuated data centres.
func (c *Core) allEvacuated() bool {
	reached := false
	for _, w := range c.allWorkers {
		if w.up && !c.Evacuated(w.dataCentre) {
			return false
		}
		reached = reached || w.up
	}
	return reached
}

// refuseAll refuses the best-effort jobs that have not begun, since none can begin until the
// operators end an evacuation. It also lets new jobs be refused without the startup grace.
func (c *Core) refuseAll(now time.Time) {
	c.servedAt = now.Add(-startupGrace)
	for _, j := range ordered.Values(c.bestEffort) {
		if !j.begun() {
			c.refuseUnstarted(now, j, reasonAllEvacuated, nil)
		}
	}
}

// updateEligible adds the worker to those that new tasks may go to, or removes it.
func (c *Core) updateEligible(w *worker) {
	at, is := slices.BinarySearchFunc(c.eligible, w, byName)
	may := w.preference != Excluded && !c.Evacuated(w.dataCentre)
	switch {
	case may && !is:
		c.eligible = slices.Insert(c.eligible, at, w)
	case !may && is:
		c.eligible = slices.Delete(c.eligible, at, at+1)
	}
}
