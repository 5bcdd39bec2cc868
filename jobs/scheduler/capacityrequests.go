package scheduler

import (
	"slices"
	"time"

	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/wire"
)

const (
	leastAsked  = 16                    // workers that are asked for one task: one of them has an end in a millisecond or two
	askedATask  = 2                     // workers for each task that waits
	askAgain    = 50 * time.Millisecond // an ask that stands is repeated so often; it lapses after three times that
	askPace     = 10 * time.Millisecond // least time between two looks at what to ask for
	turnChanges = 10 * time.Millisecond // by how much the first turn has to change for another ask
	leaveAlone  = 50 * time.Millisecond // for how long a worker is not asked that bars what its room suits
	believed    = 10 * time.Millisecond // for how long a status tells of room that is waited for: a little less than a grant stands
)

// capacityRequest is what a worker was asked for over its present connection.
type capacityRequest struct {
	seq       uint64              // of the newest RoomAsk
	seenStamp int64               // the newest Stamp that the worker was told is handled
	active    bool                // it names something that waits
	at        time.Time           // when it was sent
	first     time.Time           // the first turn that it names
	needs     []durable.Resources // that it names
	before    []durable.Resources // that the ask before named: room may be on its way for them
	reported  bool                // the worker has told of room for one of those, and dispatch has not run since
	aloneTo   time.Time           // the worker is not asked before
}

// suits returns whether the room would do for what was asked for.
func (a *capacityRequest) suits(free durable.Resources) bool {
	fits := func(need durable.Resources) bool { return need.Fits(free) }
	return a.active && (slices.ContainsFunc(a.needs, fits) || slices.ContainsFunc(a.before, fits))
}

// isDue returns whether another ask is to be sent for what is to be asked for now.
func (a *capacityRequest) isDue(now time.Time, waits []wait) bool {
	if !a.active || len(waits) == 0 {
		return a.active != (len(waits) > 0)
	}
	age := now.Sub(a.at)
	change := waits[0].from.Sub(a.first).Abs()
	return age >= askAgain || age >= askPace && (change > turnChanges || len(waits) != len(a.needs))
}

// capacityRequests is what is asked for the tasks of one service.
type capacityRequests struct {
	workers []*worker // that are asked; asks that stand are theirs, or of a connection that is lost
	told    []*worker // with ask.told
	at      time.Time // when they were last looked over
}

func (c *Core) asksOf(service string) *capacityRequests {
	a := c.requests[service]
	if a == nil {
		a = &capacityRequests{}
		c.requests[service] = a
	}
	return a
}

// asking returns whether room is asked for, since tasks of the service fit nowhere.
func (c *Core) asking(service string) bool {
	a := c.requests[service]
	return a != nil && len(a.workers) > 0
}

// noteFreeCapacity notes what a status says of room that was asked for.
func (c *Core) noteFreeCapacity(w *worker) {
	if w.request.reported || !w.request.suits(w.free()) {
		return
	}
	w.request.reported = true
	a := c.asksOf(w.identity.Service)
	a.told = append(a.told, w)
}

// usable returns what we may use of what is free at the worker. Where room is waited for, by
// us or others, what was told a while ago is not believed, since it has likely gone to
// somebody; and once we have said that a status is handled, what we left of it is not ours.
func (w *worker) usable(now time.Time) durable.Resources {
	waitedFor := w.request.active || len(w.status.Waiting) > 0
	if waitedFor && (!w.fresh(now) || w.request.seenStamp == w.status.Stamp) {
		return durable.Resources{}
	}
	return w.free()
}

// fresh returns whether the worker has told of what is free just now.
func (w *worker) fresh(now time.Time) bool { return now.Sub(w.statusAt) < believed }

// askForRoom asks workers for room for what dispatch has left of a service's tasks, and
// takes back what was asked for once nothing is left.
func (c *Core) askForRoom(now time.Time, service string, q *readyQueue, orders map[*worker]*wire.StartRuns) {
	a := c.asksOf(service)
	unused := c.settleTold(a, orders)
	look := now.Sub(a.at) >= askPace
	switch {
	case q.Len() == 0:
		c.withdrawAll(now, a)
		return
	case !look && len(unused) == 0:
		return
	}
	waits := c.waitsOf(q)
	if look {
		a.at = now
		c.chooseAsked(now, a, service, waits)
	}
	shares := a.share(waits)
	for _, w := range unused {
		c.passOn(now, w, shares[w])
	}
	if look {
		c.sendAsks(now, a, shares)
	}
}

