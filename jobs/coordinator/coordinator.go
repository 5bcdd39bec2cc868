// Package coordinator is the daemon that keeps jobs: it takes calls about them,
// owns partitions of the store, and has workers run their tasks. The decisions
// are those of packages scheduler and ownership; this package moves messages.
package coordinator

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/zeebo/errs"
	"go.uber.org/zap"

	"github.com/lichenfall/lichenfall/config"
	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/jobs/ownership"
	"github.com/lichenfall/lichenfall/jobs/routing"
	"github.com/lichenfall/lichenfall/jobs/scheduler"
	"github.com/lichenfall/lichenfall/jobs/store"
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

	member string // name in the group of owners, unique to this process

	// Owned by the control goroutine.
	core      *scheduler.Core
	owned     *ownership.Table
	loading   map[uint32]context.CancelFunc // partitions being read
	writers   map[uint32]*writer
	members   map[string]store.Member  // all that are registered, by address
	links     map[string]*link         // to workers and other coordinators
	remote    map[uint32]route         // partitions of other coordinators
	heldBy    map[durable.JobID]string // best-effort jobs that others have had for long, by address
	calls     map[scheduler.Call]*call
	forwarded map[uint64]*call // calls passed on, by their number
	nextCall  uint64
	counts    map[string]map[string]uint32 // waiting jobs by coordinator and queue
	told      *wire.QueueCounts            // what the others were told last
	toldAt    time.Time                    // zero when they are to be told at once
	lookedAt  time.Time                    // when it was last looked whether to tell them
	chosenAt  time.Time                    // when the workers to connect to were last chosen
	joinAt    time.Time
	leaving   bool

	joinsFailed int // joins without success since the last with it

	configuration atomic.Pointer[routing.Configuration]
	waiting       atomic.Pointer[map[string]uint32] // waiting jobs of all coordinators
	stopping      atomic.Bool
	serving       atomic.Bool // there are workers that take tasks

	peers    *peer.Listener
	peerOpts peer.Options
	halt     context.Context
	end      context.CancelFunc
	kick     chan struct{}
	// membersRead is closed when the registered processes have been read once.
	membersRead chan struct{}
}

const (
	backlog   = 4096
	tickEvery = 20 * time.Millisecond
)

// Start starts a coordinator on the store.
func Start(cfg *config.Coordinator, s store.Store, m *metrics.Jobs, log *logging.Log) (*Coordinator, error) {
	c := &Coordinator{
		cfg:       cfg,
		log:       log,
		store:     s,
		metrics:   m,
		loop:      loop.New[event](backlog),
		member:    cfg.Box.Name + "/" + uuid.NewString(),
		core:      scheduler.New(cfg.Scheduler.Core(cfg.Box.DataCentre), uint64(time.Now().UnixNano())),
		owned:     ownership.New(cfg.Ownership.TTL.D()),
		loading:   make(map[uint32]context.CancelFunc),
		writers:   make(map[uint32]*writer),
		members:   make(map[string]store.Member),
		links:     make(map[string]*link),
		remote:    make(map[uint32]route),
		heldBy:    make(map[durable.JobID]string),
		calls:     make(map[scheduler.Call]*call),
		forwarded: make(map[uint64]*call),
		counts:    make(map[string]map[string]uint32),
		told:      &wire.QueueCounts{},
		kick:      make(chan struct{}, 1),

		membersRead: make(chan struct{}),
	}
	c.peerOpts = peer.Options{
		MaxFrame:     cfg.Peers.MaxFrame,
		Counter:      m,
		ClockBound:   peer.NoClockBound,
		ReconnectMax: cfg.Ownership.ReconnectMax.D(),
	}
	c.halt, c.end = context.WithCancel(context.Background())
	var err error
	if c.peers, err = peer.Listen(cfg.Peers.Listen, c.peerOpts); err != nil {
		c.end()
		return nil, errs.Wrap(err)
	}
	c.peers.Serve(c.hello, inbound{c})
	go c.loop.Run(c.halt.Done(), tickEvery, loop.Steps[event]{Handle: c.handle, Tick: c.tick, Perform: c.perform})
	go c.keepJoining()
	go c.register()
	go c.followMembers()
	go s.Configurations(c.halt, c.configure)
	log.Info("coordinator_started", zap.String("member", c.member), zap.String("peers", c.address()))
	return c, nil
}

// followMembers tells the control goroutine of the registered processes.
func (c *Coordinator) followMembers() {
	var first sync.Once
	c.store.Members(c.halt, func(m []store.Member) {
		c.loop.Post(event{kind: evMembers, members: m})
		first.Do(func() { close(c.membersRead) })
	})
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

func (c *Coordinator) address() string {
	if c.cfg.Peers.Advertise != "" {
		return c.cfg.Peers.Advertise
	}
	return c.peers.Addr()
}

func (c *Coordinator) hello() *wire.Hello {
	return &wire.Hello{
		Version:     wire.Version,
		Role:        wire.RoleCoordinator,
		Box:         c.cfg.Box.Name,
		DataCentre:  c.cfg.Box.DataCentre,
		Incarnation: c.member,
		Address:     c.address(),
		UnixMicros:  time.Now().UnixMicro(),
	}
}

// register makes the process known, however long that takes.
func (c *Coordinator) register() {
	m := store.Member{Address: c.address(), Role: store.RoleCoordinator, DataCentre: c.cfg.Box.DataCentre}
	register(c.halt, c.store, m, c.log)
}

// register makes a process known, and tries until ctx ends.
func register(ctx context.Context, s store.Store, m store.Member, log *logging.Log) {
	const again = 300 * time.Millisecond
	const limit = 2 * time.Second
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, limit)
		err := s.Register(call, m)
		cancel()
		if err == nil {
			log.Info("registered", zap.String("address", m.Address))
			return
		}
		log.Warn("register_failed", zap.Error(err))
		loop.Sleep(ctx, again)
	}
}

// Drain begins a planned stop: the partitions are given up as soon as nothing
// waits for the store, and calls are passed on to their new owners.
func (c *Coordinator) Drain() {
	if c.stopping.Swap(true) {
		return
	}
	c.log.Info("stop_begun")
	c.loop.Post(event{kind: evDrain})
}

// Close ends everything at once.
func (c *Coordinator) Close() {
	c.end()
	<-c.loop.Done()
	c.peers.Close()
	c.log.Info("stopped")
	_ = c.log.Sync()
}
