package agent

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/lichenfall/lichenfall/lib/failure"
	"github.com/lichenfall/lichenfall/lib/peer"
	"github.com/lichenfall/lichenfall/submissions/backend"
	"github.com/lichenfall/lichenfall/submissions/claim"
	"github.com/lichenfall/lichenfall/submissions/queue"
	"github.com/lichenfall/lichenfall/wire"
)

type eventKind uint8

const (
	evUp eventKind = iota
	evMessage
	evDown
	evFinished
	evStop
	evState
	evUsage
	evLeave
)

// event is one input of the control loop, posted by another goroutine. Which fields are set depends
// on the kind.
type event struct {
	kind    eventKind
	conn    *peer.Conn
	hello   *wire.Hello
	message wire.Message
	task    *queue.Task
	outcome queue.Outcome
	state   chan<- State
	usage   backend.Usage
}

// Up is called when an entry has connected.
func (a *Agent) Up(c *peer.Conn, h *wire.Hello) { a.loop.Post(event{kind: evUp, conn: c, hello: h}) }

// Message is called for each message of an entry.
func (a *Agent) Message(c *peer.Conn, m wire.Message) {
	a.loop.Post(event{kind: evMessage, conn: c, message: m})
}

// Down is called when a connection is lost.
func (a *Agent) Down(c *peer.Conn, err error) { a.loop.Post(event{kind: evDown, conn: c}) }

func (a *Agent) tick(now time.Time) {
	a.queue.Expire(now)
	a.updateGauges()
}

func (a *Agent) handle(now time.Time, e event) {
	switch e.kind {
	case evUp:
		a.linkUp(e)
	case evMessage:
		a.handleMessage(now, e.conn, e.message)
	case evDown:
		a.linkDown(e.conn)
	case evFinished:
		a.taskFinished(now, e)
	case evStop:
		a.stopping = true
		a.queue.Leave()
		a.sendLoads()
	case evLeave:
		a.queue.Leave()
		a.sendLoads()
	case evUsage:
		a.usage = e.usage
		a.count.Usage(e.usage.Cores, e.usage.MemoryBytes)
	case evState:
		e.state <- a.state(now)
	}
}

func (a *Agent) linkUp(e event) {
	a.lastLink++
	a.links[a.lastLink] = e.conn
	a.byConn[e.conn] = a.lastLink
	a.log.Info("entry connected", zap.String("box", e.hello.Box), zap.String("incarnation", e.hello.Incarnation))
	if a.queue.Leaving() {
		a.sendLoad(a.lastLink)
	}
}

func (a *Agent) linkDown(c *peer.Conn) {
	link, ok := a.byConn[c]
	if !ok {
		return
	}
	delete(a.byConn, c)
	delete(a.links, link)
	delete(a.leaveAcked, link)
	a.queue.LinkDown(link)
}

func (a *Agent) handleMessage(now time.Time, c *peer.Conn, m wire.Message) {
	link, ok := a.byConn[c]
	if !ok {
		return
	}
	switch m := m.(type) {
	case *wire.Place:
		if !a.queue.Place(now, link, m) {
			a.log.Warn("message repeated", zap.Stringer("kind", m.WireKind()))
		}
	case *wire.Cancel:
		a.queue.Cancel(now, link, m)
	case *wire.LeaveAck:
		a.leaveAcked[link] = true
	case *wire.Ping:
		a.sendLoad(link)
	case *wire.Claim:
		a.handleClaim(now, c, m)
	default:
		a.log.Warn("message not for an agent", zap.Stringer("kind", m.WireKind()))
	}
}

func (a *Agent) handleClaim(now time.Time, c *peer.Conn, m *wire.Claim) {
	owner := claim.Owner{Address: c.Peer().Address, Incarnation: c.Peer().Incarnation}
	r := a.claims.Serve(now, owner, m)
	a.count.Verdict(claim.Verdict(r.Verdict))
	// If sending fails, the connection is lost, and the entry repeats its claim.
	_ = c.Send(r)
}

func (a *Agent) taskFinished(now time.Time, e event) {
	a.count.Ran(now.Sub(e.task.StartedAt))
	a.queue.Finished(now, e.task, e.outcome)
}

