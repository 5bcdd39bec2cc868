package config

import (
	"time"
)

// Ownership is the section on the group of coordinators among which the store divides its
// partitions.
type Ownership struct {
	// TTL is how long a join is valid. After it, another coordinator may get the partitions.
	// The store grants no TTL below 1 s; design 0004 has the calculation of a takeover.
	TTL         Duration `json:"ttl"`
	Join        Duration `json:"join"`         // interval between joins; four of them fit into a TTL
	CallLimit   Duration `json:"call_limit"`   // timeout of one join; at most a TTL
	AppendLimit Duration `json:"append_limit"` // timeout of one append, after which it is repeated
	ReadLimit   Duration `json:"read_limit"`   // timeout for reading a partition
	// Announce is how often a coordinator checks whether others could forward a call to the
	// wrong coordinator by its last announcement, and announces itself anew if they could. It
	// does so every second in any case.
	Announce     Duration `json:"tell"`
	Flush        Duration `json:"flush"`         // limit on the wait for the store at a planned stop
	ReconnectMax Duration `json:"reconnect_max"` // longest pause before a lost peer is dialled again
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
	c.durationBetween("ownership.ttl", o.TTL, second, 60*second)
	c.durationBetween("ownership.join", o.Join, Duration(10*time.Millisecond), o.TTL/2)
	c.durationBetween("ownership.call_limit", o.CallLimit, Duration(10*time.Millisecond), o.TTL)
	c.durationBetween("ownership.append_limit", o.AppendLimit, Duration(10*time.Millisecond), 60*second)
	c.durationBetween("ownership.read_limit", o.ReadLimit, Duration(10*time.Millisecond), 60*second)
	c.durationBetween("ownership.tell", o.Announce, Duration(10*time.Millisecond), 10*second)
	c.durationBetween("ownership.flush", o.Flush, 0, 60*second)
	c.durationBetween("ownership.reconnect_max", o.ReconnectMax, Duration(10*time.Millisecond), 60*second)
}
