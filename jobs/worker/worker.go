// Package worker is the daemon beside a backend server: it runs the tasks that
// coordinators order, and keeps the lease that they run under. The decisions
// are those of package runtable; this package moves messages.
package worker

import (
	"context"
	"fmt"
	"time"

	"github.com/google/uuid"
	"github.com/zeebo/errs"
	"go.uber.org/zap"

	"github.com/lichenfall/lichenfall/config"
	"github.com/lichenfall/lichenfall/jobs/runtable"
	"github.com/lichenfall/lichenfall/jobs/store"
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
	Identify(ctx context.Context) (instance string, ok bool)
	Start(ctx context.Context, c runtable.StartCall) runtable.StartResult
	// Stop returns whether the order was answered.
	Stop(ctx context.Context, c runtable.StopCall) bool
	Hold(ctx context.Context, c runtable.HoldCall) runtable.HoldAnswer
}

// Worker is a running worker.
type Worker struct {
	cfg     *config.Worker
	log     *logging.Log
	backend Backend
	store   store.Store
	metrics *metrics.Jobs
	loop    *loop.Loop[event]
	name    string

	// Owned by the control goroutine.
	table  *runtable.Table
	owners map[string]*peer.Conn

	peers *peer.Listener
	halt  context.Context
	end   context.CancelFunc
	kick  chan struct{} // a hold is wanted at once

	register chan *store.Backend // to be registered
}

const (
	backlog   = 2048
	tickEvery = 25 * time.Millisecond
)

// Start starts a worker.
func Start(cfg *config.Worker, b Backend, s store.Store, m *metrics.Jobs, log *logging.Log) (*Worker, error) {
	w := &Worker{
		cfg:     cfg,
		log:     log,
		backend: b,
		store:   s,
		metrics: m,
		loop:    loop.New[event](backlog),
		name:    cfg.Box.Name + "/" + uuid.NewString(),
		table:   runtable.New(cfg.Runs.Core(), time.Now()),
		owners:  make(map[string]*peer.Conn),
		kick:    make(chan struct{}, 1),

		register: make(chan *store.Backend, 1),
	}
	w.halt, w.end = context.WithCancel(context.Background())
	opts := peer.Options{MaxFrame: cfg.Peers.MaxFrame, Counter: m, ClockBound: peer.NoClockBound}
	var err error
	if w.peers, err = peer.Listen(cfg.Peers.Listen, opts); err != nil {
		w.end()
		return nil, errs.Wrap(err)
	}
	go w.loop.Run(w.halt.Done(), tickEvery, loop.Steps[event]{Handle: w.handle, Tick: w.table.Tick, Perform: w.perform})
	w.peers.Serve(w.hello, handler{w})
	go w.keepHolding()
	go w.identify()
	w.wantRegistered(nil)
	go w.keepRegistered()
	log.Info("worker_started", zap.String("worker", w.name), zap.String("peers", w.address()))
	return w, nil
}

func (w *Worker) address() string {
	if w.cfg.Peers.Advertise != "" {
		return w.cfg.Peers.Advertise
	}
	return w.peers.Addr()
}

func (w *Worker) hello() *wire.Hello {
	return &wire.Hello{
		Version:     wire.Version,
		Role:        wire.RoleWorker,
		Box:         w.cfg.Box.Name,
		DataCentre:  w.cfg.Box.DataCentre,
		Incarnation: w.name,
		Address:     w.address(),
		UnixMicros:  time.Now().UnixMicro(),
	}
}

// identify asks a backend server that was there before us which life it is, so
// that its lease is renewed before its next heartbeat; and the store what an
// earlier process here knew of that life, so that it can be used at once.
func (w *Worker) identify() {
	const again = 50 * time.Millisecond
	const tries = 20
	for range tries {
		ctx, cancel := context.WithTimeout(w.halt, w.cfg.Runs.CallLimit.D())
		instance, ok := w.backend.Identify(ctx)
		cancel()
		if ok {
			w.loop.Post(event{kind: evFound, identity: runtable.Identity{Instance: instance}})
			w.recall(instance)
			return
		}
		loop.Sleep(w.halt, again)
	}
}

// recall reads what is registered of the life.
func (w *Worker) recall(instance string) {
	ctx, cancel := context.WithTimeout(w.halt, registerLimit)
	defer cancel()
	m, found, err := w.store.Member(ctx, w.address())
	if err != nil {
		w.log.Warn("member_unread", zap.Error(err))
		return
	}
	if !found || m.Backend == nil || m.Backend.Instance != instance {
		return
	}
	w.loop.Post(event{kind: evFound, identity: runtable.Identity(*m.Backend)})
}

const (
	registerLimit = 2 * time.Second
	registerAgain = 300 * time.Millisecond
)

// keepRegistered makes the process known, and each change of its backend
// server.
func (w *Worker) keepRegistered() {
	for {
		select {
		case <-w.halt.Done():
			return
		case b := <-w.register:
			m := store.Member{Address: w.address(), Role: store.RoleWorker, DataCentre: w.cfg.Box.DataCentre, Backend: b}
			w.registerOne(m)
		}
	}
}

// registerOne tries until it is done or there is something newer to register.
func (w *Worker) registerOne(m store.Member) {
	for w.halt.Err() == nil && len(w.register) == 0 {
		ctx, cancel := context.WithTimeout(w.halt, registerLimit)
		err := w.store.Register(ctx, m)
		cancel()
		if err == nil {
			w.log.Info("registered", zap.String("address", m.Address))
			return
		}
		w.log.Warn("register_failed", zap.Error(err))
		loop.Sleep(w.halt, registerAgain)
	}
}

// wantRegistered registers what is known of the backend server; a newer want
// replaces one that waits. It is called by the control goroutine.
func (w *Worker) wantRegistered(b *store.Backend) {
	select {
	case <-w.register:
	default:
	}
	w.register <- b
}

// Heartbeat takes what the backend server says of itself.
func (w *Worker) Heartbeat(id runtable.Identity) {
	w.loop.Post(event{kind: evIdentity, identity: id})
}

// Deregistered takes the backend server's word that it ends.
func (w *Worker) Deregistered(instance string) {
	w.log.Info("backend_deregistered", zap.String("instance", instance))
}

// Close ends everything at once. What runs goes on under its lease.
func (w *Worker) Close() {
	w.end()
	<-w.loop.Done()
	w.peers.Close()
	w.log.Info("stopped")
	_ = w.log.Sync()
}

// ownerName names a connection for the table.
func ownerName(c *peer.Conn) string { return fmt.Sprintf("%p", c) }
