// Package coordinator is the daemon that takes jobs: it answers calls about them,
// owns partitions of the store, and has workers run their tasks. The decisions
// are those of packages scheduler, ownership and subset; this package moves
// messages.
//
// It owns the connections to workers and other coordinators, the calls that wait
// for an answer, and the appends that are on their way. It relies on the store for
// kept jobs, for the configuration and to find the others; best-effort jobs go on
// without it.
package coordinator

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/zeebo/errs"
	"go.uber.org/zap"

	"github.com/lichenfall/lichenfall/config"
	"github.com/lichenfall/lichenfall/jobs/dedup"
	"github.com/lichenfall/lichenfall/jobs/ownership"
	"github.com/lichenfall/lichenfall/jobs/routing"
	"github.com/lichenfall/lichenfall/jobs/scheduler"
	"github.com/lichenfall/lichenfall/jobs/store"
	"github.com/lichenfall/lichenfall/lib/clock"
	"github.com/lichenfall/lichenfall/lib/logging"
	"github.com/lichenfall/lichenfall/lib/loop"
	"github.com/lichenfall/lichenfall/lib/peer"
	"github.com/lichenfall/lichenfall/metrics"
	"github.com/lichenfall/lichenfall/wire"
)

// Coordinator is a running coordinator.
type Coordinator struct {
	cfg     *config.Coordinator
	log     *logging.Log
	store   store.Store
	metrics *metrics.Jobs
	loop    *loop.Loop[event]
	clock   *clock.Clock

	member string // name in the group of owners, unique to this process

	// Owned by the control goroutine.
	core        *scheduler.Core
	owned       *ownership.Table
	loading     map[uint32]context.CancelFunc // partitions being read
	writers     map[uint32]*writer            // of partitions that are ours
	members     map[string]store.Member       // all that are registered, by address
	links       map[string]*link              // to workers and other coordinators, by address
	inbound     inboundConns                  // from other coordinators
	remote      map[uint32]route              // partitions of other coordinators
	copies      *dedup.Table                  // best-effort jobs that others have
	early       []*call                       // best-effort jobs that wait until others have told what they have
	lateness    dedup.StallTracker            // for how long calls may have waited for us
	calls       map[scheduler.Call]*call      // in our core
	forwarded   map[uint64]*call              // passed on, by their number
	nextCall    uint64
	counts      map[string]map[string]uint32 // waiting jobs by coordinator and queue
	announced   *wire.QueueCounts            // what the others were sent last
	announcedAt time.Time                    // zero when they are to be sent one at once
	countedAt   time.Time                    // when our own jobs were last counted
	chosenAt    time.Time                    // when the workers to connect to were last chosen
	drainedAt   time.Time                    // when a planned stop began
	leaving     bool                         // all partitions are given up
	joinsFailed int                          // joins without success since the last with it

	// Read by any goroutine.
	configuration atomic.Pointer[routing.Configuration]
	waiting       atomic.Pointer[map[string]uint32] // waiting jobs of all coordinators, by queue
	stopping      atomic.Bool
	serving       atomic.Bool // there are workers that take tasks

	peers    *peer.Listener
	peerOpts peer.Options
	halt     context.Context
	end      context.CancelFunc
	joinNow  chan struct{} // a join is wanted at once
	// membersRead is closed when the registered processes have been read once.
	membersRead chan struct{}
}

const (
	// ackLimit is how long another process may say nothing after it was written to. Other
	// coordinators are written to once a second, so a link that has gone silent is noticed 1 s
	// after the first message that it lost. Within the 1.3 s after which callers send a job
	// again.
	ackLimit = time.Second
	// readLimit is how long a process may say nothing that has to. Workers answer heartbeats,
	// and coordinators announce something or ask for a word, once a second and more often.
	readLimit = 5 * time.Second
	// backlog is how many events may wait for the control goroutine; whoever posts more has to
	// wait.
	backlog = 4096
	// controlLate names the line of a control goroutine that was late.
	controlLate = "control_late"
	// tickEvery is how often the core looks at the time: well below its shortest limit, of 100
	// ms.
	tickEvery = 20 * time.Millisecond
	// operatorsPause is the time between two readings of the operators' records while the
	// store does not answer. A thirtieth of the time in which an evacuation has to be heeded,
	// at ten calls a second from each coordinator.
	operatorsPause = 100 * time.Millisecond
)

