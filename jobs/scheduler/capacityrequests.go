package scheduler

import (
	"slices"
	"time"

	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/wire"
)

const (
	minWorkersAsked   = 16                    // workers that are asked for one task: one of them has an end in a millisecond or two
	workersPerTask    = 2                     // workers for each task that waits
	requestInterval   = 50 * time.Millisecond // an ask that stands is repeated so often; it lapses after three times that
	minRequestGap     = 10 * time.Millisecond // least time between two looks at what to ask for
	minDeadlineChange = 10 * time.Millisecond // by how much the first turn has to change for another ask
	unusedPause       = 50 * time.Millisecond // for how long a worker is not asked that bars what its room suits
	freshFor          = 10 * time.Millisecond // for how long a status tells of room that is waited for: a little less than a grant stands
)

// capacityRequest is what a worker was asked for over its present connection.
type capacityRequest struct {
	seq         uint64              // of the newest RoomAsk
	seenStamp   int64               // the newest Stamp that the worker was told is handled
	active      bool                // it names something that waits
	at          time.Time           // when it was sent
	first       time.Time           // the first turn that it names
	needs       []durable.Resources // that it names
	before      []durable.Resources // that the ask before named: room may be on its way for them
	reported    bool                // the worker has told of room for one of those, and dispatch has not run since
	pausedUntil time.Time           // the worker is not asked before
}

// suits returns whether the room would do for what was asked for.
func (a *capacityRequest) matches(free durable.Resources) bool {
	fits := func(need durable.Resources) bool { return need.Fits(free) }
	return a.active && (slices.ContainsFunc(a.needs, fits) || slices.ContainsFunc(a.before, fits))
}

// isDue returns whether another ask is to be sent for what is to be asked for now.
func (a *capacityRequest) isDue(now time.Time, waits []waitingGroup) bool {
	if !a.active || len(waits) == 0 {
		return a.active != (len(waits) > 0)
	}
	age := now.Sub(a.at)
	change := waits[0].from.Sub(a.first).Abs()
	return age >= requestInterval || age >= minRequestGap && (change > minDeadlineChange || len(waits) != len(a.needs))
}

// capacityRequests is what is asked for the tasks of one service.
type capacityRequests struct {
	workers  []*worker // that are asked; asks that stand are theirs, or of a connection that is lost
	reported []*worker // with ask.told
	at       time.Time // when they were last looked over
}

func (c *Core) requestsOf(service string) *capacityRequests {
	a := c.requests[service]
	if a == nil {
		a = &capacityRequests{}
		c.requests[service] = a
	}
	return a
}

// requesting returns whether room is asked for, since tasks of the service fit nowhere.
func (c *Core) requesting(service string) bool {
	a := c.requests[service]
	return a != nil && len(a.workers) > 0
}

// noteFreeCapacity notes what a status says of room that was asked for.
func (c *Core) noteFreeCapacity(w *worker) {
	if w.request.reported || !w.request.matches(w.free()) {
		return
	}
	w.request.reported = true
	a := c.requestsOf(w.identity.Service)
	a.reported = append(a.reported, w)
}

// usable returns what we may use of what is free at the worker. Where room is waited for, by
// us or others, what was told a while ago is not freshFor, since it has likely gone to
// somebody; and once we have said that a status is handled, what we left of it is not ours.
func (w *worker) usable(now time.Time) durable.Resources {
	waitedFor := w.request.active || len(w.status.Waiting) > 0
	if waitedFor && (!w.fresh(now) || w.request.seenStamp == w.status.Stamp) {
		return durable.Resources{}
	}
	return w.free()
}

// fresh returns whether the worker has told of what is free just now.
func (w *worker) fresh(now time.Time) bool { return now.Sub(w.heardAt) < freshFor }

// requestCapacity asks workers for room for what dispatch has left of a service's tasks, and
// total back what was asked for once nothing is left.
func (c *Core) requestCapacity(now time.Time, service string, q *readyQueue, orders map[*worker]*wire.StartRuns) {
	a := c.requestsOf(service)
	unused := c.takeReported(a, orders)
	look := now.Sub(a.at) >= minRequestGap
	switch {
	case q.Len() == 0:
		c.withdrawAll(now, a)
		return
	case !look && len(unused) == 0:
		return
	}
	waits := c.groupsOf(q)
	if look {
		a.at = now
		c.chooseWorkers(now, a, service, waits)
	}
	shares := a.distribute(waits)
	for _, w := range unused {
		c.declineCapacity(now, w, shares[w])
	}
	if look {
		c.sendRequests(now, a, shares)
	}
}

// takeReported returns the workers that told of room of which dispatch has used nothing. An
// order says by its Seen that the rest is not wanted.
func (c *Core) takeReported(a *capacityRequests, orders map[*worker]*wire.StartRuns) (unused []*worker) {
	for _, w := range a.reported {
		if !w.request.reported {
			continue // its connection is another since
		}
		w.request.reported = false
		what := RoomUsed
		if orders[w] == nil {
			what = RoomUnused
			unused = append(unused, w)
		}
		c.note(Note{What: what, Worker: w.name, Frequent: true})
	}
	a.reported = a.reported[:0]
	return unused
}

