// Package coordinator is the daemon that accepts jobs: it answers calls about them, owns
// partitions of the store, and has workers run the tasks. Packages scheduler, ownership, subset
// and dedup make the decisions; this package does the I/O for them.
//
// It owns the connections to workers and other coordinators, the calls that wait for an answer,
// and the appends in progress. It relies on the store for durable jobs, for the operators'
// configuration and for the addresses of the other processes; best-effort jobs continue while
// the store is unavailable.
//
// One control goroutine owns the state and applies events in turn. Other goroutines do what
// blocks, and post events to it.
package coordinator

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/zeebo/errs"
	"go.uber.org/zap"

	"github.com/lichenfall/lichenfall/config"
	"github.com/lichenfall/lichenfall/jobs/claims"
	"github.com/lichenfall/lichenfall/jobs/dedup"
	"github.com/lichenfall/lichenfall/jobs/ownership"
	"github.com/lichenfall/lichenfall/jobs/routing"
	"github.com/lichenfall/lichenfall/jobs/scheduler"
	"github.com/lichenfall/lichenfall/jobs/store"
	"github.com/lichenfall/lichenfall/jobs/subset"
	"github.com/lichenfall/lichenfall/lib/clock"
	"github.com/lichenfall/lichenfall/lib/logging"
	"github.com/lichenfall/lichenfall/lib/loop"
	"github.com/lichenfall/lichenfall/lib/peer"
	"github.com/lichenfall/lichenfall/metrics"
	"github.com/lichenfall/lichenfall/wire"
)

// Coordinator is a running coordinator. Its exported methods may be called by any goroutine.
type Coordinator struct {
	cfg     *config.Coordinator
	log     *logging.Log
	store   store.Store
	metrics *metrics.Jobs
	loop    *loop.Loop[event]
	clock   *clock.Clock

	member string // name in the group of partition owners, unique to this process

	// Owned by the control goroutine.
	core           *scheduler.Core
	owned          *ownership.Table
	leaseValid     bool                         // as checkLease last found it
	terms          map[ownership.Term]*term     // that last, by what identifies them
	earlierTerms   map[uint32]earlierTerms      // of others, by partition of ours
	endedTerms     map[uint32]uint64            // by partition: epoch of the newest term that another coordinator has ended
	members        map[string]store.Member      // registered processes, by address
	links          map[string]*link             // to workers and other coordinators, by address
	inbound        inboundConns                 // from other coordinators
	routes         map[uint32]route             // by partition that another coordinator owns
	dedup          *dedup.Table                 // best-effort jobs that others hold
	deferred       []*call                      // submissions that wait until dedup is ready
	stalls         dedup.StallTracker           // how long calls may have waited before they were read
	claims         *claims.Claimant             // claims of best-effort jobs
	witnesses      map[string]*link             // to workers as witnesses of claims, by address
	calls          map[scheduler.Call]*call     // in the core
	forwarded      map[uint64]*call             // to other coordinators, by number
	lastCall       uint64                       // number of the last call
	peerCounts     map[string]map[string]uint32 // waiting jobs, by coordinator and queue
	announced      *wire.QueueCounts            // the last announcement sent
	announcedAt    time.Time                    // zero if the next one is due at once
	countedAt      time.Time                    // when the announcement was last computed
	chosenAt       time.Time                    // when chooseWorkers last ran
	widening       subset.Widening              // workers that are chosen for rare needs
	drainStartedAt time.Time                    // zero before a planned stop
	leaving        bool                         // all partitions are released for a planned stop
	failedJoins    int                          // consecutive failures

	// Read by any goroutine.
	configuration atomic.Pointer[routing.Configuration]
	waiting       atomic.Pointer[map[string]uint32] // waiting jobs of all coordinators, by queue
	stopping      atomic.Bool
	serving       atomic.Bool // there are workers that accept tasks, and dedup is ready

	peers    *peer.Listener
	peerOpts peer.Options
	ctx      context.Context
	cancel   context.CancelFunc
	joinNow  chan struct{} // ends the pause before the next join
	// memberSync reads who is registered when partitions are taken over.
	memberSync memberSync
	// membersRead is closed after the first reading of the registered processes.
	membersRead chan struct{}
}

