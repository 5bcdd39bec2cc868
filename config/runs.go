package config

import (
	"time"

	"github.com/lichenfall/lichenfall/jobs/runtable"
)

// Runs is the worker's section on the runs beside it. Partitions and leases
// must be those of the coordinators.
type Runs struct {
	Partitions      uint32   `json:"partitions"`
	OwnerLease      Duration `json:"owner_lease"`
	BestEffortLease Duration `json:"best_effort_lease"`
	StopGrace       Duration `json:"stop_grace"`
	BackendLease    Duration `json:"hold_lease"`
	RenewWait       Duration `json:"hold_renew"`  // between renewals of the backend server's lease
	StartLimit      Duration `json:"start_limit"` // after which an unanswered start is given up
	CallLimit       Duration `json:"call_limit"`  // for one call of the backend server
	MaxWaiting      int      `json:"max_waiting"` // runs that may wait for room
	FirstLease      Duration `json:"first_lease"` // owner lease that a fresh process assumes
}

// DefaultRuns returns the defaults of Runs.
func DefaultRuns() Runs {
	return Runs{
		Partitions:      8,
		OwnerLease:      Duration(1600 * time.Millisecond),
		BestEffortLease: Duration(800 * time.Millisecond),
		StopGrace:       Duration(200 * time.Millisecond),
		BackendLease:    Duration(time.Second),
		RenewWait:       Duration(100 * time.Millisecond),
		StartLimit:      Duration(700 * time.Millisecond),
		CallLimit:       Duration(60 * time.Millisecond),
		MaxWaiting:      6,
		FirstLease:      Duration(250 * time.Millisecond),
	}
}

func (r *Runs) check(c *checker) {
	second := Duration(time.Second)
	between(c, "runs.partitions", r.Partitions, 1, 4096)
	c.span("runs.owner_lease", r.OwnerLease, Duration(100*time.Millisecond), 60*second)
	c.span("runs.best_effort_lease", r.BestEffortLease, Duration(100*time.Millisecond), 60*second)
	c.span("runs.stop_grace", r.StopGrace, 0, 10*second)
	c.span("runs.hold_lease", r.BackendLease, Duration(100*time.Millisecond), 60*second)
	c.span("runs.hold_renew", r.RenewWait, Duration(10*time.Millisecond), r.BackendLease/2)
	c.span("runs.start_limit", r.StartLimit, Duration(10*time.Millisecond), 60*second)
	c.span("runs.call_limit", r.CallLimit, Duration(10*time.Millisecond), r.BackendLease)
	between(c, "runs.max_waiting", r.MaxWaiting, 1, 10000)
	c.span("runs.first_lease", r.FirstLease, 0, r.OwnerLease)
}

// Core returns the settings of the worker's core.
func (r *Runs) Core() runtable.Settings {
	return runtable.Settings{
		Partitions:      r.Partitions,
		OwnerLease:      r.OwnerLease.D(),
		BestEffortLease: r.BestEffortLease.D(),
		StopGrace:       r.StopGrace.D(),
		BackendLease:    r.BackendLease.D(),
		RenewWait:       r.RenewWait.D(),
		Silence:         2*r.RenewWait.D() + r.CallLimit.D(),
		Drift:           drift,
		StartLimit:      r.StartLimit.D(),
		MaxWaiting:      r.MaxWaiting,
		FirstLease:      r.FirstLease.D(),
	}
}
