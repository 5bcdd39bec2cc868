package runtable

import (
	"time"

	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/jobs/room"
	"github.com/lichenfall/lichenfall/wire"
)

// RequestCapacity takes what waits for room at a coordinator.
func (t *Table) RequestCapacity(now time.Time, name string, m *wire.RoomAsk) {
	if t.owners[name] != nil {
		t.room.Ask(now, name, m)
	}
}

// shareCapacity grants what is free to those who ask, and has them told. Once nobody asks any
// more, all are told of all that is free.
func (t *Table) shareCapacity(now time.Time) {
	t.room.Resize(t.identity.Capacity)
	for _, name := range t.room.Share(now, t.grantable(now)) {
		t.queueStatus(name, t.owners[name])
	}
	for _, e := range t.room.Events() {
		t.noteRoomEvent(e)
	}
	shared := t.room.Asked()
	if t.capacityShared && !shared {
		t.queueStatuses()
	}
	t.capacityShared = shared
}

// grantable returns the room that orders may use now.
func (t *Table) grantable(now time.Time) durable.Resources {
	if !t.canStart() || now.Sub(t.noRoomAt) < noRoomPause {
		return durable.Resources{}
	}
	return t.free()
}

// announceFreed makes every coordinator get a status of what has come free. While some ask for
// room, those get one to whom it is granted; the others hear of it in the answer to their next
// heartbeat.
func (t *Table) announceFreed() {
	if !t.room.Asked() {
		t.queueStatuses()
		return
	}
	t.capacityShared = true
}

// roomDecisions name the events of package room.
var roomDecisions = [...]Decision{
	room.Granted:       GrantMade,
	room.GrantUsed:     GrantUsed,
	room.GrantLapsed:   GrantLapsed,
	room.OwnerSetAside: OwnerDeprioritised,
}

func (t *Table) noteRoomEvent(e room.Event) {
	member := ""
	if o := t.owners[e.Owner]; o != nil {
		member = o.member
	}
	t.noteFrequent(roomDecisions[e.What], wire.RunRef{}, member)
}