const (
	// ackLimit is how long another coordinator may send nothing after a message to it, before the
	// link is closed. Coordinators are sent an announcement at least once a second, so a silent
	// link is detected 1 s after the first message that it lost: before callers, who wait at
	// least 1.3 s, send a job again.
	ackLimit = time.Second
	// readLimit is how long a connection may receive nothing before it is closed. Workers answer
	// heartbeats, and coordinators send announcements or pings, at least once a second.
	readLimit = 5 * time.Second
	// eventBacklog is how many events may wait for the control goroutine; further posts block.
	eventBacklog = 4096
	// controlStalled is the log message and metric label of a stall of the control goroutine.
	controlStalled = "control_late"
	// tickInterval is how often the core checks its time limits. The shortest of them is 100 ms.
	tickInterval = 20 * time.Millisecond
	// operatorsRetryPause is the pause after the first failed read of the operators' records. It
	// is a thirtieth of the time within which an evacuation has to take effect. The store's
	// client lengthens it while reads go on failing, so that an outage costs less than ten calls
	// a second per coordinator.
	operatorsRetryPause = 100 * time.Millisecond
)

// Start starts a coordinator that listens for other processes and uses the store s. It fails if the
// clock of the system or the listening address cannot be used.
func Start(cfg *config.Coordinator, s store.Store, m *metrics.Jobs, log *logging.Log) (*Coordinator, error) {
	opts := peer.Options{
		MaxFrame:     cfg.Peers.MaxFrame,
		Counter:      m,
		ClockBound:   peer.NoClockBound,
		ReconnectMax: cfg.Ownership.ReconnectMax.D(),
		Advertise:    cfg.Peers.Advertise,
		ReadLimit:    readLimit,
	}
	clk, err := clock.System()
	if err != nil {
		return nil, err
	}
	peers, err := peer.Listen(cfg.Peers.Listen, opts)
	if err != nil {
		return nil, errs.Wrap(err)
	}
	c := newCoordinator(cfg, s, m, log, clk)
	c.peers, c.peerOpts = peers, opts
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.run()
	log.Info("coordinator_started", zap.String("member", c.member), zap.String("peers", peers.Advertised()))
	return c, nil
}

func newCoordinator(cfg *config.Coordinator, s store.Store, m *metrics.Jobs, log *logging.Log, clk *clock.Clock) *Coordinator {
	c := &Coordinator{
		cfg:          cfg,
		clock:        clk,
		log:          log,
		store:        s,
		metrics:      m,
		loop:         loop.New[event](eventBacklog),
		member:       cfg.Box.Name + "/" + uuid.NewString(),
		core:         scheduler.New(cfg.Scheduler.Core(cfg.Box.DataCentre), uint64(time.Now().UnixNano())),
		owned:        ownership.New(cfg.Ownership.TTL.D()),
		terms:        make(map[ownership.Term]*term),
		earlierTerms: make(map[uint32]earlierTerms),
		endedTerms:   make(map[uint32]uint64),
		members:      make(map[string]store.Member),
		links:        make(map[string]*link),
		inbound:      newInboundConns(),
		routes:       make(map[uint32]route),
		dedup:        dedup.New(cfg.Dedup.Core(&cfg.Scheduler)),
		claims:       claims.NewClaimant(),
		witnesses:    make(map[string]*link),
		calls:        make(map[scheduler.Call]*call),
		forwarded:    make(map[uint64]*call),
		peerCounts:   make(map[string]map[string]uint32),
		announced:    &wire.QueueCounts{},
		joinNow:      make(chan struct{}, 1),
		membersRead:  make(chan struct{}),
	}
	c.memberSync = memberSync{read: c.syncMembers, now: clk.Now}
	return c
}

