package config

import (
	"time"

	"github.com/lichenfall/lichenfall/jobs/scheduler"
)

// Scheduler is the coordinator's section on jobs and the placement of their tasks.
type Scheduler struct {
	Partitions uint32   `json:"partitions"` // of the store, equal in all files; the users' platform determines it
	Heartbeat  Duration `json:"heartbeat"`  // interval between heartbeats to a worker; an eighth of OwnerLease
	// Suspect is the silence after which the connection to a worker is closed and made again.
	// It is slightly longer than three heartbeats.
	Suspect Duration `json:"suspect"`
	// The leases must equal those in the workers' section Runs, which documents them. In the
	// keys of the file, hold means the lease that a backend server grants.
	OwnerLease      Duration `json:"owner_lease"`
	BackendLease    Duration `json:"hold_lease"`
	BestEffortLease Duration `json:"best_effort_lease"`
	StopGrace       Duration `json:"stop_grace"`
	// CommitGap is the shortest time between two commits of a partition: an append to the store
	// takes 4 ms. The time in use is longer if StoreWrites requires it.
	CommitGap Duration `json:"commit_gap"`
	// StoreWrites is the number of writes a second that the store accepts from all processes
	// together; the users' platform determines it. 0 sets no limit.
	StoreWrites float64 `json:"store_writes"`
	// LazyCommit is how long ends of runs may wait for a commit if no caller waits
	// for them, so that several ends share a commit.
	LazyCommit Duration `json:"lazy_commit"`
	// CallLimit is the time after which a caller gets the answer that the outcome is unknown. It
	// is less than the 1.3 s after which callers retry.
	CallLimit Duration `json:"call_limit"`
	// RetryAfter is the minimum of Retry-After in answers to refused calls. Its default of 1 s is
	// the least time that the header can state, since its unit is a second.
	RetryAfter  Duration `json:"retry_after"`
	CommitRetry Duration `json:"commit_retry"` // pause after the store refused a commit
	KeepFinal   Duration `json:"keep_final"`   // storage time of ended jobs; the users' platform determines it
	// StateWait is how long the answer to a request for a job's state is delayed until the job
	// ends, so that callers poll less often.
	StateWait Duration `json:"state_wait"`
	MaxBatch  int      `json:"max_batch"` // limit on a commit in bytes; half of what the store accepts in a call
	MaxJobs   int      `json:"max_jobs"`  // limit on the jobs of one coordinator that have not ended
	// A run is stopped as a straggler after StragglerX times its estimate plus StragglerMin.
	StragglerX   float64    `json:"straggler_x"`
	StragglerMin Duration   `json:"straggler_min"`
	Load         LoadPolicy `json:"load"`
}

// DefaultScheduler returns the defaults of Scheduler.
func DefaultScheduler() Scheduler {
	return Scheduler{
		Partitions:      8,
		Heartbeat:       Duration(200 * time.Millisecond),
		Suspect:         Duration(700 * time.Millisecond),
		OwnerLease:      Duration(1600 * time.Millisecond),
		BackendLease:    Duration(time.Second),
		BestEffortLease: Duration(800 * time.Millisecond),
		StopGrace:       Duration(200 * time.Millisecond),
		CommitGap:       Duration(10 * time.Millisecond),
		LazyCommit:      Duration(60 * time.Millisecond),
		CallLimit:       Duration(1200 * time.Millisecond),
		RetryAfter:      Duration(time.Second),
		CommitRetry:     Duration(150 * time.Millisecond),
		KeepFinal:       Duration(150 * time.Second),
		StateWait:       Duration(150 * time.Millisecond),
		MaxBatch:        1 << 20,
		MaxJobs:         20000,
		StragglerX:      3,
		StragglerMin:    Duration(150 * time.Millisecond),
		Load:            DefaultLoadPolicy(),
	}
}

// drift is the largest fraction by which the clock of a backend server may run slow: the users'
// platform allows 2 %.
const drift = 0.02

// writeOffMargin allows for timers that fire late.
const writeOffMargin = 100 * time.Millisecond

