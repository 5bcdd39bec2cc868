package scheduler

import (
	"slices"
	"time"

	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/wire"
)

// When tasks of a service fit on no worker, the coordinator sends capacity requests (wire.CapacityRequest)
// to some of the service's workers. A request lists the groups of tasks that wait. Each worker
// collects the requests of all coordinators, reports its free capacity to the one whose task is first
// in order, and reserves it for a moment (a grant, package room).

const (
	// minWorkersAsked is the number of workers that are asked for a single task. With 16 of them, a
	// run ends on one within a millisecond or two.
	minWorkersAsked = 16
	workersPerTask  = 2 // workers asked for each task that waits

	requestInterval  = 50 * time.Millisecond // until an active request is repeated; it expires after three times that
	minRequestGap    = 10 * time.Millisecond // least time between two reviews of what to request
	minDeadlineShift = 10 * time.Millisecond // change of the first virtual deadline that has a request sent again
	// unusedPause is how long no request is sent to a worker whose reported capacity suffices for tasks
	// that could nevertheless not be ordered there.
	unusedPause = 50 * time.Millisecond
	// freshFor is how long a status is used while coordinators wait for capacity: a little less than a
	// grant lasts.
	freshFor = 10 * time.Millisecond
)

// capacityRequest is the state of the request to one worker, over its present connection.
type capacityRequest struct {
	seq         uint64              // of the newest CapacityRequest
	seenStamp   int64               // Stamp of the status that the newest StartRuns or CapacityRequest acknowledges in Seen
	active      bool                // the newest CapacityRequest names tasks that wait
	at          time.Time           // when the newest CapacityRequest was sent
	first       time.Time           // the earliest virtual deadline that it names
	needs       []durable.Resources // that it names
	previous    []durable.Resources // needs of the CapacityRequest before: a report of capacity for them may be on its way
	reported    bool                // the worker has reported capacity for a need, and dispatch has not run since
	pausedUntil time.Time           // no request is sent to the worker before
}

// matches returns whether the capacity suffices for any need of the present or the previous request.
func (r *capacityRequest) matches(free durable.Resources) bool {
	fits := func(need durable.Resources) bool { return need.Fits(free) }
	return r.active && (slices.ContainsFunc(r.needs, fits) || slices.ContainsFunc(r.previous, fits))
}

// isDue returns whether a request for the groups is to be sent now. It is, if the request becomes
// active or inactive, if the last one is requestInterval old, or if it is minRequestGap old and the
// groups have changed.
func (r *capacityRequest) isDue(now time.Time, groups []waitingGroup) bool {
	if !r.active || len(groups) == 0 {
		return r.active != (len(groups) > 0)
	}
	age := now.Sub(r.at)
	change := groups[0].from.Sub(r.first).Abs()
	return age >= requestInterval || age >= minRequestGap && (change > minDeadlineShift || len(groups) != len(r.needs))
}

// capacityRequests holds the requests for the tasks of one service.
type capacityRequests struct {
	workers  []*worker // that are asked; all active requests are to these, or were sent over a lost connection
	reported []*worker // that have reported capacity since dispatch last ran (capacityRequest.reported)
	at       time.Time // when the requests were last reviewed
}

func (c *Core) requestsOf(service string) *capacityRequests {
	rs := c.requests[service]
	if rs == nil {
		rs = &capacityRequests{}
		c.requests[service] = rs
	}
	return rs
}

// requesting returns whether capacity is requested because tasks of the service fit on no worker.
func (c *Core) requesting(service string) bool {
	rs := c.requests[service]
	return rs != nil && len(rs.workers) > 0
}

// noteFreeCapacity marks the worker if its newest status reports capacity that was requested.
func (c *Core) noteFreeCapacity(w *worker) {
	if w.request.reported || !w.request.matches(w.free()) {
		return
	}
	w.request.reported = true
	rs := c.requestsOf(w.identity.Service)
	rs.reported = append(rs.reported, w)
}

// usable returns the part of the worker's free capacity that this coordinator may use. While this or
// another coordinator requests capacity there, a status is used only while it is fresh, since the
// capacity has probably been taken afterwards. Nor is it used after a message to the worker has
// acknowledged it (Seen), since the worker then grants the rest to others.
func (w *worker) usable(now time.Time) durable.Resources {
	contested := w.request.active || len(w.status.Waiting) > 0
	if contested && (!w.fresh(now) || w.request.seenStamp == w.status.Stamp) {
		return durable.Resources{}
	}
	return w.free()
}

// fresh returns whether the worker's status is at most freshFor old.
func (w *worker) fresh(now time.Time) bool { return now.Sub(w.statusAt) < freshFor }

// requestCapacity requests capacity for the tasks of a service that dispatch could not order, and
// withdraws the requests once none are left.
func (c *Core) requestCapacity(now time.Time, service string, q *readyQueue, orders map[*worker]*orderList) {
	rs := c.requestsOf(service)
	unused := c.takeReported(rs, orders)
	due := now.Sub(rs.at) >= minRequestGap
	switch {
	case q.Len() == 0:
		c.withdrawAll(now, rs)
		return
	case !due && len(unused) == 0:
		return
	}
	groups := c.groupsOf(q)
	if due {
		rs.at = now
		c.chooseWorkers(now, rs, service, groups)
	}
	shares := rs.distribute(groups)
	for _, w := range unused {
		c.declineCapacity(now, w, shares[w])
	}
	if due {
		c.sendRequests(now, rs, shares)
	}
}

