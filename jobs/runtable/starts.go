package runtable

import (
	"time"

	"github.com/lichenfall/lichenfall/wire"
)

// noRoomPause is how long orders are handed back after the backend server had less capacity than
// the table assumed.
const noRoomPause = 20 * time.Millisecond

// Start handles the orders of a coordinator to start runs.
func (t *Table) Start(now time.Time, conn string, m *wire.StartRuns) {
	t.expireLeases(now)
	o := t.owners[conn]
	if o == nil {
		return
	}
	o.startSeq, o.seen = m.Seq, m.Seen
	t.queueStatus(conn, o)
	t.shareCapacity(now) // capacity that has just come free is not taken by whichever order arrives first
	t.room.OrderReceived(now, conn, m.Seen)
	taken := false
	for i := range m.Runs {
		taken = t.takeOrder(now, conn, &m.Runs[i]) || taken
	}
	if taken {
		t.room.OrdersAccepted(conn, t.free())
	}
}

// takeOrder takes one order or hands it back at once, since the coordinator may have capacity
// for it elsewhere. It returns whether a run begins.
func (t *Table) takeOrder(now time.Time, conn string, order *wire.RunOrder) bool {
	key := t.leaseOf(t.owners[conn], order)
	if r := t.runs[order.Ref]; r != nil {
		r.addOwner(key)
		return false
	}
	if reason := t.refusal(now, conn, order, key); reason != "" {
		t.noteFrequent(RunRefused, order.Ref, reason)
		t.sendEnd(conn, wire.RunEnd{Ref: order.Ref, How: uint8(wire.EndNotRun), Reason: reason})
		return false
	}
	r := &run{order: *order, lease: key, firstSent: now}
	t.runs[order.Ref] = r
	t.sendStart(now, r)
	return true
}

// refusal returns the reason for handing an order back, or "" if it is taken. An order holds only for
// the identity on which it was decided: the coordinator chose this backend server by its service, labels
// and capacity, and reckoned the limit by its speed. It must fit now. Tasks under which backend servers
// have crashed run one at a time here, so that the next crash shows which of them caused it. With two
// together neither would be blamed, and each would crash one more server. If all coordinators have lost
// their crash histories before, that is one crash too many.
func (t *Table) refusal(now time.Time, conn string, order *wire.RunOrder, key leaseKey) string {
	switch {
	case !t.mayOrder(now, conn, order, key):
		return "no_lease"
	case t.evacuated:
		return "evacuated"
	case !t.canStart():
		return "not_ready"
	case !t.owners[conn].knowsIdentity():
		return reasonStaleView
	case order.Crashes > 0 && t.suspects() > 0:
		return "suspect_there"
	case !order.Need.Fits(t.free()), now.Sub(t.noRoomAt) < noRoomPause:
		return reasonBusy
	case !order.Need.Fits(t.room.Available(conn, t.free())):
		return reasonGranted
	}
	return ""
}

func (t *Table) canStart() bool {
	return t.hasIdentity && t.identity.Ready && t.synced && !t.lapsing && !t.silent && !t.evacuated
}

func (t *Table) sendStart(now time.Time, r *run) {
	t.effects.Starts = append(t.effects.Starts, StartCall{
		Instance:   t.identity.Instance,
		Born:       t.identity.Born,
		Ref:        r.order.Ref,
		Spec:       r.order.Spec,
		Deadline:   t.extendBackendLease(now),
		Token:      t.token,
		Checkpoint: r.order.Checkpoint,
	})
}

// StartAnswered handles the answer to a StartCall.
func (t *Table) StartAnswered(now time.Time, call StartCall, result StartResult) {
	if result == StartUnknown {
		t.unansweredAt = now
	}
	r := t.runs[call.Ref]
	if r != nil && r.state == runInherited {
		t.inheritedAnswered(now, r, result)
		return
	}
	if r == nil || call.Incarnation() != t.identity.Incarnation() || r.state != runStarting {
		return
	}
	switch result {
	case StartAccepted:
		r.state = runRunning
		r.started = now
		r.startedSeq = t.renewSeq
		r.endedBefore = t.outcomes.speed.Runs()
		r.cold = now.Before(t.coldUntil)
		if r.stopOnceStarted {
			t.sendStop(r)
		}
	case StartUnknown:
		r.unanswered = true
		t.resendStart(now, r)
	case StartConnectionRefused:
		t.endUnsent(now, r)
		t.connectionRefused(now)
	case StartRunNumberUsed:
		t.verifyByList(r)
	default:
		t.startRefused(now, r, result)
	}
}

// endUnsent ends a run whose order could not be sent because the connection was refused. The
// backend server was gone before the order, so the run did not crash it. If an earlier order for
// the run had no answer, it may have arrived, and the run stays.
func (t *Table) endUnsent(now time.Time, r *run) {
	if !r.unanswered {
		delete(t.runs, r.order.Ref)
		t.endRun(now, r, wire.EndNotRun, reasonRefused)
	}
}

// resendStart resends an order that had no answer; the run number makes it idempotent. In an
// evacuated data centre, or if the run is no longer wanted, the run is stopped instead. A silent
// backend server gets the order when it answers again.
func (t *Table) resendStart(now time.Time, r *run) {
	if t.silent {
		return
	}
	if t.evacuated || r.stopOnceStarted {
		t.sendStop(r)
		return
	}
	t.noteFrequent(StartRepeated, r.order.Ref, reasonNoAnswer)
	t.sendStart(now, r)
}

// startRefused handles the refusal of an order. If an earlier order for the run had no answer,
// it may still be carried out, so the run is stopped first.
func (t *Table) startRefused(now time.Time, r *run, result StartResult) {
	if result == StartNoRoom {
		t.noRoomAt = now
	}
	if result == StartFenced {
		t.token = 0
		t.synced, t.complete = false, false
	}
	if r.unanswered {
		t.sendStop(r)
		return
	}
	delete(t.runs, r.order.Ref)
	t.endRun(now, r, wire.EndNotRun, result.String())
	t.effects.Renew = true
}

// stopUnansweredStarts stops runs whose start has been unanswered for longer than
// Settings.StartLimit. A stop invalidates the number of a run that does not exist, so that the
// start cannot be carried out later either.
func (t *Table) stopUnansweredStarts(now time.Time) {
	if t.silent {
		return // the runs end with the lease
	}
	unanswered := func(r *run) bool {
		return r.state == runStarting && now.Sub(r.firstSent) > t.cfg.StartLimit
	}
	for _, ref := range t.refsWhere(unanswered) {
		t.note(StartUnanswered, ref, reasonStopping)
		t.sendStop(t.runs[ref])
	}
}
