package config

import (
	"time"

	"github.com/lichenfall/lichenfall/jobs/scheduler"
)

// Scheduler is the section on jobs and where their tasks run.
type Scheduler struct {
	Partitions uint32   `json:"partitions"` // of the store, the same everywhere; the users' platform sets it
	Heartbeat  Duration `json:"heartbeat"`  // to each worker; an eighth of the owner lease
	// Suspect is the silence after which a worker is connected to again. Three heartbeats and
	// some.
	Suspect Duration `json:"suspect"`
	// The leases are those of the workers' section runs, which says where they come
	// from. In the file, hold is the lease that a backend server grants.
	OwnerLease      Duration `json:"owner_lease"`
	BackendLease    Duration `json:"hold_lease"`
	BestEffortLease Duration `json:"best_effort_lease"`
	StopGrace       Duration `json:"stop_grace"`
	// CommitGap is the least time between two commits of a partition: the store takes
	// one append in 4 ms. It is longer where StoreWrites asks for that.
	CommitGap Duration `json:"commit_gap"`
	// StoreWrites is how many writes a second the store takes of all processes together;
	// the users' platform sets it. 0 sets no limit.
	StoreWrites float64 `json:"store_writes"`
	// LazyCommit is how long an end may wait that no caller waits for, so that ends share
	// commits.
	LazyCommit Duration `json:"lazy_commit"`
	// CallLimit is when a caller is told that the outcome is unknown. Less than the 1.3 s
	// after which callers try again.
	CallLimit   Duration `json:"call_limit"`
	RetryAfter  Duration `json:"retry_after"`  // what refused callers are told at least; the least that the header can say
	CommitRetry Duration `json:"commit_retry"` // pause after the store refused
	KeepFinal   Duration `json:"keep_final"`   // how long the state of ended jobs is kept; the users' platform sets it
	// StateWait is how long the answer to a question waits for a job's end, so that callers
	// ask less often.
	StateWait Duration `json:"state_wait"`
	MaxBatch  int      `json:"max_batch"` // bytes of one commit; half of what the store takes in a call
	MaxJobs   int      `json:"max_jobs"`  // of one coordinator that have not ended
	// A run is stopped as a straggler after so many times its estimate, and this much more.
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

// drift is by how much the clock of a backend server may run slow: the users'
// platform allows 2 %.
const drift = 0.02

// writeOffMargin is added since timers fire late.
const writeOffMargin = 100 * time.Millisecond

// writeOff returns how long after its last heartbeat a worker may still run what
// it was ordered to, when the owner's lease lasts so long: the lease, the time to
// stop its runs one by one, and the backend server's own lease by its clock.
func (s *Scheduler) writeOff(lease Duration) time.Duration {
	return lease.D() + s.StopGrace.D() + time.Duration((1+drift)*float64(min(leaseAsked, s.BackendLease))) + writeOffMargin
}

func (s *Scheduler) check(c *checker) {
	second := Duration(time.Second)
	between(c, "scheduler.partitions", s.Partitions, 1, 4096)
	c.span("scheduler.heartbeat", s.Heartbeat, Duration(10*time.Millisecond), s.OwnerLease/2)
	c.span("scheduler.suspect", s.Suspect, s.Heartbeat, s.OwnerLease)
	c.span("scheduler.owner_lease", s.OwnerLease, Duration(100*time.Millisecond), 60*second)
	c.span("scheduler.best_effort_lease", s.BestEffortLease, Duration(100*time.Millisecond), 60*second)
	c.span("scheduler.stop_grace", s.StopGrace, 0, 10*second)
	c.span("scheduler.hold_lease", s.BackendLease, Duration(100*time.Millisecond), 60*second)
	c.span("scheduler.commit_gap", s.CommitGap, 0, second)
	between(c, "scheduler.store_writes", s.StoreWrites, 0, 1e9)
	c.span("scheduler.lazy_commit", s.LazyCommit, 0, 10*second)
	c.span("scheduler.call_limit", s.CallLimit, Duration(10*time.Millisecond), 60*second)
	c.span("scheduler.retry_after", s.RetryAfter, Duration(10*time.Millisecond), 60*second)
	c.span("scheduler.commit_retry", s.CommitRetry, 0, 10*second)
	c.span("scheduler.keep_final", s.KeepFinal, second, 24*3600*second)
	c.span("scheduler.state_wait", s.StateWait, 0, 10*second)
	between(c, "scheduler.max_batch", s.MaxBatch, 4096, 64<<20)
	between(c, "scheduler.max_jobs", s.MaxJobs, 1, 10000000)
	between(c, "scheduler.straggler_x", s.StragglerX, 1, 1000)
	s.Load.check(c)
	c.span("scheduler.straggler_min", s.StragglerMin, 0, 60*second)
}

// commitShare is the share of the store's writes that commits may take; the rest is for joins,
// fences and registrations.
const commitShare = 0.75

// commitGap returns the least time between two commits of a partition with which all
// partitions together stay within the store's writes: what is beyond them is refused,
// and a refused commit refuses its callers.
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