// run starts the goroutines, after c.peers and c.ctx have been set.
func (c *Coordinator) run() {
	c.peers.Serve(c.hello, inbound{c})
	go c.loop.Run(c.ctx.Done(), tickInterval, loop.Steps[event]{Clock: c.clock, Resumed: c.resumed, Stalled: c.stalled, Handle: c.handle, Tick: c.tick, Perform: c.perform})
	go c.joinLoop()
	go c.followMembers()
	go c.store.WatchOperators(c.ctx, operatorsRetryPause, c.handleOperatorUpdate)
}

// resumed logs that the box was suspended. The clock counts the suspension, so all leases have
// run on and nothing else needs to be done.
func (c *Coordinator) resumed(_ time.Time, suspended time.Duration) {
	c.log.Warn("box_resumed", zap.Int64("suspended_ms", suspended.Milliseconds()))
}

// stalled handles the end of a stall, in which the control goroutine handled no event. Callers
// may have sent the jobs that we hold again in the meantime, and calls that we read now may have
// been sent long ago. In a stall of RunsEndWithin or longer, other coordinators may have
// discarded our last announcement, so our jobs count as unannounced afterwards.
func (c *Coordinator) stalled(now time.Time, length time.Duration) {
	c.metrics.Decision(controlStalled)
	c.log.Warn(controlStalled, zap.Int64("late_ms", length.Milliseconds()))
	c.stalls.Add(now, length)
	c.claims.Stalled(now)
	if length >= c.dedup.Settings().RunsEndWithin {
		c.announced = &wire.QueueCounts{}
	}
	c.giveUpUnannounced(now)
}

func (c *Coordinator) hello() *wire.Hello { return c.helloAs(wire.RoleCoordinator) }

func (c *Coordinator) helloAs(role wire.Role) *wire.Hello {
	return peer.NewHello(role, c.cfg.Box.Name, c.cfg.Box.DataCentre, c.member, c.peers.Advertised())
}

// handleOperatorUpdate applies one reading of the operators' records.
func (c *Coordinator) handleOperatorUpdate(u routing.OperatorUpdate) {
	if u.Configuration != nil {
		c.configure(u.Configuration)
	}
	c.loop.Post(evacuationsReceived{u.Evacuations})
}

// configure puts cfg in force unless its version or a newer one already is.
func (c *Coordinator) configure(cfg *routing.Configuration) {
	old := c.configuration.Load()
	if old != nil && cfg.Version <= old.Version {
		return
	}
	c.configuration.Store(cfg)
	c.log.Info("configuration_in_force", zap.Uint64("version", cfg.Version), zap.Int("queues", len(cfg.Rules)))
}

// Configuration returns the configuration in force; nil before the first.
func (c *Coordinator) Configuration() *routing.Configuration { return c.configuration.Load() }

// Ready returns whether callers should send jobs to this coordinator: it has a configuration and
// workers that accept tasks, and no planned stop has started.
func (c *Coordinator) Ready() bool {
	return c.configuration.Load() != nil && c.serving.Load() && !c.stopping.Load()
}

// Stopping returns whether a planned stop has started.
func (c *Coordinator) Stopping() bool { return c.stopping.Load() }

// Waiting returns the number of the queue's jobs, at all coordinators, none of whose tasks has
// started. The counts of other coordinators may be a second old.
func (c *Coordinator) Waiting(queue string) uint32 {
	m := c.waiting.Load()
	if m == nil {
		return 0
	}
	return (*m)[queue]
}

// Drain starts a planned stop: the partitions are released as soon as no append to the store is
// outstanding, and calls are forwarded to the new owners.
func (c *Coordinator) Drain() {
	if c.stopping.Swap(true) {
		return
	}
	c.log.Info("stop_begun")
	c.loop.Post(drainStarted{})
}

// Close stops the coordinator at once, without a drain, and waits for the control goroutine to end.
func (c *Coordinator) Close() {
	c.cancel()
	<-c.loop.Done()
	c.peers.Close()
	c.log.Info("stopped")
	c.log.Flush()
}
