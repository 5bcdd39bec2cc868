package runtable

import (
	"slices"
	"strconv"
	"time"

	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/wire"
)

// Incarnation identifies one lifetime of the backend server's process.
type Incarnation struct {
	// Instance is the ID of the backend server. A later incarnation may have the same one.
	Instance string
	// Born is the start time that the incarnation reports, in milliseconds since 1970. It is 0
	// for backend servers that report none; their instance IDs are never reused.
	Born int64
}

// String returns a name that no other incarnation has.
func (i Incarnation) String() string {
	if i.Born == 0 {
		return i.Instance
	}
	return i.Instance + "@" + strconv.FormatInt(i.Born, 10)
}

// Identity describes an incarnation of the backend server.
type Identity struct {
	Instance string // identifies the incarnation, together with Born
	Born     int64
	Service  string
	Ready    bool // neither draining nor leaving
	Capacity durable.Resources
	Labels   []string
}

// Equal returns whether both have the same content.
func (id *Identity) Equal(o *Identity) bool {
	return id.Incarnation() == o.Incarnation() && id.Service == o.Service && id.Ready == o.Ready &&
		id.Capacity == o.Capacity && slices.Equal(id.Labels, o.Labels)
}

// Incarnation returns the incarnation that is described.
func (id Identity) Incarnation() Incarnation { return Incarnation{id.Instance, id.Born} }

// message returns the identity as coordinators are sent it.
func (id *Identity) message() *wire.BackendIdentity {
	return &wire.BackendIdentity{Instance: id.Incarnation().String(), Service: id.Service, Capacity: id.Capacity, Labels: id.Labels}
}

// Identity returns the identity of the incarnation in force, or of the last one if none is.
func (t *Table) Identity() Identity { return t.identity }

// Identify sets the incarnation in force, as the backend server's own answer shows. A new
// incarnation ends everything of the previous one, which never returns. Without a capacity, the
// service, capacity and labels that are known of the same incarnation stay.
func (t *Table) Identify(now time.Time, id Identity) {
	if id.Incarnation() != t.identity.Incarnation() {
		t.supersede(t.identity.Incarnation())
		t.reportsSeen, t.noMoreReports, t.others = reportNumbers{}, false, nil
		if t.hasIdentity {
			t.replacedBy(now, id.Incarnation(), "new_instance")
		}
		t.reportSilentCrashes(now)
	}
	before, known := t.identity, t.hasIdentity
	if id.Capacity == (durable.Resources{}) && id.Incarnation() == before.Incarnation() {
		id.Capacity = t.identity.Capacity
		id.Service = t.identity.Service
		id.Labels = t.identity.Labels
	}
	t.identity = id
	t.hasIdentity = true
	if known && before.Equal(&id) {
		return
	}
	if !known {
		clear(t.silentRuns) // the incarnation that was given up has not crashed
	}
	for _, o := range t.owners {
		o.identityStamp = 0
	}
	t.queueStatuses()
	t.effects.Renew = true
}

// endIncarnation ends all runs, since the process that ran them is gone, or refuses connections and
// the lease is over. In the second case it has perhaps not crashed.
func (t *Table) endIncarnation(now time.Time, reason string) {
	t.noteBackendLost(reason)
	t.endUnlisted(now)
	switch {
	case t.leaving():
		t.endAll(now, wire.EndLost, reason)
		clear(t.silentRuns)
	case reason == reasonRefused:
		t.endCrashed(now, reason, true)
	default:
		t.endCrashed(now, reason, false)
		t.reportSilentCrashes(now)
	}
	t.ends = make(map[uint64]*end)
	t.outcomes = newOutcomes()
	t.lastListedEnd, t.ackedEnd = 0, 0
	t.reportsProgress = false
	t.token = 0
	t.clock, t.clockAt = 0, time.Time{}
	t.leaseDeadline, t.leaseEnds = 0, time.Time{}
	t.silent, t.refusedAt = false, time.Time{}
	t.synced, t.complete = false, false
	t.lapsing = false
	t.noRoomAt, t.coldUntil = time.Time{}, time.Time{}
	t.hasIdentity = false
	t.identity.Ready = false
	t.queueStatuses()
}

// noteBackendLost logs how the incarnation ended and how many runs were lost with it.
func (t *Table) noteBackendLost(reason string) {
	if t.leaving() {
		reason += suffixAnnounced
	}
	t.effects.Notes = append(t.effects.Notes, Note{What: BackendLost, Reason: reason, Runs: len(t.runs)})
}

// endAll ends all runs in the same way.
func (t *Table) endAll(now time.Time, how wire.End, reason string) {
	for _, ref := range t.sortedRefs() {
		t.endRun(now, t.runs[ref], how, reason)
		delete(t.runs, ref)
	}
}
