package config

import (
	"time"

	"github.com/lichenfall/lichenfall/jobs/dedup"
)

// Dedup is the section on best-effort jobs that callers send to several coordinators.
type Dedup struct {
	// ResendAfter is the shortest time after which a caller without an answer sends its job
	// again; the users' platform determines it.
	ResendAfter Duration `json:"resend_after"`
	// StartupWait is how long a coordinator that has just started waits for other coordinators
	// to announce their jobs, once it knows their addresses. It is several times as
	// long as connecting takes; best-effort jobs submitted to it in this time are delayed.
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
	k.durationBetween("copies.resend_after", c.ResendAfter, Duration(100*time.Millisecond), Duration(10*time.Minute))
	k.durationBetween("copies.greeting", c.StartupWait, 0, c.ResendAfter)
}

// Core returns the settings of a dedup.Table; the time until a lost coordinator's runs have ended
// follows from the scheduler's leases.
func (c *Dedup) Core(s *Scheduler) dedup.Settings {
	return dedup.Settings{ResendAfter: c.ResendAfter.D(), RunsEndWithin: s.writeOff(s.BestEffortLease), StartupWait: c.StartupWait.D()}
}
