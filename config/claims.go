package config

import "time"

// Claims is the section on the claims by which one entry at most starts a submission. Holders must
// be the same list in the settings of every entry and agent; processes with different lists refuse
// each other's claims.
type Claims struct {
	Holders []string `json:"holders"`  // addresses of the agents that hold claims
	Entries int      `json:"entries"`  // limit on the claims that an agent stores
	Window  Duration `json:"window"`   // how long an agent stores a claim
	Wait    Duration `json:"wait"`     // for a holder's reply, before the caller is refused
	Pending int      `json:"pending"`  // limit on an entry's claims that wait for a reply
	KeepFor Duration `json:"keep_for"` // how long an entry keeps an answer for resends
	Answers int      `json:"answers"`  // limit on the number of answers kept
	Bytes   int      `json:"bytes"`    // limit on the size of the results in the answers kept
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
	c.durationBetween("claims.window", s.Window, Duration(time.Minute), Duration(24*time.Hour))
	c.durationBetween("claims.wait", s.Wait, Duration(10*time.Millisecond), Duration(10*time.Second))
	between(c, "claims.pending", s.Pending, 1, 1000000)
	c.durationBetween("claims.keep_for", s.KeepFor, Duration(time.Second), s.Window)
	between(c, "claims.answers", s.Answers, 1, 10000000)
	between(c, "claims.bytes", s.Bytes, 1<<20, 1<<30)
}