// perform carries out what the queue has decided: it starts tasks and sends reports. It also
// completes a planned stop.
func (a *Agent) perform(now time.Time) {
	out := a.queue.Take(now)
	for _, t := range out.Start {
		a.count.Started()
		go a.run(t)
	}
	a.sendReports(out.Reports)
	if a.stopping && a.queue.Idle() && len(a.leaveAcked) == len(a.links) {
		a.finishStop()
	}
}

// run sends one task to the backend server and waits for its end. Only Kill interrupts it; a
// planned stop doesn't.
func (a *Agent) run(t *queue.Task) {
	o := a.backend.Run(a.ctx, t)
	a.loop.Post(event{kind: evFinished, task: t, outcome: o})
}

// finishStop completes a planned stop: it flushes the connections and then closes stopped. It is
// called when the queue is idle and every connected entry has acknowledged that the agent leaves.
// All tasks that an entry placed before its acknowledgement have been answered by then.
func (a *Agent) finishStop() {
	a.stopping = false
	conns := make([]*peer.Conn, 0, len(a.links))
	for _, c := range a.links {
		conns = append(conns, c)
	}
	go func() {
		for _, c := range conns {
			c.Flush(flushTimeout)
		}
		close(a.stopped)
	}()
}

// updateGauges sets the metrics of the queue's load and of the claims held.
func (a *Agent) updateGauges() {
	load := a.queue.Load(0)
	a.count.Load(int(load.Queued), int(load.Running))
	a.count.Claims(a.claims.Len())
}

// The bounds of one Results message.
const (
	maxResults     = 1024
	maxResultBytes = 1 << 20 // bytes of the results' bodies; a quarter of the default frame limit
)

// sendReports sends the results, grouped by link into messages of bounded size.
func (a *Agent) sendReports(reports []queue.Report) {
	open := make(map[queue.Link]*batch)
	for i := range reports {
		r := &reports[i]
		a.count.Result(failure.Kind(r.Result.Kind))
		b := open[r.Link]
		if b == nil {
			b = &batch{load: a.queue.Load(r.Link)}
			open[r.Link] = b
		}
		if b.full(&r.Result) {
			a.send(r.Link, b.take())
		}
		b.add(r.Result)
	}
	for link, b := range open {
		a.send(link, b.take())
	}
}

// batch collects the results for one message.
type batch struct {
	load  wire.Load
	items []wire.Result
	bytes int
}

// full reports whether r would exceed the bounds of a message. A message may hold a single result
// of any size.
func (b *batch) full(r *wire.Result) bool {
	return len(b.items) >= maxResults || len(b.items) > 0 && b.bytes+len(r.Body) > maxResultBytes
}

func (b *batch) add(r wire.Result) {
	b.items = append(b.items, r)
	b.bytes += len(r.Body)
}

// take returns a message with the collected results and empties the batch.
func (b *batch) take() *wire.Results {
	m := &wire.Results{Load: b.load, Items: b.items}
	b.items = nil
	b.bytes = 0
	return m
}

func (a *Agent) send(link queue.Link, m wire.Message) {
	if c := a.links[link]; c != nil {
		// If sending fails, the connection is lost, and Down is called.
		_ = c.Send(m)
	}
}

// sendLoads sends the load to all entries. With it they learn that the agent is leaving.
func (a *Agent) sendLoads() {
	for link := range a.links {
		a.sendLoad(link)
	}
}

// sendLoad sends a Results message without results, which carries the load alone.
func (a *Agent) sendLoad(link queue.Link) {
	a.send(link, &wire.Results{Load: a.queue.Load(link)})
}

// pollUsage polls the backend server's usage reports until the agent ends. They are used for this
// agent's metrics and state alone, and sent to no peer.
func (a *Agent) pollUsage() {
	tick := time.NewTicker(a.cfg.Backend.UsagePoll.D())
	defer tick.Stop()
	for {
		select {
		case <-a.ctx.Done():
			return
		case <-tick.C:
		}
		ctx, cancel := context.WithTimeout(a.ctx, a.cfg.Backend.UsagePoll.D())
		u, err := a.backend.Usage(ctx)
		cancel()
		if err != nil {
			a.log.Debug("cannot read the backend server's usage", zap.Error(err))
			continue
		}
		a.loop.Post(event{kind: evUsage, usage: u})
	}
}
