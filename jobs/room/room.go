// Package room shares the free capacity of a worker's backend server (its "room" in the
// settings and metrics) among the coordinators that request it. While no coordinator requests
// any, all of the free capacity is advertised to every coordinator, and the first order gets
// it. While some do, it is granted to waiting tasks in the order of their virtual deadlines,
// whichever coordinator they wait at: the capacity is advertised only to the coordinator of the
// earliest task, and for the lifetime of the grant to nobody else. A grant does not start a
// run: orders are still accepted or refused one by one, and an unused grant expires.
//
// It owns the requests and the grants. It relies on its caller for the time, for the free
// capacity, and for sending each coordinator the amount that Available returns. It does no I/O
// and reads no clock.
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
	GrantTTL   time.Duration // how long a grant lasts after it was advertised to its owner
	RequestTTL time.Duration // how long a request stands unless it is repeated
}

// Table holds the requests and the grants of one worker.
type Table struct {
	cfg        Settings
	capacity   durable.Resources     // of the backend server when it is empty; zero while unknown
	requesters map[string]*requester // by the names of their connections
	grants     []*grant              // in the order in which they were made
	reserved   durable.Resources     // held back until the earliest task, which does not fit yet, does
	events     []Event
}

// New returns a table without requests.
func New(cfg Settings) *Table {
	return &Table{cfg: cfg, requesters: make(map[string]*requester)}
}

// SetCapacity sets the total capacity of the backend server. Tasks that need more are never
// granted anything. Until the first call the capacity is unknown, and no task is passed over
// for it.
func (t *Table) SetCapacity(total durable.Resources) { t.capacity = total }

// OrderReceived ends the owner's grants that were advertised by statuses with a stamp up to
// seen: the owner has handled those statuses before it sent the order or request, so it
// has used what it could of these grants. The caller calls OrdersAccepted afterwards if it
// accepts any of the orders.
func (t *Table) OrderReceived(now time.Time, owner string, seen int64) {
	r := t.requesters[owner]
	if r == nil {
		return
	}
	if !now.Before(r.unusedUntil) {
		r.unusedUntil = time.Time{}
	}
	before := len(t.grants)
	t.removeGrants(func(g *grant) bool { return g.owner == owner && g.stamp != 0 && g.stamp <= seen })
	if len(t.grants) < before {
		r.answered(now, t.cfg.GrantTTL)
	}
}

// OrdersAccepted records that orders of the owner have been accepted, after which the given
// capacity is free. The owner may have sent them before it received its grants; they then use
// up its own grants, and no other owner's.
func (t *Table) OrdersAccepted(owner string, free durable.Resources) {
	t.revokeExcess(free, func(g *grant) bool { return g.owner == owner })
	if r := t.requesters[owner]; r != nil && !r.unusedUntil.IsZero() {
		r.unusedUntil = time.Time{}
		t.addEvent(GrantUsed, owner)
	}
}

// RemoveOwner deletes the requests and grants of an owner whose connection is lost.
func (t *Table) RemoveOwner(owner string) {
	t.removeGrants(func(g *grant) bool { return g.owner == owner })
	delete(t.requesters, owner)
}

// Allocate expires grants and requests, and grants the capacity that is free and not yet
// granted to waiting tasks in the order of their virtual deadlines. It returns the owners of
// the new grants, sorted, each once: the caller sends them what Available now returns.
func (t *Table) Allocate(now time.Time, free durable.Resources) []string {
	t.expireGrants(now)
	t.expireRequests(now)
	t.revokeExcess(free, func(*grant) bool { return true })
	t.reserved = durable.Resources{}
	if !t.Sharing() {
		return nil
	}
	rest := free.Sub(t.grantedToOthers(""))
	var owners []string
	for w := t.nextToGrant(now, rest); w != nil; w = t.nextToGrant(now, rest) {
		t.grant(now, w)
		rest = rest.Sub(w.need)
		owners = append(owners, w.owner)
	}
	slices.Sort(owners)
	return slices.Compact(owners)
}

// nextToGrant returns the group whose next task is granted capacity out of the rest: the
// earliest of all groups if its task fits, else the earliest of those that fit into what is not
// reserved for that one; nil if there is none.
func (t *Table) nextToGrant(now time.Time, rest durable.Resources) *waitingTasks {
	first := t.earliest(now, func(*waitingTasks) bool { return true })
	if first == nil || first.need.Fits(rest) {
		return first
	}
	t.reserve(now, first, rest)
	rest = rest.Sub(t.reserved)
	return t.earliest(now, func(w *waitingTasks) bool { return w.need.Fits(rest) })
}

// Available returns how much of the free capacity the owner may use: all but what is granted to
// others and what is reserved for the earliest task.
func (t *Table) Available(owner string, free durable.Resources) durable.Resources {
	return free.Sub(t.grantedToOthers(owner)).Sub(t.reserved)
}

// StatusSent records that a status with the stamp (above 0) advertises to the owner what
// Available returns. Its grants that no earlier status has advertised get the stamp, and their
// lifetime starts now.
func (t *Table) StatusSent(now time.Time, owner string, stamp int64) {
	for _, g := range t.grants {
		if g.owner == owner && g.stamp == 0 {
			g.stamp = stamp
			g.until = now.Add(t.cfg.GrantTTL)
		}
	}
}

// Sharing returns whether the free capacity is handed out by grants: a request or a grant is
// standing.
func (t *Table) Sharing() bool {
	if len(t.grants) > 0 {
		return true
	}
	for _, r := range t.requesters {
		if len(r.waiting) > 0 {
			return true
		}
	}
	return false
}

// WaitingElsewhere returns the work that waits to start here at coordinators other than the
// owner and has not been granted capacity, in the order of priority and virtual deadline.
func (t *Table) WaitingElsewhere(now time.Time, owner string) []wire.WaitingWork {
	var rows []wire.WaitingWork
	for name, r := range t.requesters {
		if name == owner {
			continue
		}
		for _, w := range r.waiting {
			if w.remaining() > 0 {
				rows = merge(rows, w.work(now))
			}
		}
	}
	slices.SortFunc(rows, func(a, b wire.WaitingWork) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.FirstMS, b.FirstMS))
	})
	return rows[:min(len(rows), maxRows)]
}

const (
	// maxRows is the most rows that WaitingElsewhere returns: for each of four priorities one
	// for jobs that have started, one for tasks on time and one for overdue tasks.
	maxRows = 12
	// maxMergeDistance is the greatest distance between the virtual deadlines of work that is
	// merged into one row. Coordinators give jobs that have started deadlines far before all
	// others, and overdue tasks deadlines far after them.
	maxMergeDistance = 5 * time.Minute
)

// merge adds the work to the row of the same priority with nearby virtual deadlines, or
// appends it as a row of its own.
func merge(rows []wire.WaitingWork, work wire.WaitingWork) []wire.WaitingWork {
	for i := range rows {
		r := &rows[i]
		distance := max(r.FirstMS-work.FirstMS, work.FirstMS-r.FirstMS)
		if r.Priority != work.Priority || distance > maxMergeDistance.Milliseconds() {
			continue
		}
		r.FirstMS = min(r.FirstMS, work.FirstMS)
		r.LastMS = max(r.LastMS, work.LastMS)
		r.Work += work.Work
		return rows
	}
	return append(rows, work)
}
