package config

import (
	"time"
)

// Ownership is the section on the group of coordinators that own the store's
// partitions.
type Ownership struct {
	// TTL is how long a join holds: after it another coordinator gets the partitions.
	// The least that the store grants is 1 s; design 0004 adds up a takeover.
	TTL         Duration `json:"ttl"`
	Join        Duration `json:"join"`         // between joins; four of them fit into a TTL
	CallLimit   Duration `json:"call_limit"`   // for one join; within a TTL
	AppendLimit Duration `json:"append_limit"` // for one append, before it is repeated
	ReadLimit   Duration `json:"read_limit"`   // to read a partition
	// Announce is the time between announcements to other coordinators, where they would send
	// a call to the wrong place.
	Announce     Duration `json:"tell"`
	Flush        Duration `json:"flush"`         // longest wait for the store at a planned stop
	ReconnectMax Duration `json:"reconnect_max"` // longest pause before a lost peer is dialled
}

// DefaultOwnership returns the defaults of Ownership.
func DefaultOwnership() Ownership {
	return Ownership{
		TTL:          Duration(1200 * time.Millisecond),
		Join:         Duration(250 * time.Millisecond),
		CallLimit:    Duration(900 * time.Millisecond),
		AppendLimit:  Duration(1500 * time.Millisecond),
		ReadLimit:    Duration(3 * time.Second),
		Announce:     Duration(250 * time.Millisecond),
		Flush:        Duration(500 * time.Millisecond),
		ReconnectMax: Duration(150 * time.Millisecond),
	}
}

func (o *Ownership) check(c *checker) {
	second := Duration(time.Second)
	c.span("ownership.ttl", o.TTL, second, 60*second)
	c.span("ownership.join", o.Join, Duration(10*time.Millisecond), o.TTL/2)
	c.span("ownership.call_limit", o.CallLimit, Duration(10*time.Millisecond), o.TTL)
	c.span("ownership.append_limit", o.AppendLimit, Duration(10*time.Millisecond), 60*second)
	c.span("ownership.read_limit", o.ReadLimit, Duration(10*time.Millisecond), 60*second)
	c.span("ownership.tell", o.Announce, Duration(10*time.Millisecond), 10*second)
	c.span("ownership.flush", o.Flush, 0, 60*second)
	c.span("ownership.reconnect_max", o.ReconnectMax, Duration(10*time.Millisecond), 60*second)
}
