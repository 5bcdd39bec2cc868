// Package entry is the daemon that callers talk to. It takes submissions over
// HTTP and drives the dispatch core with what its connections bring. One
// goroutine owns the core; others read and write connections and callers.
package entry

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"github.com/lichenfall/lichenfall/config"
	"github.com/lichenfall/lichenfall/lib/logging"
	"github.com/lichenfall/lichenfall/lib/loop"
	"github.com/lichenfall/lichenfall/lib/peer"
	"github.com/lichenfall/lichenfall/lib/retry"
	"github.com/lichenfall/lichenfall/lib/web"
	"github.com/lichenfall/lichenfall/metrics"
	"github.com/lichenfall/lichenfall/submissions/boxlist"
	"github.com/lichenfall/lichenfall/submissions/claim"
	"github.com/lichenfall/lichenfall/submissions/dispatch"
	"github.com/lichenfall/lichenfall/submissions/job"
	"github.com/lichenfall/lichenfall/submissions/membership"
	"github.com/lichenfall/lichenfall/submissions/placement"
	"github.com/lichenfall/lichenfall/wire"
)

const (
	eventBacklog = 4096                 // events that may wait for the control loop
	tickEvery    = 5 * time.Millisecond // between looks at the time; below the shortest limit, of 10 ms
	flushTimeout = time.Second          // for messages that wait to be written at a stop
	absentFor    = 30 * time.Second     // before an unlisted, unconnected agent is given up
)

// Entry is a running entry.
type Entry struct {
	cfg         *config.Entry
	log         *logging.Log
	incarnation string
	assignment  uint64
	registry    *metrics.Registry
	count       *metrics.Dispatch
	peerOpts    peer.Options
	listener    *peer.Listener
	http        *web.Server
	boxes       *boxlist.Client // nil when the settings name none
	loop        *loop.Loop[event]
	halt        context.Context // ends with Kill
	kill        context.CancelFunc
	stopping    atomic.Bool
	lastCaller  atomic.Uint64
	lastInbound atomic.Uint64

	// Owned by the control loop.
	core    *dispatch.Core
	view    *membership.View
	links   map[string]*link
	callers map[uint64]chan *job.Answer
}

