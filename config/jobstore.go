package config

import (
	"time"

	"github.com/lichenfall/lichenfall/runtable"
	"github.com/lichenfall/lichenfall/scheduler"
)

// Ownership is the section on the group of coordinators that own the store's
// partitions.
type Ownership struct {
	TTL          Duration `json:"ttl"`           // how long a join holds
	Join         Duration `json:"join"`          // between joins
	CallLimit    Duration `json:"call_limit"`    // for one join
	AppendLimit  Duration `json:"append_limit"`  // for one append, before it is repeated
	ReadLimit    Duration `json:"read_limit"`    // to read a partition
	Tell         Duration `json:"tell"`          // between messages to other coordinators
	Flush        Duration `json:"flush"`         // longest wait for the store at a planned stop
	ReconnectMax Duration `json:"reconnect_max"` // longest pause before a lost peer is dialled
}

// DefaultOwnership returns the defaults of Ownership.
func DefaultOwnership() Ownership {
	return Ownership{
		TTL:          Duration(1200 * time.Millisecond),
		Join:         Duration(250 * time.Millisecond),
		CallLimit:    Duration(900 * time.Millisecond),
		AppendLimit:  Duration(1500 * time.Millisecond),
		ReadLimit:    Duration(3 * time.Second),
		Tell:         Duration(250 * time.Millisecond),
		Flush:        Duration(500 * time.Millisecond),
		ReconnectMax: Duration(150 * time.Millisecond),
	}
}

func (o *Ownership) check(c *checker) {
	second := Duration(time.Second)
	c.span("ownership.ttl", o.TTL, second, 60*second)
	c.span("ownership.join", o.Join, Duration(10*time.Millisecond), o.TTL/2)
	c.span("ownership.call_limit", o.CallLimit, Duration(10*time.Millisecond), o.TTL)
	c.span("ownership.append_limit", o.AppendLimit, Duration(10*time.Millisecond), 60*second)
	c.span("ownership.read_limit", o.ReadLimit, Duration(10*time.Millisecond), 60*second)
	c.span("ownership.tell", o.Tell, Duration(10*time.Millisecond), 10*second)
	c.span("ownership.flush", o.Flush, 0, 60*second)
	c.span("ownership.reconnect_max", o.ReconnectMax, Duration(10*time.Millisecond), 60*second)
}

// Scheduler is the section on jobs and where their tasks run.
type Scheduler struct {
	Partitions uint32   `json:"partitions"`  // of the store; the same everywhere
	Heartbeat  Duration `json:"heartbeat"`   // to each worker
	Suspect    Duration `json:"suspect"`     // silence after which a worker is dialled anew
	OwnerLease Duration `json:"owner_lease"` // how long a heartbeat holds at a worker
	HoldLease  Duration `json:"hold_lease"`  // longest lease of a backend server
	// BestEffortLease is the owner lease of jobs that are not kept.
	BestEffortLease Duration `json:"best_effort_lease"`
	StopGrace       Duration `json:"stop_grace"`    // from the end of an owner lease to that of the hold
	CommitGap       Duration `json:"commit_gap"`    // between two commits of a partition
	LazyCommit      Duration `json:"lazy_commit"`   // how long an end may wait that no caller waits for
	CallLimit       Duration `json:"call_limit"`    // after which a caller is told that the outcome is unknown
	RetryAfter      Duration `json:"retry_after"`   // what refused callers are told
	CommitRetry     Duration `json:"commit_retry"`  // pause after the store refused
	KeepFinal       Duration `json:"keep_final"`    // how long the state of ended jobs is kept
	StateWait       Duration `json:"state_wait"`    // how long the answer to a question waits for a job's end
	MaxBatch        int      `json:"max_batch"`     // bytes of one commit
	MaxJobs         int      `json:"max_jobs"`      // jobs of one coordinator that have not ended
	StragglerX      float64  `json:"straggler_x"`   // a run is stopped after so many times its estimate
	StragglerMin    Duration `json:"straggler_min"` // and this much more
}

// DefaultScheduler returns the defaults of Scheduler.
func DefaultScheduler() Scheduler {
	return Scheduler{
		Partitions:      8,
		Heartbeat:       Duration(200 * time.Millisecond),
		Suspect:         Duration(700 * time.Millisecond),
		OwnerLease:      Duration(1600 * time.Millisecond),
		HoldLease:       Duration(time.Second),
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
	}
}