// settleTold returns the workers that told of room of which dispatch has used nothing. An
// order says by its Seen that the rest is not wanted.
func (c *Core) settleTold(a *capacityRequests, orders map[*worker]*wire.StartRuns) (unused []*worker) {
	for _, w := range a.told {
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
	a.told = a.told[:0]
	return unused
}

// passOn lets a worker know at once that the room that it told of is not used. If it would
// suit what waits, something bars that there: to ask again would bring the same room again.
func (c *Core) passOn(now time.Time, w *worker, waits []wait) {
	if !w.up {
		return
	}
	free := w.free()
	if slices.ContainsFunc(waits, func(k wait) bool { return k.need.Fits(free) }) {
		w.request.aloneTo = now.Add(leaveAlone)
		waits = nil
	}
	c.sendAsk(now, w, waits)
}

// withdrawAll takes back all that stands.
func (c *Core) withdrawAll(now time.Time, a *capacityRequests) {
	n := 0
	for _, w := range a.workers {
		if w.up && w.request.active {
			c.sendAsk(now, w, nil)
			n++
		}
	}
	if n > 0 {
		c.note(Note{What: RoomWithdrawn, Measure: WorkersAsked, Value: int64(n), Frequent: true})
	}
	a.workers = a.workers[:0]
	a.at = time.Time{}
}

// chooseAsked settles which workers are asked: those that are already, as long as they may
// be, then preferred ones, then others by chance.
func (c *Core) chooseAsked(now time.Time, a *capacityRequests, service string, waits []wait) {
	a.workers = slices.DeleteFunc(a.workers, func(w *worker) bool {
		may := c.mayAsk(now, w, service, waits)
		if !may && w.up && w.request.active {
			c.sendAsk(now, w, nil)
		}
		return !may
	})
	wanted := 0
	for i := range waits {
		wanted += waits[i].wanted()
	}
	if more := wanted - len(a.workers); more > 0 {
		a.workers = append(a.workers, c.othersToAsk(now, a, service, waits, more)...)
	}
}

// othersToAsk returns up to n workers that may be asked and are not.
func (c *Core) othersToAsk(now time.Time, a *capacityRequests, service string, waits []wait, n int) []*worker {
	var preferred, others []*worker
	for _, w := range c.eligible {
		switch {
		case !c.mayAsk(now, w, service, waits) || slices.Contains(a.workers, w):
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

// mayAsk returns whether the worker takes tasks, and some of what waits may go there.
func (c *Core) mayAsk(now time.Time, w *worker, service string, waits []wait) bool {
	return c.isEligible(w) && c.takesTasks(now, w) && w.identity.Service == service && !now.Before(w.request.aloneTo) &&
		!c.ejected(now, w) && slices.ContainsFunc(waits, w.mayHave)
}

// share returns what each worker is asked for. What waits is asked for at no more workers
// than it wants: of more that get room at once, all but a few would get it for nothing.
func (a *capacityRequests) share(waits []wait) map[*worker][]wait {
	shares := make(map[*worker][]wait, len(a.workers))
	for _, k := range waits {
		var may []*worker
		for _, w := range a.workers {
			if w.mayHave(k) {
				may = append(may, w)
			}
		}
		k.asked = min(k.wanted(), len(may))
		for i := range k.asked {
			w := may[(k.spread()+i)%len(may)]
			shares[w] = append(shares[w], k)
		}
	}
	return shares
}

// sendAsks sends what is due to the workers that are asked.
func (c *Core) sendAsks(now time.Time, a *capacityRequests, shares map[*worker][]wait) {
	n := 0
	for _, w := range a.workers {
		if w.request.isDue(now, shares[w]) {
			c.sendAsk(now, w, shares[w])
			n++
		}
	}
	if n > 0 {
		c.note(Note{What: RoomAsked, Measure: WorkersAsked, Value: int64(n), Frequent: true})
	}
}

// sendAsk replaces what the worker was asked for.
func (c *Core) sendAsk(now time.Time, w *worker, waits []wait) {
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
