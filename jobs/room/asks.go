package room

import (
	"cmp"
	"time"

	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/wire"
)

const (
	// mostTasks is how many tasks of one wait are taken: more than start at a backend
	// server before the ask is over.
	mostTasks = 1000
	// farthest is how far from now a turn may be: no caller waits so long.
	farthest = time.Hour
)

// asker is a coordinator that has asked.
type asker struct {
	seq      uint64 // of the newest ask
	until    time.Time
	waits    []*wait
	lapses   int       // times in a row that it let grants lapse
	lapsedAt time.Time // the last of them
	setAside time.Time // until when it comes after all others for that
	// returned is until when it comes after all others since it answered a grant and no order
	// of it has been taken since.
	returned time.Time
}

// wait is what waits of one priority at an asker.
type wait struct {
	owner    string
	row      int // in its ask
	priority int32
	need     durable.Resources // of each task
	first    time.Time         // the turn of the first task
	last     time.Time         // the turn of the last
	tasks    int
	granted  int   // how many of them have been granted room
	total    int64 // work of all tasks, in thousandths of a core times milliseconds
	// unfitSince is when it was first found to be the first of all and not to fit; zero
	// before.
	unfitSince time.Time
}

// Request takes what waits at the owner, a coordinator by the name of its connection.
func (t *Table) Request(now time.Time, owner string, m *wire.CapacityRequest) {
	t.OrderReceived(now, owner, m.Seen)
	t.lapse(now)
	a := t.askers[owner]
	if a == nil {
		a = &asker{}
		t.askers[owner] = a
	}
	if m.Seq <= a.seq {
		return // late, or doubled
	}
	a.seq = m.Seq
	a.until = now.Add(t.cfg.RequestTTL)
	before := a.waits
	a.waits = newWaits(now, owner, m.Waits)
	if len(a.waits) == 0 {
		t.endGrants(func(g *grant) bool { return g.owner == owner })
	}
	for _, w := range a.waits {
		w.continues(before)
	}
	t.countUnseen(owner, a)
}

func newWaits(now time.Time, owner string, rows []wire.RoomWait) []*wait {
	var waits []*wait
	for i := range rows[:min(len(rows), wire.MaxWaits)] {
		r := &rows[i]
		w := &wait{
			owner:    owner,
			row:      i,
			priority: r.Priority,
			need:     r.Need.Max(durable.Resources{}),
			first:    now.Add(fromNow(r.FirstMS)),
			last:     now.Add(fromNow(max(r.FirstMS, r.LastMS))),
			tasks:    int(min(r.Tasks, mostTasks)),
			total:    max(0, r.Work),
		}
		if w.tasks > 0 && w.need != (durable.Resources{}) {
			waits = append(waits, w)
		}
	}
	return waits
}

// fromNow returns how far a turn is from now.
func fromNow(ms int64) time.Duration {
	most := farthest.Milliseconds()
	return time.Duration(min(most, max(-most, ms))) * time.Millisecond
}

// continues takes over since when the wait is the first and does not fit, if it was told of
// before.
func (w *wait) continues(before []*wait) {
	for _, b := range before {
		if b.priority == w.priority && b.need == w.need {
			w.unfitSince = b.unfitSince
			return
		}
	}
}

// countUnseen counts grants that the owner had not seen when it asked against its ask.
func (t *Table) countUnseen(owner string, a *asker) {
	for _, g := range t.grants {
		if g.owner != owner {
			continue
		}
		for _, w := range a.waits {
			if w.priority == g.priority && w.left() > 0 {
				w.granted++
				break
			}
		}
	}
}

// left returns how many tasks have not been granted room.
func (w *wait) left() int { return w.tasks - w.granted }

// turn returns the turn of the first task that has not been granted room: between those of
// the first and the last in proportion.
func (w *wait) turn() time.Time {
	if w.tasks < 2 {
		return w.first
	}
	share := float64(w.granted) / float64(w.tasks-1)
	return w.first.Add(time.Duration(share * float64(w.last.Sub(w.first))))
}

// work returns what is left of the wait.
func (w *wait) work(now time.Time) wire.WaitingWork {
	return wire.WaitingWork{
		Priority: w.priority,
		FirstMS:  w.turn().Sub(now).Milliseconds(),
		LastMS:   w.last.Sub(now).Milliseconds(),
		Work:     w.total * int64(w.left()) / int64(w.tasks),
	}
}

// before returns whether the wait comes before the other.
func (w *wait) before(o *wait) bool {
	return cmp.Or(w.turn().Compare(o.turn()), cmp.Compare(w.priority, o.priority), cmp.Compare(w.owner, o.owner), cmp.Compare(w.row, o.row)) < 0
}

// first returns the wait that comes first of those that may be granted room, and nil if there
// is none. Owners that have not used what they were granted come after all others for a
// while.
func (t *Table) first(now time.Time, may func(w *wait) bool) *wait {
	var first *wait
	firstIsLast := false
	for _, a := range t.askers {
		isLast := now.Before(a.setAside) || now.Before(a.returned)
		for _, w := range a.waits {
			if w.left() <= 0 || !t.everFits(w) || !may(w) {
				continue
			}
			if first == nil || firstIsLast && !isLast || firstIsLast == isLast && w.before(first) {
				first, firstIsLast = w, isLast
			}
		}
	}
	return first
}

// everFits returns whether the wait's tasks fit the backend server when it is empty.
func (t *Table) everFits(w *wait) bool {
	return t.whole == (durable.Resources{}) || w.need.Fits(t.whole)
}

// dropAsks drops asks that were not repeated.
func (t *Table) dropAsks(now time.Time) {
	for _, a := range t.askers {
		if !now.Before(a.until) {
			a.waits = nil
		}
	}
}
