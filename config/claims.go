package config

import "time"

// Claims is the section on who may start a submission. Holders must be the
// same list in the settings of every entry and agent; processes with other
// lists refuse each other's claims.
type Claims struct {
	Holders []string `json:"holders"`  // addresses of agents
	Entries int      `json:"entries"`  // claims that an agent remembers
	Window  Duration `json:"window"`   // how long a claim is remembered
	Wait    Duration `json:"wait"`     // for a holder's answer, before the caller is refused
	Pending int      `json:"pending"`  // claims of one entry that may wait at once
	KeepFor Duration `json:"keep_for"` // how long an entry keeps an answer for resends
	Answers int      `json:"answers"`  // answers kept, at most
	Bytes   int      `json:"bytes"`    // of results in the answers kept, at most
}

// DefaultClaims returns the defaults of Claims.
func DefaultClaims() Claims {
	return Claims{
		Entries: 100000,
		Window:  Duration(10 * time.Minute),
		Wait:    Duration(250 * time.Millisecond),
		Pending: 20000,
		KeepFor: Duration(5 * time.Minute),
		Answers: 50000,
		Bytes:   16 << 20,
	}
}

func (s *Claims) check(c *checker) {
	c.addresses("claims.holders", s.Holders)
	if len(s.Holders) == 0 {
		c.d.report("claims.holders", "empty", "the addresses of the agents, the same list everywhere")
	}
	between(c, "claims.entries", s.Entries, 1000, 10000000)
	c.span("claims.window", s.Window, Duration(time.Minute), Duration(24*time.Hour))
	c.span("claims.wait", s.Wait, Duration(10*time.Millisecond), Duration(10*time.Second))
	between(c, "claims.pending", s.Pending, 1, 1000000)
	c.span("claims.keep_for", s.KeepFor, Duration(time.Second), s.Window)
	between(c, "claims.answers", s.Answers, 1, 10000000)
	between(c, "claims.bytes", s.Bytes, 1<<20, 1<<30)
}