// takeReported clears the list of workers that have reported requested capacity, and returns those
// that got no order. Those with an order need no other message: it acknowledges the status (Seen),
// after which the worker grants the rest of the capacity to others.
func (c *Core) takeReported(rs *capacityRequests, orders map[*worker]*orderList) (unused []*worker) {
	for _, w := range rs.reported {
		if !w.request.reported {
			continue // it has reconnected, or its backend server has a new incarnation
		}
		w.request.reported = false
		what := RoomUsed
		if orders[w] == nil {
			what = RoomUnused
			unused = append(unused, w)
		}
		c.note(Note{What: what, Worker: w.name, Frequent: true})
	}
	rs.reported = rs.reported[:0]
	return unused
}

// declineCapacity notifies a worker at once that the capacity which it reported is not used. If that
// capacity suffices for a task that waits, something else keeps the task from the worker, and a new
// request would bring the same report. No request is then sent to it for unusedPause.
func (c *Core) declineCapacity(now time.Time, w *worker, groups []waitingGroup) {
	if !w.up {
		return
	}
	free := w.free()
	if slices.ContainsFunc(groups, func(g waitingGroup) bool { return g.need.Fits(free) }) {
		w.request.pausedUntil = now.Add(unusedPause)
		groups = nil
	}
	c.sendRequest(now, w, groups)
}

// withdrawAll withdraws all active requests.
func (c *Core) withdrawAll(now time.Time, rs *capacityRequests) {
	n := 0
	for _, w := range rs.workers {
		if w.up && w.request.active {
			c.sendRequest(now, w, nil)
			n++
		}
	}
	if n > 0 {
		c.note(Note{What: RoomWithdrawn, Measure: WorkersAsked, Value: int64(n), Frequent: true})
	}
	rs.workers = rs.workers[:0]
	rs.at = time.Time{}
}

// chooseWorkers decides which workers are asked: those that are asked already and still may be, then
// preferred ones, then others at random, and some for each group that none of these can run.
func (c *Core) chooseWorkers(now time.Time, rs *capacityRequests, service string, groups []waitingGroup) {
	rs.workers = slices.DeleteFunc(rs.workers, func(w *worker) bool {
		may := c.mayRequest(now, w, service, groups)
		if !may && w.up && w.request.active {
			c.sendRequest(now, w, nil)
		}
		return !may
	})
	wanted := 0
	for i := range groups {
		wanted += groups[i].workersWanted()
	}
	if more := wanted - len(rs.workers); more > 0 {
		rs.workers = append(rs.workers, c.moreWorkers(now, rs, service, groups, more)...)
	}
	for i := range groups {
		if !slices.ContainsFunc(rs.workers, func(w *worker) bool { return w.canServe(groups[i]) }) {
			rs.workers = append(rs.workers, c.moreWorkers(now, rs, service, groups[i:i+1], groups[i].workersWanted())...)
		}
	}
}

// moreWorkers returns up to n workers that may be asked and are not asked yet.
func (c *Core) moreWorkers(now time.Time, rs *capacityRequests, service string, groups []waitingGroup, n int) []*worker {
	var preferred, others []*worker
	for _, w := range c.eligible {
		switch {
		case !c.mayRequest(now, w, service, groups) || slices.Contains(rs.workers, w):
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

// mayRequest returns whether the worker takes tasks, may run one of the groups, and is neither
// ejected nor paused.
func (c *Core) mayRequest(now time.Time, w *worker, service string, groups []waitingGroup) bool {
	return c.isEligible(w) && c.takesTasks(now, w) && w.identity.Service == service && !now.Before(w.request.pausedUntil) &&
		!c.ejected(now, w) && slices.ContainsFunc(groups, w.canServe)
}

// distribute returns, by worker, the groups that the request to it lists: at most wire.MaxWaits, those with
// the earliest virtual deadlines. A group is listed in at most workersWanted requests: if more workers
// granted capacity at once, all but a few grants would go unused.
func (rs *capacityRequests) distribute(groups []waitingGroup) map[*worker][]waitingGroup {
	shares := make(map[*worker][]waitingGroup, len(rs.workers))
	for _, g := range groups {
		var may []*worker
		for _, w := range rs.workers {
			if len(shares[w]) < wire.MaxWaits && w.canServe(g) {
				may = append(may, w)
			}
		}
		g.asked = min(g.workersWanted(), len(may))
		for i := range g.asked {
			w := may[(g.firstWorker()+i)%len(may)]
			shares[w] = append(shares[w], g)
		}
	}
	return shares
}

// sendRequests sends the requests that are due.
func (c *Core) sendRequests(now time.Time, rs *capacityRequests, shares map[*worker][]waitingGroup) {
	n := 0
	for _, w := range rs.workers {
		if w.request.isDue(now, shares[w]) {
			c.sendRequest(now, w, shares[w])
			n++
		}
	}
	if n > 0 {
		c.note(Note{What: RoomAsked, Measure: WorkersAsked, Value: int64(n), Frequent: true})
	}
}

// sendRequest replaces the request to the worker; one without groups withdraws it.
func (c *Core) sendRequest(now time.Time, w *worker, groups []waitingGroup) {
	r := &w.request
	r.seq++
	r.seenStamp = w.status.Stamp
	r.at = now
	r.active = len(groups) > 0
	r.needs, r.previous = r.previous[:0], r.needs
	m := &wire.CapacityRequest{Seq: r.seq, Seen: r.seenStamp}
	for i := range groups {
		r.needs = append(r.needs, groups[i].need)
		m.Waits = append(m.Waits, groups[i].message(now))
	}
	if r.active {
		r.first = groups[0].from
	}
	c.send(w.name, m)
}
