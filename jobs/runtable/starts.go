package runtable

import (
	"time"

	"github.com/lichenfall/lichenfall/wire"
)

// noRoomPause is how long orders are handed back after the backend server had less
// room than we thought.
const noRoomPause = 20 * time.Millisecond

// Start takes the orders of a coordinator.
func (t *Table) Start(now time.Time, name string, m *wire.StartRuns) {
	t.expireLeases(now)
	o := t.owners[name]
	if o == nil {
		return
	}
	o.startSeq = m.Seq
	t.touch(name, o)
	t.shareRoom(now) // what has come free in the same moment is not for who orders first
	t.room.OrderReceived(now, name, m.Seen)
	taken := false
	for i := range m.Runs {
		taken = t.order(now, name, &m.Runs[i]) || taken
	}
	if taken {
		t.room.OrdersAccepted(name, t.free())
	}
}

// order takes one order, or hands it back at once: the coordinator may have room
// for it elsewhere. It returns whether a run begins.
func (t *Table) order(now time.Time, name string, order *wire.RunOrder) bool {
	key := t.leaseOf(t.owners[name], order)
	if r := t.runs[order.Ref]; r != nil {
		r.share(key)
		return false
	}
	if reason := t.refusal(now, name, order, key); reason != "" {
		t.noteFrequent(RunRefused, order.Ref, reason)
		t.sendEnd(name, wire.RunEnd{Ref: order.Ref, How: uint8(wire.EndNotRun), Reason: reason})
		return false
	}
	r := &run{order: *order, lease: key, firstSent: now}
	t.runs[order.Ref] = r
	t.sendStart(now, r)
	return true
}

// refusal returns why an order is handed back, or nothing if it is taken: it has to
// fit now. Tasks under which servers have crashed run here one at a time, so that the next
// crash tells which of them is at fault: with two together none is accused, and each ends
// one server more, after all coordinators have lost their memory for it one too many.
func (t *Table) refusal(now time.Time, name string, order *wire.RunOrder, key leaseKey) string {
	switch {
	case !t.valid(now, name, order, key):
		return "no_lease"
	case t.evacuated:
		return "evacuated"
	case !t.canStart():
		return "not_ready"
	case order.Crashes > 0 && t.suspects() > 0:
		return "suspect_there"
	case !order.Need.Fits(t.free()), now.Sub(t.noRoomAt) < noRoomPause:
		return reasonBusy
	case !order.Need.Fits(t.room.Available(name, t.free())):
		return reasonGranted
	}
	return ""
}

func (t *Table) canStart() bool {
	return t.known && t.identity.Ready && t.synced && !t.lapsing && !t.silent && !t.evacuated
}

func (t *Table) sendStart(now time.Time, r *run) {
	t.effects.Starts = append(t.effects.Starts, StartCall{
		Instance:   t.identity.Instance,
		Born:       t.identity.Born,
		Ref:        r.order.Ref,
		Spec:       r.order.Spec,
		Deadline:   t.deadline(now),
		Token:      t.token,
		Checkpoint: r.order.Checkpoint,
	})
}

// StartAnswered tells the table of the answer to a StartCall.
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
		r.before = t.outcomes.speed.Runs()
		r.cold = now.Before(t.coldUntil)
		if r.stop {
			t.sendStop(r)
		}
	case StartUnknown:
		r.unanswered = true
		t.repeatStart(now, r)
	case StartConnectionRefused:
		t.neverSent(now, r)
		t.refused(now)
	case StartRunNumberUsed:
		t.verify(r)
	default:
		t.startRefused(now, r, result)
	}
}

// neverSent ends a run to whose order no connection could be made, unless an earlier copy
// of it may have arrived: the backend server was gone before it, so it did not crash under
// the run.
func (t *Table) neverSent(now time.Time, r *run) {
	if !r.unanswered {
		delete(t.runs, r.order.Ref)
		t.endRun(now, r, wire.EndNotRun, reasonRefused)
	}
}

// repeatStart repeats an order without an answer: the run number makes both one. In an
// evacuated data centre, and where it is no longer wanted, the run is stopped instead.
// A silent backend server gets it when it answers again.
func (t *Table) repeatStart(now time.Time, r *run) {
	if t.silent {
		return
	}
	if t.evacuated || r.stop {
		t.sendStop(r)
		return
	}
	t.noteFrequent(StartRepeated, r.order.Ref, reasonNoAnswer)
	t.sendStart(now, r)
}

// startRefused takes the refusal of an order. If an earlier copy of it had no
// answer, that one may still be carried out, so the run is stopped first.
func (t *Table) startRefused(now time.Time, r *run, result StartResult) {
	if result == StartNoRoom {
		t.noRoomAt = now
	}
	if result == StartFenced {
		t.token = 0
		t.synced = false
	}
	if r.unanswered {
		t.sendStop(r)
		return
	}
	delete(t.runs, r.order.Ref)
	t.endRun(now, r, wire.EndNotRun, result.String())
	t.effects.Renew = true
}

// stopUnansweredStarts stops runs whose start has had no answer for too long. A
// stop for a run that is not there makes its number unusable, so that the start
// cannot be carried out later either.
func (t *Table) stopUnansweredStarts(now time.Time) {
	if t.silent {
		return // the end of its lease will end them
	}
	unanswered := func(r *run) bool {
		return r.state == runStarting && now.Sub(r.firstSent) > t.cfg.StartLimit
	}
	for _, ref := range t.refsWhere(unanswered) {
		t.note(StartUnanswered, ref, reasonStopping)
		t.sendStop(t.runs[ref])
	}
}
