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

// event is posted to the control goroutine, which applies it.
type event interface {
	apply(w *Worker, now time.Time)
}

func (w *Worker) handle(now time.Time, e event) { e.apply(w, now) }

// ownerUp is posted when a coordinator has connected.
type ownerUp struct{ conn *peer.Conn }

func (e ownerUp) apply(w *Worker, now time.Time) {
	w.owners[e.conn.Name] = e.conn
	w.table.OwnerUp(now, e.conn.Name, e.conn.Peer().Incarnation)
	w.log.Info("coordinator_up", zap.String("peer", e.conn.Peer().Address))
}

// ownerDown is posted when the connection of a coordinator is lost.
type ownerDown struct{ conn *peer.Conn }

func (e ownerDown) apply(w *Worker, now time.Time) {
	delete(w.owners, e.conn.Name)
	w.table.OwnerDown(now, e.conn.Name)
	w.log.Info("coordinator_down", zap.String("peer", e.conn.Peer().Address))
}

// claimantUp is posted when a coordinator has connected to this worker as a witness.
type claimantUp struct{ conn *peer.Conn }

func (e claimantUp) apply(w *Worker, _ time.Time) {
	h := e.conn.Peer()
	w.witness.Up(e.conn.Name, h.Incarnation, h.Address)
}

// claimantDown is posted when the connection of a claimantUp is lost.
type claimantDown struct{ conn *peer.Conn }

func (e claimantDown) apply(w *Worker, _ time.Time) { w.witness.Down(e.conn.Name) }

// claimsReceived holds the claims of a coordinator.
type claimsReceived struct {
	conn    *peer.Conn
	message *wire.JobClaims
}

func (e claimsReceived) apply(w *Worker, now time.Time) {
	reply := w.witness.Handle(now, e.conn.Name, e.message)
	if reply == nil {
		return
	}
	if len(reply.Denied) > 0 {
		w.metrics.Decision(claimDenied)
	}
	if err := e.conn.Send(reply); err != nil {
		w.log.Debug("message_unsent", zap.String("peer", e.conn.Peer().Address), zap.Stringer("kind", reply.WireKind()), zap.Error(err))
	}
}

// ownerMessage is a message from a coordinator.
type ownerMessage struct {
	conn    *peer.Conn
	message wire.Message
}

func (e ownerMessage) apply(w *Worker, now time.Time) {
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
		w.handleRecorded(now, m)
	}
}

// backendReported is a report that the backend server sent on its own, such as a heartbeat.
type backendReported struct{ report runtable.Report }

func (e backendReported) apply(w *Worker, now time.Time) {
	w.trackIdentity(func() { w.table.Reported(now, e.report) })
}

// backendDeregistered is posted when an incarnation of the backend server announces that it
// ends.
type backendDeregistered struct{ incarnation runtable.Incarnation }

func (e backendDeregistered) apply(w *Worker, now time.Time) {
	w.log.Info("backend_deregistered", zap.Stringer("instance", e.incarnation))
	w.trackIdentity(func() { w.table.Deregistered(now, e.incarnation) })
}

// probeAnswered is the result of a probe, which checks whether the backend server is the
// incarnation that the call names.
type probeAnswered struct {
	call   runtable.RenewCall
	result runtable.RenewResult
}

func (e probeAnswered) apply(w *Worker, now time.Time) {
	w.trackIdentity(func() { w.table.ProbeAnswered(now, e.call, e.result) })
}

// backendIdentified is the incarnation of a backend server that was running before this
// process started. It is ignored if the backend server has sent a report in the meantime.
type backendIdentified struct{ incarnation runtable.Incarnation }

func (e backendIdentified) apply(w *Worker, now time.Time) {
	if w.table.Identity().Instance != "" {
		return
	}
	w.trackIdentity(func() {
		w.table.Identify(now, runtable.Identity{Instance: e.incarnation.Instance, Born: e.incarnation.Born})
	})
	w.applyRecorded(now)
}

// handleRecorded handles a coordinator's report of what the store has recorded of the backend
// server.
func (w *Worker) handleRecorded(now time.Time, m *wire.RecordedBackend) {
	w.recorded = &store.Backend{Instance: m.Instance, Born: m.Born, Service: m.Service, Ready: m.Ready, Capacity: m.Capacity, Labels: m.Labels}
	w.registrar.Report(w.member(w.recorded))
	w.applyRecorded(now)
}

// applyRecorded passes the recorded state of the backend server to the table if only the name
// of the current incarnation is known and the record is of that incarnation. The backend server
// is then used before its next heartbeat.
func (w *Worker) applyRecorded(now time.Time) {
	known := w.table.Identity()
	if w.recorded == nil || known.Service != "" {
		return
	}
	id := runtable.Identity(*w.recorded)
	if id.Incarnation() == known.Incarnation() {
		w.trackIdentity(func() { w.table.Identify(now, id) })
	}
}

// trackIdentity calls change, which may change the table's view of the backend server's
// identity, and logs and registers the new identity if it has.
func (w *Worker) trackIdentity(change func()) {
	before := w.table.Identity()
	change()
	id := w.table.Identity()
	if before.Equal(&id) {
		return
	}
	w.log.Info("backend_state", zap.Stringer("instance", id.Incarnation()), zap.Bool("ready", id.Ready), zap.Int64("cpu", id.Capacity.CPU))
	if id.Service != "" {
		// The next process at this address starts from the record. If the capacity in it were
		// not updated after a decrease, that process would start more runs than fit.
		b := store.Backend(id)
		w.queueRegistration(&b)
	}
}

// startAnswered is the backend server's answer to a request to start a run.
type startAnswered struct {
	call   runtable.StartCall
	result runtable.StartResult
}

func (e startAnswered) apply(w *Worker, now time.Time) { w.table.StartAnswered(now, e.call, e.result) }

// stopAnswered is the result of a request to stop a run.
type stopAnswered struct {
	call     runtable.StopCall
	answered bool
}

func (e stopAnswered) apply(w *Worker, now time.Time) { w.table.StopAnswered(now, e.call, e.answered) }

// renewalRequested requests the next renewal of the lease.
type renewalRequested struct{ answer chan<- renewal }

// renewal is the call that renews the lease next; ok is false if none may be made now.
type renewal struct {
	call runtable.RenewCall
	ok   bool
}

func (e renewalRequested) apply(w *Worker, now time.Time) {
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

// renewalOverdue is posted when the answer to a renewal is overdue.
type renewalOverdue struct{ call runtable.RenewCall }

func (e renewalOverdue) apply(w *Worker, _ time.Time) { w.table.RenewOverdue(e.call) }

// handler posts the events of the connections to coordinators.
type handler struct{ w *Worker }

// Up is called when a connection is made.
func (h handler) Up(c *peer.Conn, _ *wire.Hello) {
	c.Name = fmt.Sprintf("%p", c) // unique among the connections that exist at the same time
	if c.Peer().Role == wire.RoleClaimant {
		h.w.loop.Post(claimantUp{c})
		return
	}
	h.w.loop.Post(ownerUp{c})
}

// Message is called for each message of the peer.
func (h handler) Message(c *peer.Conn, m wire.Message) {
	if claims, ok := m.(*wire.JobClaims); ok {
		h.w.loop.Post(claimsReceived{c, claims})
		return
	}
	h.w.loop.Post(ownerMessage{c, m})
}

// Down is called when a connection is lost.
func (h handler) Down(c *peer.Conn, _ error) {
	if c.Peer().Role == wire.RoleClaimant {
		h.w.loop.Post(claimantDown{c})
		return
	}
	h.w.loop.Post(ownerDown{c})
}
