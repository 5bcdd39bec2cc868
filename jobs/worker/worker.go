// Package worker is the daemon beside a backend server: it runs the tasks that
// coordinators order, and keeps the lease that they run under. The decisions
// are those of package runtable; this package moves messages.
//
// It owns the connections of coordinators, the calls to the backend server, and
// the process's record in the store. It relies on the store only to be found and
// to be fast after a restart: without it, what is connected goes on.
package worker

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/zeebo/errs"
	"go.uber.org/zap"

	"github.com/lichenfall/lichenfall/config"
	"github.com/lichenfall/lichenfall/jobs/registration"
	"github.com/lichenfall/lichenfall/jobs/runtable"
	"github.com/lichenfall/lichenfall/jobs/store"
	"github.com/lichenfall/lichenfall/lib/clock"
	"github.com/lichenfall/lichenfall/lib/logging"
	"github.com/lichenfall/lichenfall/lib/loop"
	"github.com/lichenfall/lichenfall/lib/peer"
	"github.com/lichenfall/lichenfall/metrics"
	"github.com/lichenfall/lichenfall/wire"
)

// Backend is a backend server that runs tasks under a lease. Each call ends
// within its context.
type Backend interface {
	// Identify asks which life answers; ok is false when none does.
	Identify(ctx context.Context) (life runtable.Incarnation, ok bool)
	Start(ctx context.Context, c runtable.StartCall) runtable.StartResult
	// Stop returns whether the order was answered.
	Stop(ctx context.Context, c runtable.StopCall) bool
	// Renew renews the lease and returns the lists of runs and ends.
	Renew(ctx context.Context, c runtable.RenewCall) runtable.RenewAnswer
}

// Worker is a running worker.
type Worker struct {
	cfg     *config.Worker
	log     *logging.Log
	backend Backend
	store   store.Store
	metrics *metrics.Jobs
	loop    *loop.Loop[event]
	clock   *clock.Clock
	name    string // unique to this process

	// Owned by the control goroutine.
	table  *runtable.Table
	owners map[string]*peer.Conn
	// stopReading ends the readings of the operators' records; nil while there are none.
	stopReading context.CancelFunc
	// recorded is what the store has of the backend server, by word of a coordinator; nil
	// before the first.
	recorded *store.Backend

	peers    *peer.Listener
	halt     context.Context
	end      context.CancelFunc
	renewNow chan struct{} // a renewal is wanted at once

	register  chan *store.Backend // to be registered; holds the newest
	registrar *registration.Registrar
}

const (
	// readLimit is how long a coordinator may say nothing. Its heartbeats come five times a
	// second, and its lease is long over.
	readLimit = 5 * time.Second
	// backlog is how many events may wait for the control goroutine; whoever posts more has to
	// wait.
	backlog = 2048
	// controlLate names the line of a control goroutine that was late.
	controlLate = "control_late"
	// tickEvery is how often the core looks at the time: well below its shortest limit, of 50
	// ms.
	tickEvery = 25 * time.Millisecond
)

// Start starts a worker.
func Start(cfg *config.Worker, b Backend, s store.Store, m *metrics.Jobs, log *logging.Log) (*Worker, error) {
	opts := peer.Options{
		MaxFrame:   cfg.Peers.MaxFrame,
		Counter:    m,
		ClockBound: peer.NoClockBound,
		Advertise:  cfg.Peers.Advertise,
		ReadLimit:  readLimit,
	}
	steady, err := clock.System()
	if err != nil {
		return nil, err
	}
	peers, err := peer.Listen(cfg.Peers.Listen, opts)
	if err != nil {
		return nil, errs.Wrap(err)
	}
	w := newWorker(cfg, b, s, m, log, steady)
	w.peers = peers
	w.halt, w.end = context.WithCancel(context.Background())
	w.run()
	log.Info("worker_started", zap.String("worker", w.name), zap.String("peers", peers.Advertised()))
	return w, nil
}

func newWorker(cfg *config.Worker, b Backend, s store.Store, m *metrics.Jobs, log *logging.Log, steady *clock.Clock) *Worker {
	return &Worker{
		cfg:       cfg,
		clock:     steady,
		log:       log,
		backend:   b,
		store:     s,
		metrics:   m,
		loop:      loop.New[event](backlog),
		name:      cfg.Box.Name + "/" + uuid.NewString(),
		table:     runtable.New(cfg.Runs.Core(cfg.Box.DataCentre), steady.Now()),
		owners:    make(map[string]*peer.Conn),
		renewNow:  make(chan struct{}, 1),
		register:  make(chan *store.Backend, 1),
		registrar: registration.NewRegistrar(s, log),
	}
}

// run starts the goroutines.
func (w *Worker) run() {
	go w.loop.Run(w.halt.Done(), tickEvery, loop.Steps[event]{Clock: w.clock, Resumed: w.resumed, Stalled: w.late, Handle: w.handle, Tick: w.table.Tick, Perform: w.perform})
	w.peers.Serve(w.hello, handler{w})
	go w.keepRenewing()
	go w.keepRegistered()
}

// resumed takes the end of a suspension of the box.
func (w *Worker) resumed(now time.Time, suspended time.Duration) {
	w.log.Warn("box_resumed", zap.Int64("suspended_ms", suspended.Milliseconds()))
	w.table.Resumed(now, suspended)
}

// late takes that nothing was done here for so long. Leases are measured by the time, so
// nothing else is to be done.
func (w *Worker) late(_ time.Time, by time.Duration) {
	w.metrics.Decision(controlLate)
	w.log.Warn(controlLate, zap.Int64("late_ms", by.Milliseconds()))
}

func (w *Worker) hello() *wire.Hello {
	return peer.NewHello(wire.RoleWorker, w.cfg.Box.Name, w.cfg.Box.DataCentre, w.name, w.peers.Advertised())
}

// Reported takes what the backend server says of itself.
func (w *Worker) Reported(r runtable.Report) { w.loop.Post(backendReported{r}) }

// Deregistered takes the word of a life of the backend server that it ends.
func (w *Worker) Deregistered(life runtable.Incarnation) { w.loop.Post(backendDeregistered{life}) }

// Close ends everything at once. What runs goes on under its lease.
func (w *Worker) Close() {
	w.end()
	<-w.loop.Done()
	w.peers.Close()
	w.log.Info("stopped")
	w.log.Flush()
}