func (s *Scheduler) check(c *checker) {
	second := Duration(time.Second)
	between(c, "scheduler.partitions", s.Partitions, 1, 4096)
	c.span("scheduler.heartbeat", s.Heartbeat, Duration(10*time.Millisecond), s.OwnerLease/2)
	c.span("scheduler.suspect", s.Suspect, s.Heartbeat, s.OwnerLease)
	c.span("scheduler.owner_lease", s.OwnerLease, Duration(100*time.Millisecond), 60*second)
	c.span("scheduler.best_effort_lease", s.BestEffortLease, Duration(100*time.Millisecond), 60*second)
	c.span("scheduler.stop_grace", s.StopGrace, 0, 10*second)
	c.span("scheduler.hold_lease", s.HoldLease, Duration(100*time.Millisecond), 60*second)
	c.span("scheduler.commit_gap", s.CommitGap, 0, second)
	c.span("scheduler.lazy_commit", s.LazyCommit, 0, 10*second)
	c.span("scheduler.call_limit", s.CallLimit, Duration(10*time.Millisecond), 60*second)
	c.span("scheduler.retry_after", s.RetryAfter, Duration(10*time.Millisecond), 60*second)
	c.span("scheduler.commit_retry", s.CommitRetry, 0, 10*second)
	c.span("scheduler.keep_final", s.KeepFinal, second, 24*3600*second)
	c.span("scheduler.state_wait", s.StateWait, 0, 10*second)
	between(c, "scheduler.max_batch", s.MaxBatch, 4096, 64<<20)
	between(c, "scheduler.max_jobs", s.MaxJobs, 1, 10000000)
	between(c, "scheduler.straggler_x", s.StragglerX, 1, 1000)
	c.span("scheduler.straggler_min", s.StragglerMin, 0, 60*second)
}

// drift is by how much the clock of a backend server may run slow.
const drift = 0.02

// doubtMargin covers timers that fire late.
const doubtMargin = 100 * time.Millisecond

// doubt returns how long after its last heartbeat a worker may run what it was
// ordered to, when the owner's lease lasts so long.
func (s *Scheduler) doubt(lease Duration) time.Duration {
	return lease.D() + s.StopGrace.D() + time.Duration((1+drift)*float64(s.HoldLease)) + doubtMargin
}

// Core returns the settings of the scheduler's core.
func (s *Scheduler) Core(dataCentre string) scheduler.Settings {
	return scheduler.Settings{
		Partitions:      s.Partitions,
		DataCentre:      dataCentre,
		Heartbeat:       s.Heartbeat.D(),
		Suspect:         s.Suspect.D(),
		Doubt:           s.doubt(s.OwnerLease),
		BestEffortDoubt: s.doubt(s.BestEffortLease),
		CommitGap:       s.CommitGap.D(),
		LazyCommit:      s.LazyCommit.D(),
		CallLimit:       s.CallLimit.D(),
		RetryAfter:      s.RetryAfter.D(),
		CommitRetry:     s.CommitRetry.D(),
		KeepFinal:       s.KeepFinal.D(),
		StateWait:       s.StateWait.D(),
		MaxBatch:        s.MaxBatch,
		MaxJobs:         s.MaxJobs,
		StragglerX:      s.StragglerX,
		StragglerMin:    s.StragglerMin.D(),
	}
}

// Runs is the worker's section on the runs beside it. Partitions and leases
// must be those of the coordinators.
type Runs struct {
	Partitions      uint32   `json:"partitions"`
	OwnerLease      Duration `json:"owner_lease"`
	BestEffortLease Duration `json:"best_effort_lease"`
	StopGrace       Duration `json:"stop_grace"`
	HoldLease       Duration `json:"hold_lease"`
	HoldRenew       Duration `json:"hold_renew"`  // between renewals of the backend server's lease
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
		HoldLease:       Duration(time.Second),
		HoldRenew:       Duration(100 * time.Millisecond),
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
	c.span("runs.hold_lease", r.HoldLease, Duration(100*time.Millisecond), 60*second)
	c.span("runs.hold_renew", r.HoldRenew, Duration(10*time.Millisecond), r.HoldLease/2)
	c.span("runs.start_limit", r.StartLimit, Duration(10*time.Millisecond), 60*second)
	c.span("runs.call_limit", r.CallLimit, Duration(10*time.Millisecond), r.HoldLease)
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
		HoldLease:       r.HoldLease.D(),
		HoldRenew:       r.HoldRenew.D(),
		Drift:           drift,
		StartLimit:      r.StartLimit.D(),
		MaxWaiting:      r.MaxWaiting,
		FirstLease:      r.FirstLease.D(),
	}
}

