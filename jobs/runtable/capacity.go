package runtable

import (
	"time"

	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/jobs/room"
	"github.com/lichenfall/lichenfall/wire"
)

// RequestCapacity handles a coordinator's list of the work that waits there for capacity.
func (t *Table) RequestCapacity(now time.Time, conn string, m *wire.CapacityRequest) {
	if t.owners[conn] != nil {
		t.room.Request(now, conn, m)
	}
}

// shareCapacity grants free capacity to the coordinators that request it, and queues statuses
// for them. When the last request has ended, all coordinators are sent the free capacity.
func (t *Table) shareCapacity(now time.Time) {
	t.room.SetCapacity(t.identity.Capacity)
	for _, conn := range t.room.Allocate(now, t.grantable(now)) {
		t.queueStatus(conn, t.owners[conn])
	}
	for _, e := range t.room.Events() {
		t.noteRoomEvent(e)
	}
	shared := t.room.Sharing()
	if t.capacityShared && !shared {
		t.queueStatuses()
	}
	t.capacityShared = shared
}

// grantable returns the capacity that orders may use now.
func (t *Table) grantable(now time.Time) durable.Resources {
	if !t.canStart() || now.Sub(t.noRoomAt) < noRoomPause {
		return durable.Resources{}
	}
	return t.free()
}

// announceFreed queues a status for every coordinator after capacity has come free. While some
// request capacity, only those that are granted some get one at once; the others get theirs in
// answer to their next heartbeat.
func (t *Table) announceFreed() {
	if !t.room.Sharing() {
		t.queueStatuses()
		return
	}
	t.capacityShared = true
}

// roomDecisions maps the events of package room to decisions.
var roomDecisions = [...]Decision{
	room.Granted:            GrantMade,
	room.GrantUsed:          GrantUsed,
	room.GrantLapsed:        GrantLapsed,
	room.OwnerDeprioritised: OwnerDeprioritised,
}

func (t *Table) noteRoomEvent(e room.Event) {
	member := ""
	if o := t.owners[e.Owner]; o != nil {
		member = o.member
	}
	t.noteFrequent(roomDecisions[e.What], wire.RunRef{}, member)
}
