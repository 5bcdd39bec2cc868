package config

import (
	"time"

	"github.com/lichenfall/lichenfall/jobs/runtable"
)

// Runs is the worker's section on the runs on its backend server. Partitions and
// leases must be those of the coordinators. In the file, hold is the lease that the
// backend server grants.
type Runs struct {
	Partitions uint32 `json:"partitions"` // of the store; the users' platform sets it
	// OwnerLease is how long a coordinator's heartbeat keeps the runs of its kept jobs: eight
	// heartbeats, so that no short pause stops work. Design 0004 adds up the leases.
	OwnerLease Duration `json:"owner_lease"`
	// BestEffortLease is the same for best-effort jobs. With StopGrace it is less than
	// the 1.3 s after which a caller without an answer sends a job again.
	BestEffortLease Duration `json:"best_effort_lease"`
	// StopGrace is the time from the end of an owner's lease to stop its runs one by one.
	// Three calls.
	StopGrace Duration `json:"stop_grace"`
	// BackendLease is the longest lease that the backend server grants; the users'
	// platform sets it. No more than leaseAsked is asked for.
	BackendLease Duration `json:"hold_lease"`
	// RenewWait is how long a renewal of that lease may wait for news while something runs
	// and calls go unanswered. One without an answer makes the worker deaf for so long and
	// RenewLimit more: with 100 and 60 ms, four times as many jobs were late while a
	// fifteenth of the calls had no answer.
	RenewWait Duration `json:"hold_renew"`
	// LongRenewWait is the same at any other time. A tenth of the lease.
	LongRenewWait Duration `json:"calm_renew"`
	// RenewOverdue is how long the answer to a renewal may take beyond its wait before
	// another is made beside it: a renewal that is lost makes the worker deaf for so long and
	// not for RenewLimit. Some ten times what an answer takes.
	RenewOverdue Duration `json:"renew_patience"`
	// RenewLimit is for the answer to a renewal, beyond its wait; it doubles after each
	// that had none, up to CallLimit.
	RenewLimit Duration `json:"renew_limit"`
	// SilentAfter is how long the backend server may give no answer before it is called silent. A
	// quarter of the lease, and many renewals.
	SilentAfter Duration `json:"silence"`
	// StartLimit is when an unanswered start is stopped. Well within the 2 to 12 s in which it
	// may still be carried out.
	StartLimit Duration `json:"start_limit"`
	// CallLimit is for one call of the backend server. Some twenty times what one takes.
	CallLimit Duration `json:"call_limit"`
	// AdoptionTimeout is how long a fresh process waits for the owners of what it adopted. A
	// heartbeat and some.
	AdoptionTimeout Duration `json:"first_lease"`
	Room            Room     `json:"room"`
}

// DefaultRuns returns the defaults of Runs.
func DefaultRuns() Runs {
	return Runs{
		Partitions:      8,
		OwnerLease:      Duration(1600 * time.Millisecond),
		BestEffortLease: Duration(800 * time.Millisecond),
		StopGrace:       Duration(200 * time.Millisecond),
		BackendLease:    Duration(time.Second),
		RenewWait:       Duration(20 * time.Millisecond),
		LongRenewWait:   Duration(100 * time.Millisecond),
		RenewOverdue:    Duration(8 * time.Millisecond),
		RenewLimit:      Duration(30 * time.Millisecond),
		SilentAfter:     Duration(260 * time.Millisecond),
		StartLimit:      Duration(700 * time.Millisecond),
		CallLimit:       Duration(60 * time.Millisecond),
		AdoptionTimeout: Duration(250 * time.Millisecond),
		Room:            DefaultRoom(),
	}
}

func (r *Runs) check(c *checker) {
	second := Duration(time.Second)
	between(c, "runs.partitions", r.Partitions, 1, 4096)
	c.span("runs.owner_lease", r.OwnerLease, Duration(100*time.Millisecond), 60*second)
	c.span("runs.best_effort_lease", r.BestEffortLease, Duration(100*time.Millisecond), 60*second)
	c.span("runs.stop_grace", r.StopGrace, 0, 10*second)
	c.span("runs.hold_lease", r.BackendLease, Duration(100*time.Millisecond), 60*second)
	c.span("runs.hold_renew", r.RenewWait, Duration(5*time.Millisecond), r.BackendLease/2)
	c.span("runs.calm_renew", r.LongRenewWait, r.RenewWait, r.BackendLease/2)
	c.span("runs.renew_patience", r.RenewOverdue, Duration(time.Millisecond), r.RenewLimit)
	c.span("runs.renew_limit", r.RenewLimit, Duration(time.Millisecond), r.CallLimit)
	c.span("runs.silence", r.SilentAfter, r.LongRenewWait+r.CallLimit, r.BackendLease)
	c.span("runs.start_limit", r.StartLimit, Duration(10*time.Millisecond), 60*second)
	c.span("runs.call_limit", r.CallLimit, Duration(10*time.Millisecond), r.BackendLease)
	c.span("runs.first_lease", r.AdoptionTimeout, 0, r.OwnerLease)
	r.Room.check(c)
}

// leaseAsked is the longest lease that is asked of a backend server. For as long nobody knows
// that the runs of a server which has fallen silent, or of a worker that is cut off, are dead,
// and they are started nowhere else: a lease of 15 s, which some grant, would outlast every
// caller. A worker renews it fifty times before it ends. Longer than the pauses of a loaded
// box.
const leaseAsked = Duration(time.Second)

// Core returns the settings of the core of a worker in the data centre.
func (r *Runs) Core(dataCentre string) runtable.Settings {
	return runtable.Settings{
		DataCentre:        dataCentre,
		Partitions:        r.Partitions,
		OwnerLease:        r.OwnerLease.D(),
		BestEffortLease:   r.BestEffortLease.D(),
		StopGrace:         r.StopGrace.D(),
		BackendLease:      min(leaseAsked, r.BackendLease).D(),
		MaxBackendLease:   r.BackendLease.D(),
		ShortRenewWait:    r.RenewWait.D(),
		LongRenewWait:     r.LongRenewWait.D(),
		RenewOverdueAfter: r.RenewOverdue.D(),
		RenewLimit:        r.RenewLimit.D(),
		CallLimit:         r.CallLimit.D(),
		SilentAfter:       r.SilentAfter.D(),
		Drift:             drift,
		StartLimit:        r.StartLimit.D(),
		AdoptionTimeout:   r.AdoptionTimeout.D(),
		Room:              r.Room.Core(),
	}
}
