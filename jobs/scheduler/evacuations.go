package scheduler

import (
	"slices"
	"time"

	"github.com/lichenfall/lichenfall/jobs/routing"
	"github.com/lichenfall/lichenfall/lib/ordered"
	"github.com/lichenfall/lichenfall/wire"
)

// Evacuate takes the data centres in which operators want no task started, as the store has
// just told. It returns whether others are evacuated than before. Until the first word of it
// nothing is ordered. What is known stays in force while the store cannot be read: to stop
// serving in each outage of the store would cost far more than a late evacuation, and of one
// that came since, workers know by other coordinators.
func (c *Core) Evacuate(now time.Time, e routing.Evacuations) (changed bool) {
	if e.Offset < c.evacuations.Offset {
		return false
	}
	before := c.evacuations
	c.evacuations, c.evacuationsAt = e, now
	if before.SameDataCentres(e) {
		return false
	}
	for _, w := range c.order {
		c.updateEligible(w)
	}
	c.noteEvacuations(now, before)
	c.tellEvacuations(now)
	if c.allEvacuated() {
		c.refuseAll(now)
	}
	return true
}

// Evacuated returns whether nothing may be started in the data centre.
func (c *Core) Evacuated(dataCentre string) bool { return c.evacuations.Has(dataCentre) }

// noteEvacuations remembers and says for the log which data centres are evacuated or taken back.
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

// workersIn returns how many connected workers there are in the data centre.
func (c *Core) workersIn(dataCentre string) int64 {
	n := int64(0)
	for _, w := range c.order {
		if w.up && w.dataCentre == dataCentre {
			n++
		}
	}
	return n
}

// tellEvacuations tells all workers at once. The heartbeat brings it anyway, later by its
// period, and with it the last word about orders that are on their way is the worker's.
func (c *Core) tellEvacuations(now time.Time) {
	for _, w := range c.order {
		c.heartbeat(now, w)
	}
}

// evacuationsKnown returns whether the store has told of evacuations.
func (c *Core) evacuationsKnown() bool { return !c.evacuationsAt.IsZero() }

// evacuationsMessage returns what a worker is told; nil before the store has told of them.
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

// allEvacuated returns whether every worker that can be reached is in an evacuated data
// centre.
func (c *Core) allEvacuated() bool {
	reached := false
	for _, w := range c.order {
		if w.up && !c.Evacuated(w.dataCentre) {
			return false
		}
		reached = reached || w.up
	}
	return reached
}

// refuseAll refuses the best-effort jobs that have not begun, since none will before the
// operators say so.
func (c *Core) refuseAll(now time.Time) {
	c.servedAt = now.Add(-startupGrace)
	for _, j := range ordered.Values(c.bestEffort) {
		if !j.begun() {
			c.refuseUnstarted(now, j, reasonAllEvacuated, nil)
		}
	}
}

// updateEligible puts the worker among those that new tasks may go to, or takes it out.
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
