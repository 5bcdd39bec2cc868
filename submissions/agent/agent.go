// Package agent is the daemon beside each backend server: it queues tasks for
// it, runs them, and holds claims. One goroutine owns the queue and the claim
// table; others read and write connections and wait for the backend server.
package agent

import (
	"context"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"github.com/lichenfall/lichenfall/config"
	"github.com/lichenfall/lichenfall/lib/logging"
	"github.com/lichenfall/lichenfall/lib/loop"
	"github.com/lichenfall/lichenfall/lib/peer"
	"github.com/lichenfall/lichenfall/metrics"
	"github.com/lichenfall/lichenfall/submissions/backend"
	"github.com/lichenfall/lichenfall/submissions/claim"
	"github.com/lichenfall/lichenfall/submissions/queue"
	"github.com/lichenfall/lichenfall/wire"
)

const (
	eventBacklog = 512                  // events that may wait for the control loop
	tickEvery    = 5 * time.Millisecond // between looks at the time; half of backend.hold
	flushTimeout = time.Second
)

// Agent is a running agent.
type Agent struct {
	cfg         *config.Agent
	log         *logging.Log
	incarnation string
	assignment  uint64
	registry    *metrics.Registry
	count       *metrics.Agent
	backend     *backend.Client
	listener    *peer.Listener
	admin       *adminServer
	loop        *loop.Loop[event]
	halt        context.Context // ends with Kill
	kill        context.CancelFunc
	stopped     chan struct{} // closed when the last task of a planned stop has ended

	// Owned by the control loop.
	queue  *queue.Queue
	claims claim.Holder
	links  map[queue.Link]*peer.Conn
	told   map[queue.Link]bool // entries that know we leave, and will place no more
	byConn map[*peer.Conn]queue.Link
	last   queue.Link
	usage  backend.Usage
	stop   bool
}

// Start starts an agent. It listens before it returns.
func Start(cfg *config.Agent, log *logging.Log) (*Agent, error) {
	registry := metrics.New("agent")
	count := metrics.NewAgent(registry.Scope)
	a := &Agent{
		cfg:         cfg,
		log:         log,
		incarnation: uuid.NewString(),
		assignment:  claim.Assignment(cfg.Claims.Holders),
		registry:    registry,
		count:       count,
		backend:     backend.New(backendSettings(cfg)),
		loop:        loop.New[event](eventBacklog),
		stopped:     make(chan struct{}),
		queue:       queue.New(queueLimits(cfg), asserter{count, log}),
		links:       make(map[queue.Link]*peer.Conn),
		told:        make(map[queue.Link]bool),
		byConn:      make(map[*peer.Conn]queue.Link),
	}
	a.halt, a.kill = context.WithCancel(context.Background())
	if err := a.listen(); err != nil {
		a.kill()
		registry.Close()
		return nil, err
	}
	// Only now, when we hold the address, is a predecessor there surely dead. Had
	// the table begun earlier, it might have granted IDs beyond its fence since.
	a.claims = claim.Holder{Table: claim.New(time.Now(), claimLimits(cfg)), Assignment: a.assignment}
	a.listener.Serve(a.hello, a)
	go a.loop.Run(a.halt.Done(), tickEvery, loop.Steps[event]{Handle: a.handle, Tick: a.tick, Perform: a.perform})
	go a.pollUsage()
	log.Info("agent started",
		zap.String("peers", a.Addr()), zap.String("admin", a.AdminAddr()),
		zap.String("incarnation", a.incarnation), zap.String("backend", cfg.Backend.URL))
	return a, nil
}

// asserter counts and logs broken promises.
type asserter struct {
	count *metrics.Agent
	log   *logging.Log
}

// Violated is called by the queue.
func (a asserter) Violated(promise string) {
	a.count.Violated(promise)
	a.log.Error("a promise is broken", zap.String("promise", promise))
}

func (a *Agent) listen() error {
	opts := peer.Options{
		MaxFrame:   a.cfg.Peers.MaxFrame,
		ClockBound: a.cfg.Peers.ClockBound.D(),
		Counter:    metrics.NewPeers(a.registry.Scope),
	}
	listener, err := peer.Listen(a.cfg.Peers.Listen, opts)
	if err != nil {
		return err
	}
	a.listener = listener
	a.admin, err = startAdmin(a)
	if err != nil {
		listener.Close()
	}
	return err
}

func backendSettings(cfg *config.Agent) backend.Settings {
	return backend.Settings{
		URL:         cfg.Backend.URL,
		Connections: cfg.Backend.Connections,
		MaxAnswer:   cfg.Backend.MaxAnswer,
		DialTimeout: cfg.Backend.DialTimeout.D(),
	}
}

func queueLimits(cfg *config.Agent) queue.Limits {
	return queue.Limits{
		Slots:         cfg.Backend.Slots,
		Queue:         cfg.Backend.Queue,
		MaxRemembered: cfg.Claims.Entries,
		Window:        cfg.Claims.Window.D(),

		ClockBound: cfg.Peers.ClockBound.D(),
		Hold:       cfg.Backend.Hold.D(),
		FIFO:       cfg.Backend.Order == "arrival",
	}
}

func claimLimits(cfg *config.Agent) claim.Limits {
	return claim.Limits{
		Entries:    cfg.Claims.Entries,
		Window:     cfg.Claims.Window.D(),
		ClockBound: cfg.Peers.ClockBound.D(),
	}
}

// Addr returns the address for peers.
func (a *Agent) Addr() string { return a.listener.Addr() }

// AdminAddr returns the address for operators.
func (a *Agent) AdminAddr() string { return a.admin.addr() }

// Stop makes a planned stop: new work is refused, queued tasks are handed back
// as not run, started ones end. It returns when all have ended and their
// results are sent, or when ctx ends.
func (a *Agent) Stop(ctx context.Context) {
	a.loop.Post(event{kind: evStop})
	select {
	case <-a.stopped:
	case <-ctx.Done():
		a.log.Warn("stopped with tasks in flight")
	}
	a.Kill()
}

// Kill ends the agent at once, as a crash would.
func (a *Agent) Kill() {
	a.kill()
	<-a.loop.Done()
	a.listener.Close()
	a.admin.close()
	a.backend.Close()
	a.registry.Close()
}

func (a *Agent) hello() *wire.Hello {
	h := peer.Introduction(wire.RoleAgent, a.cfg.Box.Name, a.cfg.Box.DataCentre, a.incarnation, "")
	h.Pool = a.cfg.Backend.Pool
	h.Slots = uint32(a.cfg.Backend.Slots)
	h.Queue = uint32(a.cfg.Backend.Queue)
	h.Assignment = a.assignment
	return h
}
