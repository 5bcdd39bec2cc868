// Package room is the core that shares a worker's free room among the coordinators that ask
// for it. While none asks, all are told of all that is free, and the first order wins. While
// some ask, what is free is granted in the order of the turns of what waits, whoever asks:
// the coordinator whose task comes first is told of the room, and for a moment nobody else
// is. A grant is no start: an order is taken or refused as ever, and a grant that is not used
// is over by itself.
//
// It owns the asks and the grants. It relies on its caller for the time, for what is free,
// and for telling each coordinator what Free returns. It does no I/O and reads no clock.
package room

import (
	"cmp"
	"slices"
	"time"

	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/wire"
)

// Settings of a Table.
type Settings struct {
	GrantTTL   time.Duration // how long room is kept for a coordinator that has been told of it
	RequestTTL time.Duration // how long an ask stands that is not repeated
}

// Table holds the asks and the grants of one worker.
type Table struct {
	cfg    Settings
	whole  durable.Resources // of the backend server
	askers map[string]*asker // those that have asked, by the names of their connections
	grants []*grant          // in the order in which they were made
	kept   durable.Resources // for the first wait, until it fits
	events []Event
}

// New returns a table without asks.
func New(cfg Settings) *Table {
	return &Table{cfg: cfg, askers: make(map[string]*asker)}
}

// SetCapacity tells the table of the whole room of the backend server: what needs more is passed
// over. Before the first it is not known, and nothing is passed over for it.
func (t *Table) SetCapacity(whole durable.Resources) { t.whole = whole }

// OrderReceived takes the word that the owner has sent an order: it has used what it could of the
// grants that statuses up to the stamp told it of. Took follows if anything is taken.
func (t *Table) OrderReceived(now time.Time, owner string, seen int64) {
	a := t.askers[owner]
	if a == nil {
		return
	}
	if !now.Before(a.returned) {
		a.returned = time.Time{}
	}
	before := len(t.grants)
	t.endGrants(func(g *grant) bool { return g.owner == owner && g.stamp != 0 && g.stamp <= seen })
	if len(t.grants) < before {
		a.answered(now, t.cfg.GrantTTL)
	}
}

// OrdersAccepted takes the word that orders of the owner have been taken, which leaves what is free.
// They may have been on their way when its grants were made: then they used those, and
// nobody else's.
func (t *Table) OrdersAccepted(owner string, free durable.Resources) {
	t.shrink(free, func(g *grant) bool { return g.owner == owner })
	if a := t.askers[owner]; a != nil && !a.returned.IsZero() {
		a.returned = time.Time{}
		t.event(GrantUsed, owner)
	}
}

// RemoveOwner forgets the owner's asks and grants: its connection is lost.
func (t *Table) RemoveOwner(owner string) {
	t.endGrants(func(g *grant) bool { return g.owner == owner })
	delete(t.askers, owner)
}

// Allocate grants what is free and not granted, in the order of the turns of what waits, and
// ends what is over. It returns the owners to whom a new Free is to be told.
func (t *Table) Allocate(now time.Time, free durable.Resources) []string {
	t.lapse(now)
	t.dropAsks(now)
	t.shrink(free, func(*grant) bool { return true })
	t.kept = durable.Resources{}
	if !t.Sharing() {
		return nil
	}
	rest := free.Sub(t.granted(""))
	var told []string
	for w := t.next(now, rest); w != nil; w = t.next(now, rest) {
		t.grant(now, w)
		rest = rest.Sub(w.need)
		told = append(told, w.owner)
	}
	slices.Sort(told)
	return slices.Compact(told)
}

// next returns the wait that is granted room next out of the rest: the first of all if it
// fits, else the first of those that fit, out of what is not kept for that one; nil if there is
// none.
func (t *Table) next(now time.Time, rest durable.Resources) *wait {
	first := t.first(now, func(*wait) bool { return true })
	if first == nil || first.need.Fits(rest) {
		return first
	}
	t.keep(now, first, rest)
	rest = rest.Sub(t.kept)
	return t.first(now, func(w *wait) bool { return w.need.Fits(rest) })
}

// Available returns what the owner may use of what is free: all but what is granted to others,
// and what is kept for what comes first.
func (t *Table) Available(owner string, free durable.Resources) durable.Resources {
	return free.Sub(t.granted(owner)).Sub(t.kept)
}

// StatusSent notes that a status with the stamp tells the owner of what Free returns.
func (t *Table) StatusSent(now time.Time, owner string, stamp int64) {
	for _, g := range t.grants {
		if g.owner == owner && g.stamp == 0 {
			g.stamp = stamp
			g.until = now.Add(t.cfg.GrantTTL)
		}
	}
}

// Sharing returns whether anybody asks, or room is still granted.
func (t *Table) Sharing() bool {
	if len(t.grants) > 0 {
		return true
	}
	for _, a := range t.askers {
		if len(a.waits) > 0 {
			return true
		}
	}
	return false
}

// WaitingElsewhere returns the work that others than the owner wait to start here, by priority.
func (t *Table) WaitingElsewhere(now time.Time, owner string) []wire.WaitingWork {
	var rows []wire.WaitingWork
	for name, a := range t.askers {
		if name == owner {
			continue
		}
		for _, w := range a.waits {
			if w.left() > 0 {
				rows = merge(rows, w.work(now))
			}
		}
	}
	slices.SortFunc(rows, func(a, b wire.WaitingWork) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.FirstMS, b.FirstMS))
	})
	return rows[:min(len(rows), mostRows)]
}

const (
	// mostRows is how many rows tell what waits: of four priorities each what has begun, is
	// on time and is overdue.
	mostRows = 12
	// farApart is how far the turns are apart of work that is not told in one row:
	// coordinators put what has begun far before all else, and what is overdue far after.
	farApart = 5 * time.Minute
)

// merge adds the work to the row of its priority that is near its turns.
func merge(rows []wire.WaitingWork, work wire.WaitingWork) []wire.WaitingWork {
	for i := range rows {
		r := &rows[i]
		apart := max(r.FirstMS-work.FirstMS, work.FirstMS-r.FirstMS)
		if r.Priority != work.Priority || apart > farApart.Milliseconds() {
			continue
		}
		r.FirstMS = min(r.FirstMS, work.FirstMS)
		r.LastMS = max(r.LastMS, work.LastMS)
		r.Work += work.Work
		return rows
	}
	return append(rows, work)
}
