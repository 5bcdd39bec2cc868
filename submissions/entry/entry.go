// Package entry implements the daemon that accepts submissions over HTTP. It feeds the dispatch
// core with requests, peer messages and connection changes, and carries out what the core
// decides. It owns the HTTP server and the connections to agents and other entries. One goroutine,
// the control loop, owns the core; other goroutines serve HTTP requests and connections and post
// events to the loop.
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
	// eventBacklog is how many events may wait for the control loop; further posts block.
	eventBacklog = 4096
	// tickInterval is how often the core checks its time limits. The shortest of them is 10 ms.
	tickInterval = 5 * time.Millisecond
	// flushTimeout bounds the writing of queued messages at a planned stop.
	flushTimeout = time.Second
	// forgetAgentAfter is how long an agent must be neither listed nor connected before it is
	// removed.
	forgetAgentAfter = 30 * time.Second
)

// Entry is a running entry.
type Entry struct {
	cfg           *config.Entry
	log           *logging.Log
	incarnation   string
	assignment    uint64
	registry      *metrics.Registry
	count         *metrics.Dispatch
	peerOpts      peer.Options
	listener      *peer.Listener
	http          *web.Server
	boxes         *boxlist.Client // nil if no box list is configured
	loop          *loop.Loop[event]
	ctx           context.Context // cancelled by Kill
	cancel        context.CancelFunc
	stopping      atomic.Bool
	lastCallerID  atomic.Uint64
	lastInboundID atomic.Uint64

	// Owned by the control loop.
	core    *dispatch.Core
	view    *membership.View
	links   map[string]*link
	callers map[uint64]chan *job.Answer
}

// Start starts an entry. Both listeners are open when it returns.
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
		view:        membership.New(cfg.Claims.Holders, forgetAgentAfter),
		links:       make(map[string]*link),
		callers:     make(map[uint64]chan *job.Answer),
	}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	if err := e.listen(); err != nil {
		e.cancel()
		registry.Close()
		return nil, err
	}
	e.core = dispatch.New(e.coreSettings(), counter{e.count, log}, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	for _, agent := range e.view.Known() {
		e.dial(agent)
	}
	if cfg.BoxList.URL != "" {
		e.boxes = boxlist.New(cfg.BoxList.URL, cfg.BoxList.Limit.D())
		go e.pollBoxes()
	}
	e.listener.Serve(e.hello, inbound{e})
	go e.loop.Run(e.ctx.Done(), tickInterval, loop.Steps[event]{Handle: e.handle, Tick: e.tick, Perform: e.perform})
	log.Info("entry started",
		zap.String("http", e.Addr()), zap.String("peers", e.PeerAddr()), zap.String("incarnation", e.incarnation))
	return e, nil
}

// counter is the core's dispatch.Counter. It updates the metrics and logs violated promises.
type counter struct {
	*metrics.Dispatch
	log *logging.Log
}

// Violated counts and logs a promise that the core found violated.
func (a counter) Violated(promise string) {
	a.Dispatch.Violated(promise)
	a.log.Error("promise violated", zap.String("promise", promise))
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
		Policy:      placementPolicy(e.cfg.Placement),
	}
}

func placementPolicy(p config.Placement) placement.Policy {
	return placement.Policy{
		Choices:  p.Choices,
		Outliers: placement.OutlierSettings{SlowFactor: p.Worse, MaxShare: p.WorseShare, TrickleShare: p.Trickle},
	}
}

// Addr returns the address of the HTTP server.
func (e *Entry) Addr() string { return e.http.Addr() }

// PeerAddr returns the address on which the entry accepts connections of peers.
func (e *Entry) PeerAddr() string { return e.listener.Addr() }

// Stop performs a planned stop: the entry refuses new submissions and completes those in flight.
// It returns when all are answered, or when ctx ends; then the rest is abandoned as by Kill.
func (e *Entry) Stop(ctx context.Context) {
	e.stopping.Store(true)
	e.loop.Post(event{kind: evStop})
	for ctx.Err() == nil && !e.idle() {
		time.Sleep(tickInterval)
	}
	if err := e.http.Drain(ctx); err != nil {
		e.log.Warn("stopped with requests in flight", zap.Error(err))
	}
	e.listener.Flush(flushTimeout)
	e.Kill()
}

func (e *Entry) idle() bool {
	s, ok := e.requestState()
	return !ok || s.Idle
}

// Kill stops the entry at once, as a crash would: submissions in flight are abandoned.
func (e *Entry) Kill() {
	e.cancel()
	<-e.loop.Done()
	e.http.Close()
	e.listener.Close()
	if e.boxes != nil {
		e.boxes.Close()
	}
	e.registry.Close()
}

func (e *Entry) hello() *wire.Hello {
	h := peer.NewHello(wire.RoleEntry, e.cfg.Box.Name, e.cfg.Box.DataCentre, e.incarnation, e.listener.Advertised())
	h.Assignment = e.assignment
	return h
}