// Serving is the coordinator's section on where callers come.
type Serving struct {
	Listen   string `json:"listen"` // callers
	Ready    string `json:"ready"`  // the balancer's question whether callers may come
	MaxConns int    `json:"max_conns"`
}

// DefaultServing returns the defaults of Serving.
func DefaultServing() Serving {
	return Serving{Listen: "127.0.0.1:0", Ready: "127.0.0.1:0", MaxConns: 2000}
}

func (s *Serving) check(c *checker) {
	c.address("serving.listen", s.Listen)
	c.address("serving.ready", s.Ready)
	between(c, "serving.max_conns", s.MaxConns, 1, 1000000)
}

// Process is the section on what a process may take of its box.
type Process struct {
	MemoryMiB int64    `json:"memory_mib"` // the box's limit; 0 is none
	Grace     Duration `json:"grace"`      // from a stop signal to the end
}

// DefaultProcess returns the defaults of Process.
func DefaultProcess() Process { return Process{Grace: Duration(5 * time.Second)} }

func (p *Process) check(c *checker) {
	between(c, "process.memory_mib", p.MemoryMiB, 0, 1<<20)
	c.span("process.grace", p.Grace, 0, Duration(time.Hour))
}

// StoreAddress is the section on the log service that keeps the state.
type StoreAddress struct {
	Address string `json:"address"`
}

func (s *StoreAddress) check(c *checker) { c.address("store.address", s.Address) }

// Beside is the worker's section on its backend server.
type Beside struct {
	Address string `json:"address"` // where the backend server takes orders
	Listen  string `json:"listen"`  // where it sends its heartbeats
}

func (b *Beside) check(c *checker) {
	c.address("backend.address", b.Address)
	c.address("backend.listen", b.Listen)
}

// Coordinator is the file of a coordinator.
type Coordinator struct {
	Box       Box          `json:"box"`
	Serving   Serving      `json:"serving"`
	Admin     Admin        `json:"admin"`
	Peers     Peers        `json:"peers"`
	Store     StoreAddress `json:"store"`
	Ownership Ownership    `json:"ownership"`
	Scheduler Scheduler    `json:"scheduler"`
	Process   Process      `json:"process"`
	Log       Log          `json:"log"`
}

// DefaultCoordinator returns the defaults of Coordinator. It lacks
// store.address, which has none.
func DefaultCoordinator() *Coordinator {
	return &Coordinator{
		Box:       DefaultBox(),
		Serving:   DefaultServing(),
		Admin:     DefaultAdmin(),
		Peers:     DefaultPeers(),
		Ownership: DefaultOwnership(),
		Scheduler: DefaultScheduler(),
		Process:   DefaultProcess(),
		Log:       DefaultLog(),
	}
}

func (k *Coordinator) check(c *checker) {
	k.Box.check(c)
	k.Serving.check(c)
	k.Admin.check(c)
	k.Peers.check(c)
	k.Store.check(c)
	k.Ownership.check(c)
	k.Scheduler.check(c)
	k.Process.check(c)
	k.Log.check(c)
}

// Worker is the file of a worker.
type Worker struct {
	Box     Box          `json:"box"`
	Admin   Admin        `json:"admin"`
	Peers   Peers        `json:"peers"`
	Store   StoreAddress `json:"store"`
	Backend Beside       `json:"backend"`
	Runs    Runs         `json:"runs"`
	Process Process      `json:"process"`
	Log     Log          `json:"log"`
}

// DefaultWorker returns the defaults of Worker. It lacks store.address,
// backend.address and backend.listen, which have none.
func DefaultWorker() *Worker {
	return &Worker{
		Box:     DefaultBox(),
		Admin:   DefaultAdmin(),
		Peers:   DefaultPeers(),
		Runs:    DefaultRuns(),
		Process: DefaultProcess(),
		Log:     DefaultLog(),
	}
}

func (w *Worker) check(c *checker) {
	w.Box.check(c)
	w.Admin.check(c)
	w.Peers.check(c)
	w.Store.check(c)
	w.Backend.check(c)
	w.Runs.check(c)
	w.Process.check(c)
	w.Log.check(c)
}
