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

// event is what the other goroutines tell the control loop.
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
	a.observe()
}

func (a *Agent) handle(now time.Time, e event) {
	switch e.kind {
	case evUp:
		a.linkUp(e)
	case evMessage:
		a.message(now, e.conn, e.message)
	case evDown:
		a.linkDown(e.conn)
	case evFinished:
		a.finished(now, e)
	case evStop:
		a.stop = true
		a.queue.Leave()
		a.announce()
	case evLeave:
		a.queue.Leave()
		a.announce()
	case evUsage:
		a.usage = e.usage
		a.count.Usage(e.usage.Cores, e.usage.MemoryBytes)
	case evState:
		e.state <- a.state(now)
	}
}

func (a *Agent) linkUp(e event) {
	a.last++
	a.links[a.last] = e.conn
	a.byConn[e.conn] = a.last
	a.log.Info("entry connected", zap.String("box", e.hello.Box), zap.String("incarnation", e.hello.Incarnation))
	if a.queue.Leaving() {
		a.sendLoad(a.last)
	}
}

func (a *Agent) linkDown(c *peer.Conn) {
	link, ok := a.byConn[c]
	if !ok {
		return
	}
	delete(a.byConn, c)
	delete(a.links, link)
	delete(a.told, link)
	a.queue.LinkDown(link)
}

func (a *Agent) message(now time.Time, c *peer.Conn, m wire.Message) {
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
		a.told[link] = true
	case *wire.Ping:
		a.sendLoad(link)
	case *wire.Claim:
		a.claim(now, c, m)
	default:
		a.log.Warn("message not for an agent", zap.Stringer("kind", m.WireKind()))
	}
}

func (a *Agent) claim(now time.Time, c *peer.Conn, m *wire.Claim) {
	owner := claim.Owner{Address: c.Peer().Address, Incarnation: c.Peer().Incarnation}
	r := a.claims.Serve(now, owner, m)
	a.count.Verdict(claim.Verdict(r.Verdict))
	// When it cannot be sent, the connection is down, and the entry asks again.
	_ = c.Send(r)
}

func (a *Agent) finished(now time.Time, e event) {
	a.count.Ran(now.Sub(e.task.StartedAt))
	a.queue.Finished(now, e.task, e.outcome)
}

// perform does what the queue has decided.
func (a *Agent) perform(now time.Time) {
	out := a.queue.Take(now)
	for _, t := range out.Start {
		a.count.Started()
		go a.run(t)
	}
	a.report(out.Reports)
	if a.stop && a.queue.Idle() && len(a.told) == len(a.links) {
		a.finishStop()
	}
}

// run hands one task to the backend server. A planned stop does not cut it off.
func (a *Agent) run(t *queue.Task) {
	o := a.backend.Run(a.halt, t)
	a.loop.Post(event{kind: evFinished, task: t, outcome: o})
}

// finishStop ends a planned stop once nothing is left and every entry has said
// that it knows: whatever it placed before has then been answered.
func (a *Agent) finishStop() {
	a.stop = false
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

func (a *Agent) observe() {
	load := a.queue.Load(0)
	a.count.Load(int(load.Queued), int(load.Running))
	a.count.Claims(a.claims.Len())
}

// The bounds of one Results message.
const (
	maxItems     = 1024    // results
	maxItemBytes = 1 << 20 // of them; a quarter of the default frame
)

// report sends results, those of one link together.
func (a *Agent) report(reports []queue.Report) {
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

// batch collects results into one message.
type batch struct {
	load  wire.Load
	items []wire.Result
	bytes int
}

func (b *batch) full(r *wire.Result) bool {
	return len(b.items) >= maxItems || len(b.items) > 0 && b.bytes+len(r.Body) > maxItemBytes
}

func (b *batch) add(r wire.Result) {
	b.items = append(b.items, r)
	b.bytes += len(r.Body)
}

func (b *batch) take() *wire.Results {
	m := &wire.Results{Load: b.load, Items: b.items}
	b.items = nil
	b.bytes = 0
	return m
}

func (a *Agent) send(link queue.Link, m wire.Message) {
	if c := a.links[link]; c != nil {
		// When it cannot be sent, the connection is down, and down follows.
		_ = c.Send(m)
	}
}

// announce tells all entries that the backend server leaves.
func (a *Agent) announce() {
	for link := range a.links {
		a.sendLoad(link)
	}
}

func (a *Agent) sendLoad(link queue.Link) {
	a.send(link, &wire.Results{Load: a.queue.Load(link)})
}

// pollUsage reads the backend server's usage reports, which stay on this box.
func (a *Agent) pollUsage() {
	tick := time.NewTicker(a.cfg.Backend.UsagePoll.D())
	defer tick.Stop()
	for {
		select {
		case <-a.halt.Done():
			return
		case <-tick.C:
		}
		ctx, cancel := context.WithTimeout(a.halt, a.cfg.Backend.UsagePoll.D())
		u, err := a.backend.Usage(ctx)
		cancel()
		if err != nil {
			a.log.Debug("usage not read", zap.Error(err))
			continue
		}
		a.loop.Post(event{kind: evUsage, usage: u})
	}
}
