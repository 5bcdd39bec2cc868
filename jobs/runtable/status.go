package runtable

import (
	"slices"
	"time"

	"github.com/lichenfall/lichenfall/wire"
)

// stamp returns the time since this process started, in microseconds on its monotonic clock;
// never 0. Coordinators echo it in heartbeats and orders.
func (t *Table) stamp(now time.Time) int64 {
	return max(1, now.Sub(t.began).Microseconds())
}

// queueStatus has a status sent to the coordinator with the next Effects.
func (t *Table) queueStatus(conn string, o *owner) {
	if !o.dirty {
		o.dirty = true
		t.dirty = append(t.dirty, conn)
	}
}

// queueStatuses has a status sent to every coordinator with the next Effects.
func (t *Table) queueStatuses() {
	for conn, o := range t.owners {
		t.queueStatus(conn, o)
	}
}

// sendStatuses sends the statuses that are due.
func (t *Table) sendStatuses(now time.Time) {
	if len(t.dirty) == 0 {
		return
	}
	slices.Sort(t.dirty)
	slowness := percent(t.slowness(now))
	for _, conn := range t.dirty {
		o := t.owners[conn]
		if o == nil || !o.dirty {
			continue // the connection was lost, or its name is in use again
		}
		o.dirty = false
		s := t.status(now, conn, o, slowness)
		t.room.StatusSent(now, conn, s.Stamp)
		t.send(conn, s)
	}
	t.dirty = t.dirty[:0]
}

// status returns the status for the coordinator. Its stamp is above those of all earlier ones, so that
// an order tells by it which of them the coordinator had handled.
func (t *Table) status(now time.Time, conn string, o *owner, slowness uint32) *wire.WorkerStatus {
	o.stamp = max(t.stamp(now), o.stamp+1)
	s := &wire.WorkerStatus{
		TimeFactor:   percent(t.outcomes.speed.TimeFactor()),
		Slowness:     slowness,
		Failing:      percent(t.outcomes.failing),
		Stamp:        o.stamp,
		HeartbeatSeq: o.heartbeatSeq,
		StartSeq:     o.startSeq,
		Ready:        t.canStart(),
		Free:         t.room.Available(conn, t.free()),
		Waiting:      t.room.WaitingElsewhere(now, conn),
		Fenced:       o.fenced,
	}
	o.fenced = nil
	if o.identityStamp == 0 {
		o.identityStamp = o.stamp
		s.Identity = t.identity.message()
	}
	return s
}
