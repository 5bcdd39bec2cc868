// Package scheduler is the core of a coordinator: which jobs are taken, what of
// them is written to the store, and which worker runs which task when.
//
// A kept job is acknowledged when its record is in the store, a task's end is
// acknowledged to its worker when the job's progress is, and a final state is
// shown when it is. What a task does in between is known by the worker beside
// it; a new owner asks all workers before it starts anything of an old job.
//
// It owns the jobs of the partitions that this coordinator has, the best-effort
// jobs that came here, and what it believes of each worker. It relies on its
// caller for the time, for carrying out the Effects, and for leases on partitions
// (package ownership). It does no I/O and reads no clock. docs/DECISIONS.md names
// the function of each rule.
package scheduler

import (
	"math/rand/v2"
	"time"

	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/jobs/routing"
	"github.com/lichenfall/lichenfall/lib/ordered"
	"github.com/lichenfall/lichenfall/wire"
)

// Settings of a Core.
type Settings struct {
	Partitions uint32        // of the job store
	DataCentre string        // of this coordinator
	Heartbeat  time.Duration // between heartbeats to a worker
	Suspect    time.Duration // silence after which a worker's connection is given up
	// WriteOff is how long after its last heartbeat a worker may still run what it
	// was ordered to; later it is dead for certain.
	WriteOff           time.Duration
	BestEffortWriteOff time.Duration // the same of runs of best-effort jobs
	CommitGap          time.Duration // least time between two commits of a partition
	LazyCommit         time.Duration // how long an end may wait that no caller waits for
	CallLimit          time.Duration // after which a caller is told that the commit is unknown
	RetryAfter         time.Duration // what refused callers are told
	CommitRetry        time.Duration // pause after the store refused a commit
	KeepFinal          time.Duration // how long final states are kept
	StateWait          time.Duration // how long the answer to a question waits for a job's end
	MaxBatch           int           // bytes of one commit
	MaxJobs            int           // jobs held at once, final ones apart
	StragglerX         float64       // a run is stopped after so many times its estimate
	StragglerMin       time.Duration // and this much more
	Load               LoadPolicy
}

// Core is the core of one coordinator.
type Core struct {
	cfg    Settings
	random *rand.Rand

	// Jobs.
	partitions  map[uint32]*partition
	bestEffort  map[durable.JobID]*job // jobs that are not kept
	crashed     map[durable.JobID]*crashMemory
	active      int                       // jobs that are not final
	callers     map[Call]waitingCall      // who wait for the store
	outstanding map[durable.JobID]*ending // best-effort jobs that are over, and their runs may not be
	watched     map[*job]struct{}         // jobs whose end is waited for by callers
	questions   []question                // about jobs that are not here
	// confirmedAt is when the newest join was sent that the store has answered.
	confirmedAt time.Time
	ready       map[string]*readyQueue // tasks that want a worker, by service
	suspended   map[*task]struct{}     // tasks that wait for news of silent servers

	// Workers.
	workers  map[string]*worker
	order    []*worker                    // all that are known, by name
	eligible []*worker                    // those that new tasks may go to (updateEligible), by name
	sharers  map[string]float64           // coordinators that share each worker of a service, with this one
	demands  map[string]*demand           // by service
	requests map[string]*capacityRequests // for room, by service
	servedAt time.Time                    // when there was last a worker that took tasks

	evacuations   routing.Evacuations  // where nothing may be started
	evacuationsAt time.Time            // when the store last told of them; zero before it has
	evacuatedAt   map[string]time.Time // since when each is known
	refusals      map[string]*refusals // of late, by queue

	// Who is served when not all fit.
	recent  map[string][]*recentWork // what came of late to the queues of each service, by name
	reviews map[string]review        // of the queue of each service
	returns [lastClass + 1]int       // calls that were told when to come back, by class

	effects Effects
}

// New returns a core without partitions or workers.
func New(cfg Settings, seed uint64) *Core {
	return &Core{
		cfg:         cfg,
		random:      rand.New(rand.NewPCG(seed, 1)),
		partitions:  make(map[uint32]*partition),
		bestEffort:  make(map[durable.JobID]*job),
		crashed:     make(map[durable.JobID]*crashMemory),
		suspended:   make(map[*task]struct{}),
		outstanding: make(map[durable.JobID]*ending),
		workers:     make(map[string]*worker),
		ready:       make(map[string]*readyQueue),
		callers:     make(map[Call]waitingCall),
		watched:     make(map[*job]struct{}),
		sharers:     make(map[string]float64),
		demands:     make(map[string]*demand),
		requests:    make(map[string]*capacityRequests),
		evacuatedAt: make(map[string]time.Time),
		refusals:    make(map[string]*refusals),
		recent:      make(map[string][]*recentWork),
		reviews:     make(map[string]review),
	}
}

// Take places what can be placed and returns what has to be done since the
// last call.
func (c *Core) Take(now time.Time) Effects {
	c.dispatch(now)
	c.cutCommits(now)
	e := c.effects
	c.effects = Effects{}
	return e
}

// Tick does what is due by time.
func (c *Core) Tick(now time.Time) {
	serving := c.workersServing(now) > 0
	if c.servedAt.IsZero() || serving {
		c.servedAt = now
	}
	c.tickWorkers(now)
	c.tickPartitions(now)
	c.tickCallers(now)
	c.giveUpUseless(now, serving)
	c.reviewQueues(now)
	c.tickWatchers(now)
	c.forgetCrashes(now)
	c.forgetEndings(now)
	c.resumeTasks(now)
}

func (c *Core) send(worker string, m wire.Message) {
	c.effects.Sends = append(c.effects.Sends, ToWorker{worker, m})
}

// Partitions returns the partitions that can take calls here.
func (c *Core) Partitions() []wire.PartitionEpoch {
	var out []wire.PartitionEpoch
	for _, n := range ordered.Keys(c.partitions) {
		p := c.partitions[n]
		if !p.suspended {
			out = append(out, wire.PartitionEpoch{Partition: n, Epoch: p.epoch})
		}
	}
	return out
}

// AllStored returns whether nothing waits for the store.
func (c *Core) AllStored() bool {
	for _, p := range c.partitions {
		if p.inflight != nil || len(p.submitted) > 0 || len(p.changed) > 0 {
			return false
		}
	}
	return true
}
