package runtable

import (
	"time"

	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/jobs/room"
	"github.com/lichenfall/lichenfall/wire"
)

// RequestCapacity takes what waits for room at a coordinator.
func (t *Table) RequestCapacity(now time.Time, name string, m *wire.CapacityRequest) {
	if t.owners[name] != nil {
		t.room.Request(now, name, m)
	}
}

// shareRoom grants what is free to those who ask, and has them told. Once nobody asks any
// more, all are told of all that is free.
func (t *Table) shareRoom(now time.Time) {
	t.room.SetCapacity(t.identity.Capacity)
	for _, name := range t.room.Allocate(now, t.grantable(now)) {
		t.touch(name, t.owners[name])
	}
	for _, e := range t.room.Events() {
		t.noteRoom(e)
	}
	shared := t.room.Sharing()
	if t.shared && !shared {
		t.touchOwners()
	}
	t.shared = shared
}

// grantable returns the room that orders may use now.
func (t *Table) grantable(now time.Time) durable.Resources {
	if !t.canStart() || now.Sub(t.noRoomAt) < noRoomPause {
		return durable.Resources{}
	}
	return t.free()
}

// touchFreed makes every coordinator get a status of what has come free. While some ask for
// room, those get one to whom it is granted; the others hear of it in the answer to their next
// heartbeat.
func (t *Table) touchFreed() {
	if !t.room.Sharing() {
		t.touchOwners()
		return
	}
	t.shared = true
}

// roomDecisions name the events of package room.
var roomDecisions = [...]Decision{
	room.Granted:            GrantMade,
	room.GrantUsed:          GrantUsed,
	room.GrantLapsed:        GrantLapsed,
	room.OwnerDeprioritised: OwnerDeprioritised,
}

func (t *Table) noteRoom(e room.Event) {
	member := ""
	if o := t.owners[e.Owner]; o != nil {
		member = o.member
	}
	t.noteFrequent(roomDecisions[e.What], wire.RunRef{}, member)
}
