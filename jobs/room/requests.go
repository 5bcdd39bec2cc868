package room

import (
	"cmp"
	"time"

	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/wire"
)

const (
	// maxTasks bounds the tasks of one row of a request. A backend server starts fewer
	// within the lifetime of a request.
	maxTasks = 1000
	// maxOffset bounds how far a virtual deadline may be from now, either way. No caller
	// waits that long.
	maxOffset = time.Hour
)

// requester is a coordinator that has sent a request.
type requester struct {
	seq                uint64 // of the newest request
	until              time.Time
	waiting            []*waitingTasks
	lapses             int       // grants that lapsed in a row; those of one pause count once
	lapsedAt           time.Time // when the last of them lapsed
	deprioritisedUntil time.Time // ranks after all others until then, because of these lapses
	// unusedUntil is set when grants of the requester end without an accepted order: until
	// then it ranks after all others, unless one of its orders is accepted.
	unusedUntil time.Time
}

// waitingTasks is a group of tasks of one priority that wait at a coordinator: one row of its
// request.
type waitingTasks struct {
	owner         string
	row           int // index in the request
	priority      int32
	need          durable.Resources // of each task
	firstDeadline time.Time         // virtual deadline of the first task
	lastDeadline  time.Time         // virtual deadline of the last task
	tasks         int
	granted       int   // how many of the tasks have been granted capacity
	total         int64 // work of all tasks, in thousandths of a core times milliseconds
	// unfitSince is when the group was first found to be the earliest and not to fit; zero
	// if it has not been, or has been granted capacity since.
	unfitSince time.Time
}

// Request replaces the tasks that wait at the owner, a coordinator by the name of its
// connection. A request without waiting tasks withdraws the one before, and ends the owner's
// grants. A request that arrives late or twice is ignored.
func (t *Table) Request(now time.Time, owner string, m *wire.CapacityRequest) {
	t.OrderReceived(now, owner, m.Seen)
	t.expireGrants(now)
	r := t.requesters[owner]
	if r == nil {
		r = &requester{}
		t.requesters[owner] = r
	}
	if m.Seq <= r.seq {
		return // late or duplicated
	}
	r.seq = m.Seq
	r.until = now.Add(t.cfg.RequestTTL)
	before := r.waiting
	r.waiting = newWaitingTasks(now, owner, m.Waits)
	if len(r.waiting) == 0 {
		t.removeGrants(func(g *grant) bool { return g.owner == owner })
	}
	for _, w := range r.waiting {
		w.inheritUnfitSince(before)
	}
	t.countUnseenGrants(owner, r)
}

func newWaitingTasks(now time.Time, owner string, rows []wire.WaitingGroup) []*waitingTasks {
	var waiting []*waitingTasks
	for i := range rows[:min(len(rows), wire.MaxWaits)] {
		r := &rows[i]
		w := &waitingTasks{
			owner:         owner,
			row:           i,
			priority:      r.Priority,
			need:          r.Need.Max(durable.Resources{}),
			firstDeadline: now.Add(clampOffset(r.FirstMS)),
			lastDeadline:  now.Add(clampOffset(max(r.FirstMS, r.LastMS))),
			tasks:         int(min(r.Tasks, maxTasks)),
			total:         max(0, r.Work),
		}
		if w.tasks > 0 && w.need != (durable.Resources{}) {
			waiting = append(waiting, w)
		}
	}
	return waiting
}

// clampOffset converts the milliseconds between now and a virtual deadline to a duration
// within maxOffset.
func clampOffset(ms int64) time.Duration {
	most := maxOffset.Milliseconds()
	return time.Duration(min(most, max(-most, ms))) * time.Millisecond
}

// inheritUnfitSince copies unfitSince from the group of the same priority and need in the
// owner's request before, if there is one.
func (w *waitingTasks) inheritUnfitSince(before []*waitingTasks) {
	for _, b := range before {
		if b.priority == w.priority && b.need == w.need {
			w.unfitSince = b.unfitSince
			return
		}
	}
}

// countUnseenGrants counts the owner's standing grants, which it had not seen when it sent its
// request, against the groups of that request.
func (t *Table) countUnseenGrants(owner string, r *requester) {
	for _, g := range t.grants {
		if g.owner != owner {
			continue
		}
		for _, w := range r.waiting {
			if w.priority == g.priority && w.remaining() > 0 {
				w.granted++
				break
			}
		}
	}
}

// remaining returns how many tasks have not been granted capacity.
func (w *waitingTasks) remaining() int { return w.tasks - w.granted }

// nextDeadline returns the virtual deadline of the first task that has not been granted
// capacity, interpolated between those of the first and the last task.
func (w *waitingTasks) nextDeadline() time.Time {
	if w.tasks < 2 {
		return w.firstDeadline
	}
	share := float64(w.granted) / float64(w.tasks-1)
	return w.firstDeadline.Add(time.Duration(share * float64(w.lastDeadline.Sub(w.firstDeadline))))
}

// work returns the work of the tasks that have not been granted capacity, with virtual
// deadlines relative to now.
func (w *waitingTasks) work(now time.Time) wire.WaitingWork {
	return wire.WaitingWork{
		Priority: w.priority,
		FirstMS:  w.nextDeadline().Sub(now).Milliseconds(),
		LastMS:   w.lastDeadline.Sub(now).Milliseconds(),
		Work:     w.total * int64(w.remaining()) / int64(w.tasks),
	}
}

// before returns whether the group is granted capacity before the other: by virtual deadline,
// then by priority, owner and row.
func (w *waitingTasks) before(o *waitingTasks) bool {
	return cmp.Or(w.nextDeadline().Compare(o.nextDeadline()), cmp.Compare(w.priority, o.priority), cmp.Compare(w.owner, o.owner), cmp.Compare(w.row, o.row)) < 0
}

// earliest returns the first group in the order of grants that the filter accepts; nil if there
// is none. Owners that have not used their grants rank after all others for a while.
func (t *Table) earliest(now time.Time, accept func(w *waitingTasks) bool) *waitingTasks {
	var first *waitingTasks
	firstRanksLast := false
	for _, r := range t.requesters {
		ranksLast := now.Before(r.deprioritisedUntil) || now.Before(r.unusedUntil)
		for _, w := range r.waiting {
			if w.remaining() <= 0 || !t.couldFit(w) || !accept(w) {
				continue
			}
			if first == nil || firstRanksLast && !ranksLast || firstRanksLast == ranksLast && w.before(first) {
				first, firstRanksLast = w, ranksLast
			}
		}
	}
	return first
}

// couldFit returns whether a task of the group fits the backend server when it is empty.
func (t *Table) couldFit(w *waitingTasks) bool {
	return t.capacity == (durable.Resources{}) || w.need.Fits(t.capacity)
}

// expireRequests drops the waiting tasks of requests that were not repeated in time.
func (t *Table) expireRequests(now time.Time) {
	for _, r := range t.requesters {
		if !now.Before(r.until) {
			r.waiting = nil
		}
	}
}
