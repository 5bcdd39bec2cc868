package runtable

import (
	"slices"
	"strconv"
	"time"

	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/wire"
)

// Incarnation names one life of the backend server, from its start to its end.
type Incarnation struct {
	// Instance is the ID that it goes by. A later life may have it again.
	Instance string
	// Born is when it started, in milliseconds since 1970 by its own word; 0 where backend
	// servers do not tell, whose IDs never come back.
	Born int64
}

// String returns a name that no other life has.
func (i Incarnation) String() string {
	if i.Born == 0 {
		return i.Instance
	}
	return i.Instance + "@" + strconv.FormatInt(i.Born, 10)
}

// Identity describes one life of the backend server.
type Identity struct {
	Instance string // with Born, the life
	Born     int64
	Service  string
	Ready    bool // neither draining nor leaving
	Capacity durable.Resources
	Labels   []string
}

// Equal returns whether the two say the same.
func (id *Identity) Equal(o *Identity) bool {
	return id.Incarnation() == o.Incarnation() && id.Service == o.Service && id.Ready == o.Ready &&
		id.Capacity == o.Capacity && slices.Equal(id.Labels, o.Labels)
}

// Incarnation returns which life it is.
func (id Identity) Incarnation() Incarnation { return Incarnation{id.Instance, id.Born} }

// message returns what coordinators are sent of it.
func (id *Identity) message() *wire.BackendIdentity {
	return &wire.BackendIdentity{Instance: id.Incarnation().String(), Service: id.Service, Capacity: id.Capacity, Labels: id.Labels}
}

// Identity returns the life that the table speaks of.
func (t *Table) Identity() Identity { return t.identity }

// Identify tells the table which life the backend server is in, by its own answer to
// a question. A new life ends everything of the one before, which never comes back.
func (t *Table) Identify(now time.Time, id Identity) {
	if id.Incarnation() != t.identity.Incarnation() {
		t.supersede(t.identity.Incarnation())
		t.reportNumber = 0
		if t.known {
			t.succeeded(now, id.Incarnation(), "new_instance")
		}
	}
	before, known := t.identity, t.known
	if id.Capacity == (durable.Resources{}) {
		id.Capacity = t.identity.Capacity
		id.Service = t.identity.Service
		id.Labels = t.identity.Labels
	}
	t.identity = id
	t.known = true
	if known && before.Equal(&id) {
		return
	}
	for _, o := range t.owners {
		o.identified = false
	}
	t.touchOwners()
	t.effects.Renew = true
}

// lifeOver ends all runs: the process that ran them is gone.
func (t *Table) lifeOver(now time.Time, reason string) {
	t.noteLost(reason)
	if t.leaving() {
		t.endAll(now, wire.EndLost, reason)
	} else {
		t.endCrashed(now, reason)
		t.silentCrashed(now)
	}
	clear(t.silenced)
	t.ends = make(map[uint64]*end)
	t.outcomes = newOutcomes()
	t.seen, t.acked = 0, 0
	t.tellsProgress = false
	t.token = 0
	t.clock, t.clockAt = 0, time.Time{}
	t.granted, t.leaseEnds = 0, time.Time{}
	t.silent, t.refusedAt = false, time.Time{}
	t.synced = false
	t.lapsing = false
	t.known = false
	t.identity.Ready = false
	t.touchOwners()
}

// noteLost says for the log how the life ended, and how many runs went with it.
func (t *Table) noteLost(reason string) {
	if t.leaving() {
		reason += suffixAnnounced
	}
	t.effects.Notes = append(t.effects.Notes, Note{What: BackendLost, Reason: reason, Runs: len(t.runs)})
}

// endAll ends all runs that are here, each in the way given.
func (t *Table) endAll(now time.Time, how wire.End, reason string) {
	for _, ref := range t.refs() {
		t.endRun(now, t.runs[ref], how, reason)
		delete(t.runs, ref)
	}
}
