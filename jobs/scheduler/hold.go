package scheduler

import "math"

// A task that would be late where there is room may hold out for a quicker place that is
// full: near its data, or a faster worker. So room that is of no use to it is left to what
// comes after it and is in time there.
const (
	holdRisk  = 0.5 // the risk of being late that is worth a wait; no more at the quicker place
	quicker   = 0.8 // of what it takes where there is room: less is worth a wait
	holdShare = 0.5 // of the slack that it has at the quicker places: the most that it may wait
)

// holdsOut returns whether the task waits for a quicker place although the best of those
// with room would take it.
func (c *Core) holdsOut(r *round, f *fit, best *candidate) bool {
	if !f.bySpeed || f.risk(best) <= holdRisk {
		return false
	}
	places := f.quickerPlaces(r.workers, best)
	if len(places) == 0 {
		return false
	}
	takes := f.quickest(places)
	work := float64(f.t.step.Need.CPU) * takes
	wait := c.waitFor(f.t, places, work)
	allowed := holdShare * (f.left - max(takes, f.estimate))
	if wait > allowed {
		return false
	}
	for _, cand := range places {
		cand.heldFor += work / float64(len(places))
	}
	c.noteHeld(f.t, wait, allowed)
	return true
}

// quickest returns the least that the task takes at one of the places.
func (f *fit) quickest(places []*candidate) float64 {
	least := math.Inf(1)
	for _, cand := range places {
		least = min(least, f.takes(cand))
	}
	return least
}

// waitFor returns how long the task waits for the places, in milliseconds: what holds out for
// them already, and its own work, over our share of their capacity.
func (c *Core) waitFor(t *task, places []*candidate, work float64) float64 {
	capacity := 0.0
	for _, cand := range places {
		work += cand.heldFor
		capacity += float64(cand.w.identity.Capacity.CPU)
	}
	return work * max(1, c.sharers[t.job.sub.Queue.Service]) / capacity
}

// quickerPlaces returns the workers without room for the task that may take it, and where it
// ends clearly sooner than at the best with room, and in time.
func (f *fit) quickerPlaces(workers []candidate, best *candidate) []*candidate {
	var places []*candidate
	most := quicker * f.takes(best)
	for i := range workers {
		cand := &workers[i]
		if f.takes(cand) > most || f.risk(cand) > holdRisk || f.t.avoids(cand.w) {
			continue
		}
		if f.t.suits(cand) && !f.t.step.Need.Fits(cand.free) && f.t.step.Need.Fits(cand.w.identity.Capacity) {
			places = append(places, cand)
		}
	}
	return places
}

// noteHeld says once for each task that it holds out.
func (c *Core) noteHeld(t *task, wait, allowed float64) {
	if t.holdNoted {
		return
	}
	t.holdNoted = true
	c.note(Note{What: TaskHeld, Task: t.id.String(), Run: t.run, Reason: t.step.Affinity, Measure: WaitMS, Value: int64(wait), Limit: int64(allowed), Frequent: true})
}
