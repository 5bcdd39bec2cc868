// Package agent implements the daemon that runs beside each backend server. It queues the tasks
// that entries place, has the backend server run them, returns their results, and grants claims of
// submission IDs. It owns the connections to entries and the HTTP client of its backend server. One
// goroutine, the control loop, owns the queue and the claim table; other goroutines serve
// connections and wait for the backend server, and post events to the loop.
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
	// eventBacklog is how many events may wait for the control loop; further posts block.
	eventBacklog = 512
	// tickInterval is how often the queue checks its time limits. It is half of the default of
	// backend.hold.
	tickInterval = 5 * time.Millisecond
	// flushTimeout bounds the writing of queued messages to each entry at a planned stop.
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
	ctx         context.Context // cancelled by Kill
	cancel      context.CancelFunc
	stopped     chan struct{} // closed when a planned stop is complete; see finishStop

	// Owned by the control loop.
	queue      *queue.Queue
	claims     claim.Holder
	links      map[queue.Link]*peer.Conn
	leaveAcked map[queue.Link]bool // links whose entry has acknowledged the leave, and places no more tasks
	byConn     map[*peer.Conn]queue.Link
	lastLink   queue.Link
	usage      backend.Usage
	stopping   bool
}

// Start starts an agent. Both listeners are open when it returns.
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
		leaveAcked:  make(map[queue.Link]bool),
		byConn:      make(map[*peer.Conn]queue.Link),
	}
	a.ctx, a.cancel = context.WithCancel(context.Background())
	if err := a.listen(); err != nil {
		a.cancel()
		registry.Close()
		return nil, err
	}
	// The table is created only after the agent listens, because only then has an earlier agent at
	// this address surely ended. A table created before that would miss IDs that the earlier agent
	// granted in the meantime, and its time fence wouldn't exclude them.
	a.claims = claim.Holder{Table: claim.New(time.Now(), claimLimits(cfg)), Assignment: a.assignment}
	a.listener.Serve(a.hello, a)
	go a.loop.Run(a.ctx.Done(), tickInterval, loop.Steps[event]{Handle: a.handle, Tick: a.tick, Perform: a.perform})
	go a.pollUsage()
	log.Info("agent started",
		zap.String("peers", a.Addr()), zap.String("admin", a.AdminAddr()),
		zap.String("incarnation", a.incarnation), zap.String("backend", cfg.Backend.URL))
	return a, nil
}

// asserter is the queue's queue.Asserter. It counts and logs violated promises.
type asserter struct {
	count *metrics.Agent
	log   *logging.Log
}

// Violated counts and logs a promise that the queue found violated.
func (a asserter) Violated(promise string) {
	a.count.Violated(promise)
	a.log.Error("promise violated", zap.String("promise", promise))
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

// Addr returns the address on which the agent accepts connections of entries.
func (a *Agent) Addr() string { return a.listener.Addr() }

// AdminAddr returns the address of the HTTP server for operators.
func (a *Agent) AdminAddr() string { return a.admin.addr() }

// Stop performs a planned stop: the agent refuses new tasks, returns queued ones as not run, and
// lets started ones finish. It returns when all have finished and their results are sent, or when
// ctx ends; then the rest is abandoned as by Kill.
func (a *Agent) Stop(ctx context.Context) {
	a.loop.Post(event{kind: evStop})
	select {
	case <-a.stopped:
	case <-ctx.Done():
		a.log.Warn("stopped with tasks in flight")
	}
	a.Kill()
}

// Kill stops the agent at once, as a crash would: running tasks are abandoned.
func (a *Agent) Kill() {
	a.cancel()
	<-a.loop.Done()
	a.listener.Close()
	a.admin.close()
	a.backend.Close()
	a.registry.Close()
}

func (a *Agent) hello() *wire.Hello {
	h := peer.NewHello(wire.RoleAgent, a.cfg.Box.Name, a.cfg.Box.DataCentre, a.incarnation, "")
	h.Pool = a.cfg.Backend.Pool
	h.Slots = uint32(a.cfg.Backend.Slots)
	h.Queue = uint32(a.cfg.Backend.Queue)
	h.Assignment = a.assignment
	return h
}
