// Package worker is the daemon next to a backend server. It starts and stops runs of tasks
// there as coordinators request, and renews the lease that they run under. Package runtable
// makes the decisions; this package passes messages between it, the coordinators and the
// backend server.
//
// It owns the connections to coordinators, the calls to the backend server, and the process's
// record in the store. It relies on the store only for coordinators to find it and for a fast
// restart: during an outage of the store, connected coordinators are served as before.
package worker

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/zeebo/errs"
	"go.uber.org/zap"

	"github.com/lichenfall/lichenfall/config"
	"github.com/lichenfall/lichenfall/jobs/claims"
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

// Backend is a backend server that runs tasks under a lease. Each call returns when its context
// ends at the latest.
type Backend interface {
	// Identify returns the incarnation that answers; ok is false when none does.
	Identify(ctx context.Context) (incarnation runtable.Incarnation, ok bool)
	// Start requests the start of a run and returns what became of the request.
	Start(ctx context.Context, c runtable.StartCall) runtable.StartResult
	// Stop requests the stop of a run and returns whether the request was answered.
	Stop(ctx context.Context, c runtable.StopCall) bool
	// Renew renews the lease and returns the lists of running and ended runs.
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
	name    string // unique to this process: the box's name and a random ID

	// Owned by the control goroutine.
	table   *runtable.Table
	witness *claims.Witness
	owners  map[string]*peer.Conn
	// stopOperatorsWatch stops reading the operators' records; nil while they are not read.
	stopOperatorsWatch context.CancelFunc
	// recorded is what the store has of the backend server, as a coordinator last reported it;
	// nil before the first report.
	recorded *store.Backend

	peers    *peer.Listener
	ctx      context.Context // ends with Close
	cancel   context.CancelFunc
	renewNow chan struct{} // ends the pause between renewals

	register  chan *store.Backend // states to be registered; holds the newest one
	registrar *registration.Registrar
}

const (
	// readLimit is how long a coordinator's connection may stay silent. Heartbeats arrive five
	// times a second, and the coordinator's lease expires well before this limit.
	readLimit = 5 * time.Second
	// backlog is how many events may wait for the control goroutine; posting blocks beyond that.
	backlog = 2048
	// controlStalled is the log message and metric label of a stall of the control goroutine.
	controlStalled = "control_late"
	// claimDenied is the metric label of an answer that denies claims of best-effort jobs.
	claimDenied = "claim_denied"
	// tickInterval is the time between two calls of the table's Tick: well below the shortest
	// timeout in the table, 50 ms.
	tickInterval = 25 * time.Millisecond
)

// Start starts a worker beside the backend server b. It fails if the clock cannot be read or the
// address for peers cannot be listened on.
func Start(cfg *config.Worker, b Backend, s store.Store, m *metrics.Jobs, log *logging.Log) (*Worker, error) {
	opts := peer.Options{
		MaxFrame:   cfg.Peers.MaxFrame,
		Counter:    m,
		ClockBound: peer.NoClockBound,
		Advertise:  cfg.Peers.Advertise,
		ReadLimit:  readLimit,
	}
	clk, err := clock.System()
	if err != nil {
		return nil, err
	}
	peers, err := peer.Listen(cfg.Peers.Listen, opts)
	if err != nil {
		return nil, errs.Wrap(err)
	}
	w := newWorker(cfg, b, s, m, log, clk)
	w.peers = peers
	w.ctx, w.cancel = context.WithCancel(context.Background())
	w.run()
	log.Info("worker_started", zap.String("worker", w.name), zap.String("peers", peers.Advertised()))
	return w, nil
}

func newWorker(cfg *config.Worker, b Backend, s store.Store, m *metrics.Jobs, log *logging.Log, clk *clock.Clock) *Worker {
	return &Worker{
		cfg:       cfg,
		clock:     clk,
		log:       log,
		backend:   b,
		store:     s,
		metrics:   m,
		loop:      loop.New[event](backlog),
		name:      cfg.Box.Name + "/" + uuid.NewString(),
		table:     runtable.New(cfg.Runs.Core(cfg.Box.DataCentre), clk.Now()),
		witness:   claims.NewWitness(clk.Now(), cfg.Runs.ClaimLease()),
		owners:    make(map[string]*peer.Conn),
		renewNow:  make(chan struct{}, 1),
		register:  make(chan *store.Backend, 1),
		registrar: registration.NewRegistrar(s, log),
	}
}

// run starts the worker's goroutines.
func (w *Worker) run() {
	go w.loop.Run(w.ctx.Done(), tickInterval, loop.Steps[event]{Clock: w.clock, Resumed: w.resumed, Stalled: w.stalled, Handle: w.handle, Tick: w.tick, Perform: w.perform})
	w.peers.Serve(w.hello, handler{w})
	go w.keepRenewing()
	go w.keepRegistered()
}

// resumed handles the end of a suspension of the box.
func (w *Worker) resumed(now time.Time, suspended time.Duration) {
	w.log.Warn("box_resumed", zap.Int64("suspended_ms", suspended.Milliseconds()))
	w.table.Resumed(now, suspended)
	w.witness.Stalled(now, suspended)
}

func (w *Worker) tick(now time.Time) {
	w.table.Tick(now)
	w.witness.Tick(now)
}

// stalled handles the end of a stall, in which the control goroutine did nothing. Leases expire by the
// clock, not by the number of ticks.
func (w *Worker) stalled(now time.Time, by time.Duration) {
	w.witness.Stalled(now, by)
	w.metrics.Decision(controlStalled)
	w.log.Warn(controlStalled, zap.Int64("late_ms", by.Milliseconds()))
}

func (w *Worker) hello() *wire.Hello {
	return peer.NewHello(wire.RoleWorker, w.cfg.Box.Name, w.cfg.Box.DataCentre, w.name, w.peers.Advertised())
}

// Reported handles a report that the backend server sent on its own, such as a heartbeat.
func (w *Worker) Reported(r runtable.Report) { w.loop.Post(backendReported{r}) }

// Deregistered handles the announcement of an incarnation of the backend server that it ends.
func (w *Worker) Deregistered(i runtable.Incarnation) { w.loop.Post(backendDeregistered{i}) }

// Close stops the worker at once. Tasks that are running continue under the backend server's
// lease.
func (w *Worker) Close() {
	w.cancel()
	<-w.loop.Done()
	w.peers.Close()
	w.log.Info("stopped")
	w.log.Flush()
}
