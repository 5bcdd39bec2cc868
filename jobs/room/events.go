package room

// EventKind is what an Event tells of.
type EventKind uint8

// The kinds of events.
const (
	Granted            EventKind = iota // room for one task was granted
	GrantUsed                           // orders were taken of an owner that had grants
	GrantLapsed                         // the owner did not answer in time
	OwnerDeprioritised                  // it let several lapse, and comes last for a while
)

// Event is something worth a line in the log.
type Event struct {
	What  EventKind
	Owner string
}

// mostEvents is how many events are held for the caller: more than one look brings.
const mostEvents = 1000

// Events returns what has happened since the last call.
func (t *Table) Events() []Event {
	events := t.events
	t.events = nil
	return events
}

func (t *Table) event(what EventKind, owner string) {
	if len(t.events) < mostEvents {
		t.events = append(t.events, Event{what, owner})
	}
}