// writeOff returns the time after its last heartbeat during which a worker may still run tasks,
// for an owner's lease of the given length. It is the sum of that lease, the time for stopping the
// runs one by one, and the backend server's own lease by a clock that runs slow.
func (s *Scheduler) writeOff(lease Duration) time.Duration {
	return writeOff(lease, s.StopGrace, s.BackendLease)
}

func writeOff(lease, stopGrace, backendLease Duration) time.Duration {
	return lease.D() + stopGrace.D() + time.Duration((1+drift)*float64(min(maxRequestedLease, backendLease))) + writeOffMargin
}

func (s *Scheduler) check(c *checker) {
	second := Duration(time.Second)
	between(c, "scheduler.partitions", s.Partitions, 1, 4096)
	c.durationBetween("scheduler.heartbeat", s.Heartbeat, Duration(10*time.Millisecond), s.OwnerLease/2)
	c.durationBetween("scheduler.suspect", s.Suspect, s.Heartbeat, s.OwnerLease)
	c.durationBetween("scheduler.owner_lease", s.OwnerLease, Duration(100*time.Millisecond), 60*second)
	c.durationBetween("scheduler.best_effort_lease", s.BestEffortLease, Duration(100*time.Millisecond), 60*second)
	c.durationBetween("scheduler.stop_grace", s.StopGrace, 0, 10*second)
	c.durationBetween("scheduler.hold_lease", s.BackendLease, Duration(100*time.Millisecond), 60*second)
	c.durationBetween("scheduler.commit_gap", s.CommitGap, 0, second)
	between(c, "scheduler.store_writes", s.StoreWrites, 0, 1e9)
	c.durationBetween("scheduler.lazy_commit", s.LazyCommit, 0, 10*second)
	c.durationBetween("scheduler.call_limit", s.CallLimit, Duration(10*time.Millisecond), 60*second)
	c.durationBetween("scheduler.retry_after", s.RetryAfter, Duration(10*time.Millisecond), 60*second)
	c.durationBetween("scheduler.commit_retry", s.CommitRetry, 0, 10*second)
	c.durationBetween("scheduler.keep_final", s.KeepFinal, second, 24*3600*second)
	c.durationBetween("scheduler.state_wait", s.StateWait, 0, 10*second)
	between(c, "scheduler.max_batch", s.MaxBatch, 4096, 64<<20)
	between(c, "scheduler.max_jobs", s.MaxJobs, 1, 10000000)
	between(c, "scheduler.straggler_x", s.StragglerX, 1, 1000)
	s.Load.check(c)
	c.durationBetween("scheduler.straggler_min", s.StragglerMin, 0, 60*second)
}

// commitShare is the share of StoreWrites that commits may use; the rest is left for joins, fences
// and registrations.
const commitShare = 0.75

// commitGap returns the time between two commits of a partition, long enough for the commits of all
// partitions together to stay within their share of StoreWrites: the store refuses writes above
// that rate, and the callers of a refused commit are refused too.
func (s *Scheduler) commitGap() time.Duration {
	gap := s.CommitGap.D()
	if s.StoreWrites <= 0 {
		return gap
	}
	perPartition := commitShare * s.StoreWrites / float64(s.Partitions)
	return max(gap, time.Duration(float64(time.Second)/perPartition))
}

// Core returns the settings of the scheduler's core.
func (s *Scheduler) Core(dataCentre string) scheduler.Settings {
	return scheduler.Settings{
		Partitions:         s.Partitions,
		DataCentre:         dataCentre,
		Heartbeat:          s.Heartbeat.D(),
		Suspect:            s.Suspect.D(),
		WriteOff:           s.writeOff(s.OwnerLease),
		BestEffortWriteOff: s.writeOff(s.BestEffortLease),
		CommitGap:          s.commitGap(),
		LazyCommit:         s.LazyCommit.D(),
		CallLimit:          s.CallLimit.D(),
		RetryAfter:         s.RetryAfter.D(),
		CommitRetry:        s.CommitRetry.D(),
		KeepFinal:          s.KeepFinal.D(),
		StateWait:          s.StateWait.D(),
		MaxBatch:           s.MaxBatch,
		MaxJobs:            s.MaxJobs,
		StragglerX:         s.StragglerX,
		StragglerMin:       s.StragglerMin.D(),
		Load:               s.Load.Core(),
	}
}