// declineCapacity lets a worker know at once that the room that it told of is not used. If it would
// suit what waits, something bars that there: to ask again would bring the same room again.
func (c *Core) declineCapacity(now time.Time, w *worker, waits []waitingGroup) {
	if !w.up {
		return
	}
	free := w.free()
	if slices.ContainsFunc(waits, func(k waitingGroup) bool { return k.need.Fits(free) }) {
		w.request.pausedUntil = now.Add(unusedPause)
		waits = nil
	}
	c.sendRequest(now, w, waits)
}

// withdrawAll takes back all that stands.
func (c *Core) withdrawAll(now time.Time, a *capacityRequests) {
	n := 0
	for _, w := range a.workers {
		if w.up && w.request.active {
			c.sendRequest(now, w, nil)
			n++
		}
	}
	if n > 0 {
		c.note(Note{What: RoomWithdrawn, Measure: WorkersAsked, Value: int64(n), Frequent: true})
	}
	a.workers = a.workers[:0]
	a.at = time.Time{}
}

// chooseWorkers settles which workers are asked: those that are already, as long as they may
// be, then preferred ones, then others by chance.
func (c *Core) chooseWorkers(now time.Time, a *capacityRequests, service string, waits []waitingGroup) {
	a.workers = slices.DeleteFunc(a.workers, func(w *worker) bool {
		may := c.mayRequest(now, w, service, waits)
		if !may && w.up && w.request.active {
			c.sendRequest(now, w, nil)
		}
		return !may
	})
	wanted := 0
	for i := range waits {
		wanted += waits[i].workersWanted()
	}
	if more := wanted - len(a.workers); more > 0 {
		a.workers = append(a.workers, c.moreWorkers(now, a, service, waits, more)...)
	}
}

// moreWorkers returns up to n workers that may be asked and are not.
func (c *Core) moreWorkers(now time.Time, a *capacityRequests, service string, waits []waitingGroup, n int) []*worker {
	var preferred, others []*worker
	for _, w := range c.eligible {
		switch {
		case !c.mayRequest(now, w, service, waits) || slices.Contains(a.workers, w):
		case w.preference == Preferred:
			preferred = append(preferred, w)
		default:
			others = append(others, w)
		}
	}
	c.random.Shuffle(len(others), func(i, k int) { others[i], others[k] = others[k], others[i] })
	out := append(preferred, others...)
	return out[:min(n, len(out))]
}

// mayRequest returns whether the worker takes tasks, and some of what waits may go there.
func (c *Core) mayRequest(now time.Time, w *worker, service string, waits []waitingGroup) bool {
	return c.isEligible(w) && c.takesTasks(now, w) && w.identity.Service == service && !now.Before(w.request.pausedUntil) &&
		!c.ejected(now, w) && slices.ContainsFunc(waits, w.canServe)
}

// distribute returns what each worker is asked for. What waits is asked for at no more workers
// than it wants: of more that get room at once, all but a few would get it for nothing.
func (a *capacityRequests) distribute(waits []waitingGroup) map[*worker][]waitingGroup {
	shares := make(map[*worker][]waitingGroup, len(a.workers))
	for _, k := range waits {
		var may []*worker
		for _, w := range a.workers {
			if w.canServe(k) {
				may = append(may, w)
			}
		}
		k.asked = min(k.workersWanted(), len(may))
		for i := range k.asked {
			w := may[(k.firstWorker()+i)%len(may)]
			shares[w] = append(shares[w], k)
		}
	}
	return shares
}

// sendRequests sends what is due to the workers that are asked.
func (c *Core) sendRequests(now time.Time, a *capacityRequests, shares map[*worker][]waitingGroup) {
	n := 0
	for _, w := range a.workers {
		if w.request.isDue(now, shares[w]) {
			c.sendRequest(now, w, shares[w])
			n++
		}
	}
	if n > 0 {
		c.note(Note{What: RoomAsked, Measure: WorkersAsked, Value: int64(n), Frequent: true})
	}
}

// sendRequest replaces what the worker was asked for.
func (c *Core) sendRequest(now time.Time, w *worker, waits []waitingGroup) {
	a := &w.request
	a.seq++
	a.seenStamp = w.status.Stamp
	a.at = now
	a.active = len(waits) > 0
	a.needs, a.before = a.before[:0], a.needs
	m := &wire.RoomAsk{Seq: a.seq, Seen: a.seenStamp}
	for i := range waits {
		a.needs = append(a.needs, waits[i].need)
		m.Waits = append(m.Waits, waits[i].message(now))
	}
	if a.active {
		a.first = waits[0].from
	}
	c.send(w.name, m)
}
