package config

import (
	"time"

	"github.com/lichenfall/lichenfall/jobs/dedup"
)

// Dedup is the section on best-effort jobs that come to several coordinators.
type Dedup struct {
	// ResendAfter is the least time after which a caller without an answer sends its job
	// again; the users' platform sets it.
	ResendAfter Duration `json:"resend_after"`
	// StartupWait is how long a coordinator that has just begun waits to hear which jobs others
	// have, once it knows them. Some times what a connection takes; callers wait as long.
	StartupWait Duration `json:"greeting"`
}

// DefaultDedup returns the defaults of Dedup.
func DefaultDedup() Dedup {
	return Dedup{
		ResendAfter: Duration(1300 * time.Millisecond),
		StartupWait: Duration(300 * time.Millisecond),
	}
}

func (c *Dedup) check(k *checker) {
	k.span("copies.resend_after", c.ResendAfter, Duration(100*time.Millisecond), Duration(10*time.Minute))
	k.span("copies.greeting", c.StartupWait, 0, c.ResendAfter)
}

// Core returns the settings of a table of copies, where the scheduler's leases are those given.
func (c *Dedup) Core(s *Scheduler) dedup.Settings {
	return dedup.Settings{ResendAfter: c.ResendAfter.D(), RunsEndWithin: s.writeOff(s.BestEffortLease), StartupWait: c.StartupWait.D()}
}
