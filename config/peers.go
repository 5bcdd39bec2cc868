package config

import "time"

// Peers is the section on connections between lichenfall's own processes.
type Peers struct {
	Listen     string   `json:"listen"`      // IP address and port
	Advertise  string   `json:"advertise"`   // address at which peers reach the process; empty for the one listened on
	MaxFrame   int      `json:"max_frame"`   // limit on the size of a frame, in bytes
	ClockBound Duration `json:"clock_bound"` // limit on the difference to a peer's clock
}

// DefaultPeers returns the defaults of Peers.
func DefaultPeers() Peers {
	return Peers{Listen: "127.0.0.1:0", MaxFrame: 4 << 20, ClockBound: Duration(500 * time.Millisecond)}
}

func (p *Peers) check(c *checker) {
	c.address("peers.listen", p.Listen)
	if p.Advertise != "" {
		c.address("peers.advertise", p.Advertise)
	}
	between(c, "peers.max_frame", p.MaxFrame, 64<<10, 64<<20)
	c.durationBetween("peers.clock_bound", p.ClockBound, Duration(10*time.Millisecond), Duration(10*time.Second))
}
