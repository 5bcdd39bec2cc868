package room

// EventKind is the kind of an Event.
type EventKind uint8

// The kinds of events.
const (
	Granted            EventKind = iota // capacity for one task was granted
	GrantUsed                           // orders of an owner that had answered grants were accepted
	GrantLapsed                         // the owner did not answer the grant in time
	OwnerDeprioritised                  // the owner let several grants lapse, and ranks last for a while
)

// Event is a decision of the table, for the caller's log and metrics.
type Event struct {
	What  EventKind
	Owner string
}

// maxEvents bounds the events that are held for the caller. Fewer occur between two calls of
// Events.
const maxEvents = 1000

// Events returns the events since the last call.
func (t *Table) Events() []Event {
	events := t.events
	t.events = nil
	return events
}

func (t *Table) addEvent(what EventKind, owner string) {
	if len(t.events) < maxEvents {
		t.events = append(t.events, Event{what, owner})
	}
}