// Start starts a coordinator on the store.
func Start(cfg *config.Coordinator, s store.Store, m *metrics.Jobs, log *logging.Log) (*Coordinator, error) {
	opts := peer.Options{
		MaxFrame:     cfg.Peers.MaxFrame,
		Counter:      m,
		ClockBound:   peer.NoClockBound,
		ReconnectMax: cfg.Ownership.ReconnectMax.D(),
		Advertise:    cfg.Peers.Advertise,
		ReadLimit:    readLimit,
	}
	steady, err := clock.System()
	if err != nil {
		return nil, err
	}
	peers, err := peer.Listen(cfg.Peers.Listen, opts)
	if err != nil {
		return nil, errs.Wrap(err)
	}
	c := newCoordinator(cfg, s, m, log, steady)
	c.peers, c.peerOpts = peers, opts
	c.halt, c.end = context.WithCancel(context.Background())
	c.run()
	log.Info("coordinator_started", zap.String("member", c.member), zap.String("peers", peers.Advertised()))
	return c, nil
}

func newCoordinator(cfg *config.Coordinator, s store.Store, m *metrics.Jobs, log *logging.Log, steady *clock.Clock) *Coordinator {
	return &Coordinator{
		cfg:         cfg,
		clock:       steady,
		log:         log,
		store:       s,
		metrics:     m,
		loop:        loop.New[event](backlog),
		member:      cfg.Box.Name + "/" + uuid.NewString(),
		core:        scheduler.New(cfg.Scheduler.Core(cfg.Box.DataCentre), uint64(time.Now().UnixNano())),
		owned:       ownership.New(cfg.Ownership.TTL.D()),
		loading:     make(map[uint32]context.CancelFunc),
		writers:     make(map[uint32]*writer),
		members:     make(map[string]store.Member),
		links:       make(map[string]*link),
		inbound:     newInboundConns(),
		remote:      make(map[uint32]route),
		copies:      dedup.New(cfg.Copies.Core(&cfg.Scheduler)),
		calls:       make(map[scheduler.Call]*call),
		forwarded:   make(map[uint64]*call),
		counts:      make(map[string]map[string]uint32),
		announced:   &wire.QueueCounts{},
		joinNow:     make(chan struct{}, 1),
		membersRead: make(chan struct{}),
	}
}

// run starts the goroutines.
func (c *Coordinator) run() {
	c.peers.Serve(c.hello, inbound{c})
	go c.loop.Run(c.halt.Done(), tickEvery, loop.Steps[event]{Clock: c.clock, Resumed: c.resumed, Late: c.stalled, Handle: c.handle, Tick: c.tick, Perform: c.perform})
	go c.keepJoining()
	go c.followMembers()
	go c.store.WatchOperators(c.halt, operatorsPause, c.operatorsHeard)
}

// resumed takes the end of a suspension of the box. All leases count that time by our clock,
// so nothing else is to be done.
func (c *Coordinator) resumed(_ time.Time, suspended time.Duration) {
	c.log.Warn("box_resumed", zap.Int64("suspended_ms", suspended.Milliseconds()))
}

// stalled takes that nothing was done here for so long. The callers of what we have may have sent it
// again meanwhile, and those of what comes now may have sent it long ago; others forget our word
// once our runs would be over.
func (c *Coordinator) stalled(now time.Time, by time.Duration) {
	c.metrics.Decision(controlLate)
	c.log.Warn(controlLate, zap.Int64("late_ms", by.Milliseconds()))
	c.lateness.Add(now, by)
	if by >= c.copies.Settings().RunsEndWithin {
		c.announced = &wire.QueueCounts{}
	}
	c.giveUpUnannounced(now)
}

func (c *Coordinator) hello() *wire.Hello {
	return peer.Introduction(wire.RoleCoordinator, c.cfg.Box.Name, c.cfg.Box.DataCentre, c.member, c.peers.Advertised())
}

// operatorsHeard takes a reading of what operators have put in force.
func (c *Coordinator) operatorsHeard(news routing.OperatorUpdate) {
	if news.Configuration != nil {
		c.configure(news.Configuration)
	}
	c.loop.Post(evacuationsHeard{news.Evacuations})
}

// configure puts a configuration in force unless a newer one is.
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

// Ready returns whether callers should come here.
func (c *Coordinator) Ready() bool {
	return c.configuration.Load() != nil && c.serving.Load() && !c.stopping.Load()
}

// Stopping returns whether a planned stop has begun.
func (c *Coordinator) Stopping() bool { return c.stopping.Load() }

// Waiting returns the number of the queue's jobs none of whose tasks has
// begun, of all coordinators; it may be a second old.
func (c *Coordinator) Waiting(queue string) uint32 {
	m := c.waiting.Load()
	if m == nil {
		return 0
	}
	return (*m)[queue]
}

// Drain begins a planned stop: the partitions are given up as soon as nothing
// waits for the store, and calls are passed on to their new owners.
func (c *Coordinator) Drain() {
	if c.stopping.Swap(true) {
		return
	}
	c.log.Info("stop_begun")
	c.loop.Post(drainBegun{})
}

// Close ends everything at once.
func (c *Coordinator) Close() {
	c.end()
	<-c.loop.Done()
	c.peers.Close()
	c.log.Info("stopped")
	c.log.Flush()
}
