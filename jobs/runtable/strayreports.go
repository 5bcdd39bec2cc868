package runtable

import (
	"slices"
	"time"

	"github.com/lichenfall/lichenfall/wire"
)

// Reports may come from another writer than the backend server, and name its incarnation. They then
// change nothing for good: an incarnation has one service, which the operators' configuration decides if
// reports name two, and numbers far above those of later reports do not count for ever.

// Rules for numbers that are not above the newest one. Reports that are late have such numbers too, but a
// report with a higher one arrives among them.
const (
	renumberAfter = 3 * time.Second // that such reports go on, without a higher number
	renumberCount = 4               // and how many, with rising numbers
)

// reportNumbers decides which reports of an incarnation count: each one with a higher number than any
// before.
type reportNumbers struct {
	newest uint64 // that counted
	// overtaken is the highest number that did not count since, of count that rose, the first one at since.
	overtaken uint64
	count     int
	since     time.Time
}

// accept returns whether a report with the number counts; 0 stands for reports without numbers.
func (n *reportNumbers) accept(now time.Time, number uint64) bool {
	if number == 0 || number > n.newest || n.renumbered(now, number) {
		*n = reportNumbers{newest: number}
		return true
	}
	return false
}

// renumbered returns whether the newest number is not the backend server's, since reports go on below it.
func (n *reportNumbers) renumbered(now time.Time, number uint64) bool {
	if number <= n.overtaken {
		return false
	}
	if n.count == 0 {
		n.since = now
	}
	n.overtaken = number
	n.count++
	return n.count >= renumberCount && now.Sub(n.since) >= renumberAfter
}

const (
	maxOthers       = 4           // other services whose reports are kept
	servicesAskedIn = time.Second // between two readings of the configuration's services
)

// otherService handles a report that names another service than the incarnation in force has.
func (t *Table) otherService(now time.Time, r Report) {
	t.noteFrequent(ReportOther, wire.RunRef{}, r.Service)
	t.others = slices.DeleteFunc(t.others, func(o Report) bool { return o.Service == r.Service })
	t.others = append(t.others, r)
	if len(t.others) > maxOthers {
		t.others = t.others[1:]
	}
	if now.Sub(t.servicesAskedAt) >= servicesAskedIn {
		t.servicesAskedAt = now
		t.effects.Services = true
	}
	t.settleService(now)
}

// SetServices records the services that the operators' configuration names.
func (t *Table) SetServices(now time.Time, names []string) {
	t.services = names
	t.settleService(now)
}

// settleService takes up a report of another service, if the configuration names that one and not the
// one in force.
func (t *Table) settleService(now time.Time) {
	if !t.hasIdentity || len(t.services) == 0 || slices.Contains(t.services, t.identity.Service) {
		return
	}
	named := func(o Report) bool { return slices.Contains(t.services, o.Service) }
	at := slices.IndexFunc(t.others, named)
	if at < 0 {
		return
	}
	r := t.others[at]
	t.others = nil
	t.reportsSeen = reportNumbers{newest: r.Number}
	t.note(ServiceCorrected, wire.RunRef{}, r.Service)
	t.Identify(now, r.Identity)
}
