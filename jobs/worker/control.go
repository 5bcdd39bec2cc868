package worker

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/lichenfall/lichenfall/jobs/runtable"
	"github.com/lichenfall/lichenfall/jobs/store"
	"github.com/lichenfall/lichenfall/lib/loop"
	"github.com/lichenfall/lichenfall/lib/peer"
	"github.com/lichenfall/lichenfall/wire"
)

type eventKind uint8

const (
	evUp eventKind = iota
	evMessage
	evDown
	evIdentity
	evFound
	evStarted
	evStopped
	evNextHold
	evHeld
)

// event is what other goroutines tell the control goroutine.
type event struct {
	kind     eventKind
	conn     *peer.Conn
	message  wire.Message
	identity runtable.Identity
	start    runtable.StartCall
	result   runtable.StartResult
	stop     runtable.StopCall
	ok       bool
	hold     runtable.HoldCall
	held     runtable.HoldAnswer
	next     chan<- nextHold
}

type nextHold struct {
	call runtable.HoldCall
	ok   bool
}

// handler handles connections of coordinators.
type handler struct{ w *Worker }

// Up is called when the connection is made.
func (h handler) Up(c *peer.Conn, _ *wire.Hello) {
	c.Name = ownerName(c)
	h.w.loop.Post(event{kind: evUp, conn: c})
}

// Message is called for each message of the peer.
func (h handler) Message(c *peer.Conn, m wire.Message) {
	h.w.loop.Post(event{kind: evMessage, conn: c, message: m})
}

// Down is called when the connection is lost.
func (h handler) Down(c *peer.Conn, _ error) {
	h.w.loop.Post(event{kind: evDown, conn: c})
}

func (w *Worker) handle(now time.Time, ev event) {
	switch ev.kind {
	case evUp:
		w.owners[ev.conn.Name] = ev.conn
		w.table.OwnerUp(now, ev.conn.Name, ev.conn.Peer().Incarnation)
		w.log.Info("coordinator_up", zap.String("peer", ev.conn.Peer().Address))
	case evMessage:
		w.message(now, ev.conn.Name, ev.message)
	case evDown:
		delete(w.owners, ev.conn.Name)
		w.table.OwnerDown(now, ev.conn.Name)
		w.log.Info("coordinator_down", zap.String("peer", ev.conn.Peer().Address))
	case evIdentity:
		w.identified(now, ev.identity)
	case evFound:
		w.found(now, ev.identity)
	case evStarted:
		w.table.StartAnswered(now, ev.start, ev.result)
	case evStopped:
		w.table.StopAnswered(now, ev.stop, ev.ok)
	case evNextHold:
		call, ok := w.table.NextHold(now)
		ev.next <- nextHold{call, ok}
	case evHeld:
		w.table.HoldAnswered(now, ev.hold, ev.held)
	}
}

// found takes what was asked for or remembered; what the backend server itself
// says goes before it.
func (w *Worker) found(now time.Time, id runtable.Identity) {
	known := w.table.Identity()
	unknown := known.Instance == ""
	remembered := known.Instance == id.Instance && known.Service == ""
	if unknown || remembered {
		w.identified(now, id)
	}
}

func (w *Worker) identified(now time.Time, id runtable.Identity) {
	before := w.table.Identity()
	if before.Instance != id.Instance || before.Ready != id.Ready {
		w.log.Info("backend_state", zap.String("instance", id.Instance), zap.Bool("ready", id.Ready), zap.Int64("cpu", id.Capacity.CPU))
	}
	w.table.Identify(now, id)
	changed := before.Instance != id.Instance || before.Ready != id.Ready || before.Service != id.Service
	if changed && id.Service != "" {
		b := store.Backend(id)
		w.wantRegistered(&b)
	}
}

func (w *Worker) message(now time.Time, from string, m wire.Message) {
	switch m := m.(type) {
	case *wire.OwnerHeartbeat:
		w.table.Heartbeat(now, from, m)
	case *wire.StartRuns:
		w.table.Start(now, from, m)
	case *wire.StopRuns:
		w.table.Stop(now, from, m)
	case *wire.ClaimRuns:
		w.table.Claim(now, from, m)
	case *wire.EndsKept:
		w.table.Kept(now, from, m)
	}
}

// perform does what the table has decided.
func (w *Worker) perform(now time.Time) {
	e := w.table.Take(now)
	for _, s := range e.Sends {
		if c := w.owners[s.Owner]; c != nil {
			_ = c.Send(s.Message)
		}
	}
	for _, c := range e.Starts {
		go w.start(c)
	}
	for _, c := range e.Stops {
		go w.stop(c)
	}
	if e.Hold {
		w.kickHold()
	}
	for _, n := range e.Notes {
		w.metrics.Decision(n.What)
		w.logNote(now, &n)
	}
}

func (w *Worker) logNote(now time.Time, n *runtable.Note) {
	fields := []zap.Field{zap.String("task", n.Ref.Task.String()), zap.Uint32("run", n.Ref.Run), zap.String("reason", n.Reason)}
	if n.Usual {
		w.log.Usual(now, n.What, fields...)
		return
	}
	w.log.Info(n.What, fields...)
}

// callAgain is the pause after a call without an answer.
const callAgain = 20 * time.Millisecond

func (w *Worker) start(c runtable.StartCall) {
	ctx, cancel := context.WithTimeout(w.halt, w.cfg.Runs.CallLimit.D())
	result := w.backend.Start(ctx, c)
	cancel()
	if result == runtable.StartUnknown {
		loop.Sleep(w.halt, callAgain)
	}
	w.loop.Post(event{kind: evStarted, start: c, result: result})
}

func (w *Worker) stop(c runtable.StopCall) {
	ctx, cancel := context.WithTimeout(w.halt, w.cfg.Runs.CallLimit.D())
	ok := w.backend.Stop(ctx, c)
	cancel()
	if !ok {
		loop.Sleep(w.halt, callAgain)
	}
	w.loop.Post(event{kind: evStopped, stop: c, ok: ok})
}

func (w *Worker) kickHold() {
	select {
	case w.kick <- struct{}{}:
	default:
	}
}

// Pauses between holds.
const (
	holdGap   = 5 * time.Millisecond   // after one that waited
	holdRetry = 10 * time.Millisecond  // after one without an answer
	holdIdle  = 100 * time.Millisecond // while none may be made
)

// keepHolding renews the lease and listens for ends. One call waits at a time;
// when something has to be told at once, another is made beside it.
func (w *Worker) keepHolding() {
	for w.halt.Err() == nil {
		next := w.nextHold()
		if !next.ok {
			w.waitKick(holdIdle)
			continue
		}
		began := time.Now()
		answer := w.hold(next.call)
		w.loop.Post(event{kind: evHeld, hold: next.call, held: answer})
		switch {
		case answer.Result != runtable.HoldOK:
			loop.Sleep(w.halt, holdRetry)
		case time.Since(began) < holdGap:
			w.waitKick(holdGap)
		}
	}
}

func (w *Worker) hold(call runtable.HoldCall) runtable.HoldAnswer {
	ctx, cancel := context.WithTimeout(w.halt, call.Wait+w.cfg.Runs.CallLimit.D())
	defer cancel()
	return w.backend.Hold(ctx, call)
}

func (w *Worker) nextHold() nextHold {
	answer := make(chan nextHold, 1)
	w.loop.Post(event{kind: evNextHold, next: answer})
	select {
	case n := <-answer:
		return n
	case <-w.loop.Done():
		return nextHold{}
	}
}

func (w *Worker) waitKick(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-w.halt.Done():
	case <-t.C:
	case <-w.kick:
	}
}
