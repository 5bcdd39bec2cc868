package worker

import (
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/lichenfall/lichenfall/jobs/runtable"
	"github.com/lichenfall/lichenfall/jobs/store"
	"github.com/lichenfall/lichenfall/lib/peer"
	"github.com/lichenfall/lichenfall/wire"
)

// event is what another goroutine tells the control goroutine, which applies it.
type event interface {
	apply(w *Worker, now time.Time)
}

func (w *Worker) handle(now time.Time, e event) { e.apply(w, now) }

// ownerUp says that a coordinator has connected.
type ownerUp struct{ conn *peer.Conn }

func (e ownerUp) apply(w *Worker, now time.Time) {
	w.owners[e.conn.Name] = e.conn
	w.table.OwnerUp(now, e.conn.Name, e.conn.Peer().Incarnation)
	w.log.Info("coordinator_up", zap.String("peer", e.conn.Peer().Address))
}

// ownerDown says that a coordinator's connection is lost.
type ownerDown struct{ conn *peer.Conn }

func (e ownerDown) apply(w *Worker, now time.Time) {
	delete(w.owners, e.conn.Name)
	w.table.OwnerDown(now, e.conn.Name)
	w.log.Info("coordinator_down", zap.String("peer", e.conn.Peer().Address))
}

// ownerSaid is a message of a coordinator.
type ownerSaid struct {
	conn    *peer.Conn
	message wire.Message
}

func (e ownerSaid) apply(w *Worker, now time.Time) {
	from := e.conn.Name
	switch m := e.message.(type) {
	case *wire.OwnerHeartbeat:
		w.table.Heartbeat(now, from, m)
	case *wire.StartRuns:
		w.table.Start(now, from, m)
	case *wire.CapacityRequest:
		w.table.RequestCapacity(now, from, m)
	case *wire.StopRuns:
		w.table.Stop(now, from, m)
	case *wire.RunsQuery:
		w.table.QueryRuns(now, from, m)
	case *wire.RunNeeds:
		w.table.SetNeeds(now, from, m)
	case *wire.EndsKept:
		w.table.AcknowledgeEnds(now, from, m)
	case *wire.RecordedBackend:
		w.takeRecorded(now, m)
	}
}

// backendReported is what the backend server says of itself without being asked.
type backendReported struct{ report runtable.Report }

func (e backendReported) apply(w *Worker, now time.Time) {
	w.followIdentity(func() { w.table.Reported(now, e.report) })
}

// backendDeregistered is the word of a life of the backend server that it ends.
type backendDeregistered struct{ life runtable.Incarnation }

func (e backendDeregistered) apply(w *Worker, now time.Time) {
	w.log.Info("backend_deregistered", zap.Stringer("instance", e.life))
	w.followIdentity(func() { w.table.Deregistered(now, e.life) })
}

// backendAsked is the answer to the question whether the backend server is the life
// that the call names.
type backendAsked struct {
	call   runtable.RenewCall
	result runtable.RenewResult
}

func (e backendAsked) apply(w *Worker, now time.Time) {
	w.followIdentity(func() { w.table.ProbeAnswered(now, e.call, e.result) })
}

// backendFound names the life of a backend server that was there before us. What it says of
// itself goes before.
type backendFound struct{ life runtable.Incarnation }

func (e backendFound) apply(w *Worker, now time.Time) {
	if w.table.Identity().Instance != "" {
		return
	}
	w.followIdentity(func() {
		w.table.Identify(now, runtable.Identity{Instance: e.life.Instance, Born: e.life.Born})
	})
	w.useRecorded(now)
}

// takeRecorded takes a coordinator's word of what the store has of the backend server.
func (w *Worker) takeRecorded(now time.Time, m *wire.RecordedBackend) {
	w.recorded = &store.Backend{Instance: m.Instance, Born: m.Born, Service: m.Service, Ready: m.Ready, Capacity: m.Capacity, Labels: m.Labels}
	w.registrar.Report(w.member(w.recorded))
	w.useRecorded(now)
}

// useRecorded uses what the store has of a life of which only the name is known, so that
// the backend server is used before its next heartbeat.
func (w *Worker) useRecorded(now time.Time) {
	known := w.table.Identity()
	if w.recorded == nil || known.Service != "" {
		return
	}
	id := runtable.Identity(*w.recorded)
	if id.Incarnation() == known.Incarnation() {
		w.followIdentity(func() { w.table.Identify(now, id) })
	}
}

// followIdentity does what may change which life the table believes in, and logs and
// registers the change.
func (w *Worker) followIdentity(change func()) {
	before := w.table.Identity()
	change()
	id := w.table.Identity()
	if before.Equal(&id) {
		return
	}
	w.log.Info("backend_state", zap.Stringer("instance", id.Incarnation()), zap.Bool("ready", id.Ready), zap.Int64("cpu", id.Capacity.CPU))
	if id.Service != "" {
		// A successor of this process begins with what is registered: a capacity that has
		// shrunk since would have it order beyond the room.
		b := store.Backend(id)
		w.wantRegistered(&b)
	}
}

// startAnswered is the backend server's answer to an order to start a run.
type startAnswered struct {
	call   runtable.StartCall
	result runtable.StartResult
}

func (e startAnswered) apply(w *Worker, now time.Time) { w.table.StartAnswered(now, e.call, e.result) }

// stopAnswered says whether an order to stop a run was answered.
type stopAnswered struct {
	call     runtable.StopCall
	answered bool
}

func (e stopAnswered) apply(w *Worker, now time.Time) { w.table.StopAnswered(now, e.call, e.answered) }

// renewalWanted asks for the next renewal of the lease.
type renewalWanted struct{ answer chan<- renewal }

// renewal is the call that renews the lease next; ok is false when none may be
// made now.
type renewal struct {
	call runtable.RenewCall
	ok   bool
}

func (e renewalWanted) apply(w *Worker, now time.Time) {
	call, ok := w.table.NextRenewal(now)
	e.answer <- renewal{call, ok}
}

// renewalAnswered is the backend server's answer to a renewal.
type renewalAnswered struct {
	call   runtable.RenewCall
	answer runtable.RenewAnswer
}

func (e renewalAnswered) apply(w *Worker, now time.Time) {
	w.table.RenewAnswered(now, e.call, e.answer)
}

// renewalIsOverdue says that a renewal should have been answered by now.
type renewalIsOverdue struct{ call runtable.RenewCall }

func (e renewalIsOverdue) apply(w *Worker, _ time.Time) { w.table.RenewOverdue(e.call) }

// handler posts what happens on the connections of coordinators.
type handler struct{ w *Worker }

// Up is called when the connection is made.
func (h handler) Up(c *peer.Conn, _ *wire.Hello) {
	c.Name = fmt.Sprintf("%p", c) // no other connection has it while this one lives
	h.w.loop.Post(ownerUp{c})
}

// Message is called for each message of the peer.
func (h handler) Message(c *peer.Conn, m wire.Message) { h.w.loop.Post(ownerSaid{c, m}) }

// Down is called when the connection is lost.
func (h handler) Down(c *peer.Conn, _ error) { h.w.loop.Post(ownerDown{c}) }
