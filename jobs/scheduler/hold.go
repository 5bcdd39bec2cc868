package scheduler

import "math"

// A task that would be late where there is room may hold out for a quicker place that is
// full: near its data, or a faster worker. So room that is of no use to it is left to what
// comes after it and is in time there.
const (
	holdRisk  = 0.5 // the risk of being late that is worth a wait, and that the wait must undercut
	quicker   = 0.8 // of what it takes where there is room: less is worth a wait
	holdShare = 0.5 // of the slack that it has at the quicker places: the most that it may wait
)

// holdsOut returns whether the task waits for a quicker place although the best of those
// with room would take it. What holds out for these places already, over our share of
// their capacity, is how long it would wait.
func (c *Core) holdsOut(r *round, f *fit, best *candidate) bool {
	if !f.bySpeed || f.risk(best) <= holdRisk {
		return false
	}
	places := f.quickerPlaces(r.workers, best)
	if len(places) == 0 {
		return false
	}
	quickest, work, capacity := math.Inf(1), 0.0, 0.0
	for _, cand := range places {
		quickest = min(quickest, f.takes(cand))
		work += cand.heldFor
		capacity += float64(cand.w.identity.Capacity.CPU)
	}
	own := float64(f.t.step.Need.CPU) * quickest
	wait := (work + own) * max(1, c.sharers[f.t.job.sub.Queue.Service]) / capacity
	allowed := holdShare * (f.left - max(quickest, f.estimate))
	if wait > allowed {
		return false
	}
	for _, cand := range places {
		cand.heldFor += own / float64(len(places))
	}
	c.noteHeld(f.t, wait, allowed)
	return true
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
	if t.held {
		return
	}
	t.held = true
	c.note(Note{What: TaskHeld, Task: t.id.String(), Run: t.run, Reason: t.step.Affinity, Measure: WaitMS, Value: int64(wait), Limit: int64(allowed), Frequent: true})
}
