package config

import (
	"time"

	"github.com/lichenfall/lichenfall/jobs/claims"
	"github.com/lichenfall/lichenfall/jobs/runtable"
)

// Runs is the worker's section on the runs on its backend server. Partitions and leases must equal
// those of the coordinators. In the keys of the file, hold means the lease that the backend server
// grants.
type Runs struct {
	Partitions uint32 `json:"partitions"` // number of the store's partitions; the users' platform determines it
	// OwnerLease is how long a coordinator's heartbeat keeps the runs of its durable jobs alive:
	// eight heartbeats, so that short pauses stop no runs. Design 0004 has the calculation of
	// the leases.
	OwnerLease Duration `json:"owner_lease"`
	// BestEffortLease is how long a coordinator's heartbeat keeps the runs of its best-effort
	// jobs alive. With StopGrace it is less than the 1.3 s after which a caller without an answer
	// sends its job again.
	BestEffortLease Duration `json:"best_effort_lease"`
	// StopGrace is the time for stopping an owner's runs one by one after its lease has expired.
	// It suffices for three calls.
	StopGrace Duration `json:"stop_grace"`
	// BackendLease is the longest lease that the backend server grants; the users' platform
	// determines it. The worker requests maxRequestedLease at most.
	BackendLease Duration `json:"hold_lease"`
	// RenewWait is how long the backend server may hold a renewal of that lease until it has
	// something to report, while runs exist and calls go unanswered. If a renewal gets no
	// answer, the worker receives no report for RenewWait and RenewLimit together: with 100 and
	// 60 ms, four times as many jobs were late while a fifteenth of the calls had no answer.
	RenewWait Duration `json:"hold_renew"`
	// LongRenewWait is how long the backend server may hold a renewal at any other time. It is a
	// tenth of the lease.
	LongRenewWait Duration `json:"calm_renew"`
	// RenewOverdue is how long the answer to a renewal may take beyond its wait before a second
	// renewal is sent: after a lost renewal, the worker receives no report for this time in
	// place of RenewLimit. It is about ten times the duration of an answer.
	RenewOverdue Duration `json:"renew_patience"`
	// RenewLimit is the timeout for the answer to a renewal, beyond its wait; it doubles after
	// each unanswered renewal, up to CallLimit.
	RenewLimit Duration `json:"renew_limit"`
	// SilentAfter is the time without an answer after which the backend server is considered
	// silent. It is a quarter of the lease, and many renewals long.
	SilentAfter Duration `json:"silence"`
	// StartLimit is the time after which a run is stopped if the request to start it got no
	// answer. It is well below the 2 to 12 s within which the backend server may still start it.
	StartLimit Duration `json:"start_limit"`
	// CallLimit is the timeout of one call to the backend server, about twenty times the usual
	// duration.
	CallLimit Duration `json:"call_limit"`
	// AdoptionTimeout is how long a worker that has just started waits for the owners of the
	// runs that it found on its backend server. It is slightly longer than the interval between
	// heartbeats.
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
	c.durationBetween("runs.owner_lease", r.OwnerLease, Duration(100*time.Millisecond), 60*second)
	c.durationBetween("runs.best_effort_lease", r.BestEffortLease, Duration(100*time.Millisecond), 60*second)
	c.durationBetween("runs.stop_grace", r.StopGrace, 0, 10*second)
	c.durationBetween("runs.hold_lease", r.BackendLease, Duration(100*time.Millisecond), 60*second)
	c.durationBetween("runs.hold_renew", r.RenewWait, Duration(5*time.Millisecond), r.BackendLease/2)
	c.durationBetween("runs.calm_renew", r.LongRenewWait, r.RenewWait, r.BackendLease/2)
	c.durationBetween("runs.renew_patience", r.RenewOverdue, Duration(time.Millisecond), r.RenewLimit)
	c.durationBetween("runs.renew_limit", r.RenewLimit, Duration(time.Millisecond), r.CallLimit)
	c.durationBetween("runs.silence", r.SilentAfter, r.LongRenewWait+r.CallLimit, r.BackendLease)
	c.durationBetween("runs.start_limit", r.StartLimit, Duration(10*time.Millisecond), 60*second)
	c.durationBetween("runs.call_limit", r.CallLimit, Duration(10*time.Millisecond), r.BackendLease)
	c.durationBetween("runs.first_lease", r.AdoptionTimeout, 0, r.OwnerLease)
	r.Room.check(c)
}

// maxRequestedLease is the longest lease that is requested from a backend server. If a backend
// server falls silent or a worker is disconnected, its runs may be alive for as long, and are not
// started elsewhere: a lease of 15 s, which some servers grant, would outlast the time that any
// caller waits. A worker renews the lease about fifty times before it expires, and the lease is
// longer than the pauses of a loaded box.
const maxRequestedLease = Duration(time.Second)

// ClaimLease returns how long a worker that is a witness keeps the claims of a coordinator of which it
// hears nothing more.
func (r *Runs) ClaimLease() time.Duration {
	return claims.Lease(writeOff(r.BestEffortLease, r.StopGrace, r.BackendLease))
}

// Core returns the settings of the core of a worker in the given data centre.
func (r *Runs) Core(dataCentre string) runtable.Settings {
	return runtable.Settings{
		DataCentre:        dataCentre,
		Partitions:        r.Partitions,
		OwnerLease:        r.OwnerLease.D(),
		BestEffortLease:   r.BestEffortLease.D(),
		StopGrace:         r.StopGrace.D(),
		BackendLease:      min(maxRequestedLease, r.BackendLease).D(),
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