// Start starts an entry. It listens before it returns.
func Start(cfg *config.Entry, log *logging.Log) (*Entry, error) {
	registry := metrics.New("entry")
	e := &Entry{
		cfg:         cfg,
		log:         log,
		incarnation: uuid.NewString(),
		assignment:  claim.Assignment(cfg.Claims.Holders),
		registry:    registry,
		count:       metrics.NewDispatch(registry.Scope),
		loop:        loop.New[event](eventBacklog),
		view:        membership.New(cfg.Claims.Holders, absentFor),
		links:       make(map[string]*link),
		callers:     make(map[uint64]chan *job.Answer),
	}
	e.halt, e.kill = context.WithCancel(context.Background())
	if err := e.listen(); err != nil {
		e.kill()
		registry.Close()
		return nil, err
	}
	e.core = dispatch.New(e.coreSettings(), asserter{e.count, log}, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	for _, agent := range e.view.Known() {
		e.dial(agent)
	}
	if cfg.BoxList.URL != "" {
		e.boxes = boxlist.New(cfg.BoxList.URL, cfg.BoxList.Limit.D())
		go e.pollBoxes()
	}
	e.listener.Serve(e.hello, inbound{e})
	go e.loop.Run(e.halt.Done(), tickEvery, loop.Steps[event]{Handle: e.handle, Tick: e.tick, Perform: e.perform})
	log.Info("entry started",
		zap.String("http", e.Addr()), zap.String("peers", e.PeerAddr()), zap.String("incarnation", e.incarnation))
	return e, nil
}

// asserter counts what the core decides, and logs broken promises.
type asserter struct {
	*metrics.Dispatch
	log *logging.Log
}

// Violated is called by the core.
func (a asserter) Violated(promise string) {
	a.Dispatch.Violated(promise)
	a.log.Error("a promise is broken", zap.String("promise", promise))
}

func (e *Entry) listen() error {
	e.peerOpts = peer.Options{
		MaxFrame:   e.cfg.Peers.MaxFrame,
		ClockBound: e.cfg.Peers.ClockBound.D(),
		Counter:    metrics.NewPeers(e.registry.Scope),
		Advertise:  e.cfg.Peers.Advertise,
	}
	listener, err := peer.Listen(e.cfg.Peers.Listen, e.peerOpts)
	if err != nil {
		return err
	}
	e.listener = listener
	e.http, err = web.Listen(e.cfg.HTTP.Listen, e.routes(), e.httpLimits())
	if err != nil {
		listener.Close()
	}
	return err
}

func (e *Entry) httpLimits() web.Limits {
	h := e.cfg.HTTP
	return web.Limits{
		Header:        h.MaxHeader,
		HeaderTimeout: h.HeaderTimeout.D(),
		BodyTimeout:   h.BodyTimeout.D(),
		IdleTimeout:   h.IdleTimeout.D(),
		Conns:         h.MaxConns,
	}
}

func (e *Entry) coreSettings() dispatch.Settings {
	c, j := e.cfg.Claims, e.cfg.Jobs
	return dispatch.Settings{
		Self:        claim.Owner{Address: e.listener.Advertised(), Incarnation: e.incarnation},
		Holders:     c.Holders,
		Workspaces:  j.Workspaces,
		Pools:       j.Pools,
		MaxTasks:    j.MaxRunning,
		MaxWait:     j.MaxWait.D(),
		MaxClaims:   c.Pending,
		ClaimWait:   c.Wait.D(),
		FetchWait:   c.Wait.D(),
		Grace:       j.Grace.D(),
		PingAfter:   e.cfg.Placement.PingAfter.D(),
		PingWait:    e.cfg.Placement.PingWait.D(),
		SilentShare: e.cfg.Placement.SilentShare,
		Attempts:    j.Attempts,
		Bounces:     e.cfg.Placement.Bounces,
		Slack:       e.cfg.Placement.Slack,
		RetryRatio:  j.RetryRatio,
		RetryBurst:  j.RetryBurst,
		Backoff:     retry.Backoff{Base: j.RetryPause.D(), Max: j.RetryPauseMax.D()},
		KeepAnswers: c.Answers,
		KeepBytes:   c.Bytes,
		KeepFor:     c.KeepFor.D(),
		MaxFetched:  e.cfg.Peers.MaxFrame / 2,
		Policy:      policyOf(e.cfg.Placement),
	}
}

func policyOf(p config.Placement) placement.Policy {
	return placement.Policy{
		Choices:  p.Choices,
		Outliers: placement.OutlierSettings{SlowFactor: p.Worse, MaxShare: p.WorseShare, TrickleShare: p.Trickle},
	}
}

// Addr returns the address for callers.
func (e *Entry) Addr() string { return e.http.Addr() }

// PeerAddr returns the address for peers.
func (e *Entry) PeerAddr() string { return e.listener.Addr() }

// Stop makes a planned stop: new submissions are refused, those in flight get
// their answers. It returns when all are answered or ctx ends.
func (e *Entry) Stop(ctx context.Context) {
	e.stopping.Store(true)
	e.loop.Post(event{kind: evStop})
	for ctx.Err() == nil && !e.idle() {
		time.Sleep(tickEvery)
	}
	if err := e.http.Drain(ctx); err != nil {
		e.log.Warn("stopped with requests in flight", zap.Error(err))
	}
	e.listener.Flush(flushTimeout)
	e.Kill()
}

func (e *Entry) idle() bool {
	s, ok := e.ask()
	return !ok || s.Idle
}

// Kill ends the entry at once, as a crash would.
func (e *Entry) Kill() {
	e.kill()
	<-e.loop.Done()
	e.http.Close()
	e.listener.Close()
	if e.boxes != nil {
		e.boxes.Close()
	}
	e.registry.Close()
}

func (e *Entry) hello() *wire.Hello {
	h := peer.Introduction(wire.RoleEntry, e.cfg.Box.Name, e.cfg.Box.DataCentre, e.incarnation, e.listener.Advertised())
	h.Assignment = e.assignment
	return h
}
