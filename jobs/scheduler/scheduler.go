// Package scheduler is the core of a coordinator. It decides which jobs are admitted, which of
// their records are written to the store, and which worker runs which task when.
//
// There are two kinds of jobs. A durable job is acknowledged once its submission is in the store.
// The end of one of its runs is acknowledged to the worker once the job's progress is in the
// store, and a final state is shown to callers once that is. The store doesn't hold what is
// running: that is known only at the workers, so a new owner of a partition starts no tasks of
// its stored jobs before each worker has reported what it runs, or the leases of its runs have
// certainly expired. A best-effort job is never stored, and lives as long as a caller waits for its end.
//
// The package owns the jobs of the partitions that this coordinator owns, the best-effort jobs
// submitted to it, and its view of each worker. It relies on its caller for the time, for
// carrying out the Effects, and for the leases on partitions (package ownership). It does no I/O
// and reads no clock. docs/DECISIONS.md names the function behind each rule.
package scheduler

import (
	"math/rand/v2"
	"time"

	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/jobs/routing"
	"github.com/lichenfall/lichenfall/lib/ordered"
	"github.com/lichenfall/lichenfall/wire"
)

// Settings configures a Core.
type Settings struct {
	Partitions uint32        // number of partitions of the job store
	DataCentre string        // of this coordinator
	Heartbeat  time.Duration // between heartbeats to a worker
	Suspect    time.Duration // time without a status after which a worker's connection is given up
	// WriteOff is how long after the last heartbeat sent to a worker its runs may still be at
	// work. After that they have certainly ended.
	WriteOff           time.Duration
	BestEffortWriteOff time.Duration // WriteOff for the runs of best-effort jobs
	CommitGap          time.Duration // minimum time between two commits of a partition
	LazyCommit         time.Duration // longest delay of a commit of ends that no caller waits for
	CallLimit          time.Duration // longest wait of a call for the store; its outcome is unknown then
	RetryAfter         time.Duration // minimum of Reply.RetryAfter for calls that fail
	CommitRetry        time.Duration // pause of a partition's commits after the store refused one
	KeepFinal          time.Duration // how long final states stay in the store
	StateWait          time.Duration // longest wait of a State call for a job's end
	MaxBatch           int           // bytes from which on no more is added to a commit
	MaxJobs            int           // jobs held at once, without final ones
	StragglerX         float64       // a run is stopped after this many times its expected time
	StragglerMin       time.Duration // plus this
	Load               LoadPolicy
}

// Core holds the state of one coordinator. Its methods must not be called concurrently. What has
// to be done as a result of them is returned by Take.
type Core struct {
	cfg    Settings
	random *rand.Rand

	// Jobs.
	partitions     map[uint32]*partition
	bestEffort     map[durable.JobID]*job // best-effort jobs that are not over
	unclaimed      map[durable.JobID]*job // those of them whose tasks wait for Claimed
	crashHistories map[durable.JobID]*crashHistory
	active         int                                // jobs that are not final
	callers        map[Call]waitingCall               // calls that wait for the store
	outstanding    map[durable.JobID]*outstandingRuns // best-effort jobs that are over while runs of them may still be at work
	watched        map[*job]struct{}                  // jobs with watchers
	pendingLookups []pendingLookup                    // calls about jobs that are not here
	// confirmedAt is when the last join that the store answered was sent: our ownership of the
	// partitions is confirmed for that time.
	confirmedAt time.Time
	ready       map[string]*readyQueue // tasks that wait for a worker, by service
	suspended   map[*task]struct{}     // tasks that wait until it is known whether silent servers have crashed

	// Workers.
	workers    map[string]*worker
	allWorkers []*worker                    // all known workers, ordered by name
	eligible   []*worker                    // those that new tasks may go to (updateEligible), ordered by name
	sharers    map[string]float64           // by service: coordinators that share each worker, including this one
	demands    map[string]*demand           // by service
	requests   map[string]*capacityRequests // for capacity, by service
	servedAt   time.Time                    // last time at which some worker was taking tasks
	unmetAt    time.Time                    // when a need was last found that no connected worker can meet

	evacuations   routing.Evacuations  // last reading from the store
	evacuationsAt time.Time            // when they were last read; zero before the first reading
	evacuatedAt   map[string]time.Time // by data centre: when this coordinator first read of its evacuation
	refusals      map[string]*refusals // recent ones, by queue

	// Admission while not all jobs fit.
	recent       map[string][]*recentWork // by service: recent work of each queue, ordered by name
	reviews      map[string]review        // by service: last review of what waits
	refusedCalls [lastClass + 1]int       // by class: calls refused so far, to spread their retries

	effects Effects
}

// New returns a core without partitions or workers.
func New(cfg Settings, seed uint64) *Core {
	return &Core{
		cfg:            cfg,
		random:         rand.New(rand.NewPCG(seed, 1)),
		partitions:     make(map[uint32]*partition),
		bestEffort:     make(map[durable.JobID]*job),
		unclaimed:      make(map[durable.JobID]*job),
		crashHistories: make(map[durable.JobID]*crashHistory),
		suspended:      make(map[*task]struct{}),
		outstanding:    make(map[durable.JobID]*outstandingRuns),
		workers:        make(map[string]*worker),
		ready:          make(map[string]*readyQueue),
		callers:        make(map[Call]waitingCall),
		watched:        make(map[*job]struct{}),
		sharers:        make(map[string]float64),
		demands:        make(map[string]*demand),
		requests:       make(map[string]*capacityRequests),
		evacuatedAt:    make(map[string]time.Time),
		refusals:       make(map[string]*refusals),
		recent:         make(map[string][]*recentWork),
		reviews:        make(map[string]review),
	}
}

// Take dispatches waiting tasks, starts commits that are due, and returns what has to be done since
// the last call.
func (c *Core) Take(now time.Time) Effects {
	c.dispatch(now)
	c.startCommits(now)
	e := c.effects
	c.effects = Effects{}
	return e
}

// Tick does what is due at the time: heartbeats, timeouts and expiries. It is to be called
// regularly, several times per heartbeat interval.
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
	c.expireCrashes(now)
	c.expireOutstanding(now)
	c.resumeTasks(now)
}

// send adds a message to a worker to the effects.
func (c *Core) send(worker string, m wire.Message) {
	c.effects.Sends = append(c.effects.Sends, ToWorker{worker, m})
}

// Partitions returns the owned partitions that are not suspended, in order.
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

// AllStored returns whether there are no records left to be written and no commits in flight.
func (c *Core) AllStored() bool {
	for _, p := range c.partitions {
		if p.inflight != nil || len(p.submitted) > 0 || len(p.changed) > 0 {
			return false
		}
	}
	return true
}
