package runtable

import (
	"time"

	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/wire"
)

// StartAnswered tells the table of the answer to a StartCall.
func (t *Table) StartAnswered(now time.Time, call StartCall, result StartResult) {
	r := t.runs[call.Ref]
	if r == nil || call.Instance != t.identity.Instance || r.state != runStarting {
		return
	}
	switch result {
	case StartAccepted:
		r.state = runRunning
		r.started = now
		if r.stop {
			t.sendStop(r)
		}
	case StartUnknown:
		r.unanswered = true
		t.resend(now, r)
	case StartDead:
		t.lifeOver(now, "connection_refused")
	case StartOld:
		t.resolveLater(r)
	default:
		t.refused(now, r, result)
	}
}

// resend repeats an order without an answer: the run number makes both one. A
// silent backend server gets it when it answers again.
func (t *Table) resend(now time.Time, r *run) {
	if t.silent {
		return
	}
	t.noteUsual("start_repeated", r.order.Ref, "no_answer")
	t.sendStart(now, r)
}

// resolveLater waits for a hold that is sent from now on.
func (t *Table) resolveLater(r *run) {
	r.state = runResolving
	r.resolve = t.holdSeq
	t.effects.Hold = true
}

// refused takes the refusal of an order. If an earlier copy of it had no answer,
// that one may still be carried out, so the run is sealed.
func (t *Table) refused(now time.Time, r *run, result StartResult) {
	if result == StartNoRoom {
		t.noRoomAt = now
	}
	if result == StartFenced {
		t.token = 0
		t.firstHold = false
	}
	if r.unanswered {
		t.sendStop(r)
		return
	}
	delete(t.runs, r.order.Ref)
	t.endRun(now, r, wire.EndNotRun, result.String())
	t.effects.Hold = true
}

// StopAnswered tells the table whether a StopCall was answered.
func (t *Table) StopAnswered(_ time.Time, call StopCall, answered bool) {
	r := t.runs[call.Ref]
	if r == nil || call.Instance != t.identity.Instance || r.state != runStopping {
		return
	}
	if !answered {
		if !t.silent {
			t.sendStop(r)
		}
		return
	}
	t.resolveLater(r)
}

// NextHold returns the next HoldCall; ok is false when none may be made now.
func (t *Table) NextHold(now time.Time) (call HoldCall, ok bool) {
	t.expire(now)
	t.finishLapse(now)
	if !t.known || t.lapsing {
		return HoldCall{}, false
	}
	t.holdSeq++
	call = HoldCall{Instance: t.identity.Instance, Seq: t.holdSeq, Token: t.token, LastSeen: t.acked}
	if t.token == 0 {
		return call, true
	}
	call.Deadline = t.deadline(now)
	if t.firstHold {
		call.Wait = t.cfg.HoldRenew
	}
	return call, true
}

// HoldAnswered tells the table of the answer to a HoldCall.
func (t *Table) HoldAnswered(now time.Time, call HoldCall, a HoldAnswer) {
	if call.Instance != t.identity.Instance || !t.known {
		return
	}
	switch a.Result {
	case HoldDead:
		t.lifeOver(now, "connection_refused")
		return
	case HoldWrongLife:
		t.lifeOver(now, "wrong_life")
		return
	case HoldUnknown:
		return
	case HoldFenced:
		t.setClock(now, a.Clock)
		t.newToken()
		return
	}
	t.setClock(now, a.Clock)
	t.checkSilence(now)
	if call.Token == 0 {
		t.newToken()
		return
	}
	if call.Token != t.token || t.lapsing {
		return
	}
	t.listed(now, call, &a)
}

// newToken takes a fencing token above that of any earlier process here: the
// backend server's clock, which all of them took theirs from.
func (t *Table) newToken() {
	t.token = uint64(max(1, t.clock.Milliseconds()))
	t.effects.Hold = true
}

func (t *Table) setClock(now time.Time, clock time.Duration) {
	if clock > t.clock {
		t.clock, t.clockAt = clock, now
	}
}

// listed takes the lists of an answered hold.
func (t *Table) listed(now time.Time, call HoldCall, a *HoldAnswer) {
	running := make(map[wire.RunRef]bool, len(a.Running))
	for _, l := range a.Running {
		running[l.Ref] = true
	}
	for i := range a.Ended {
		t.ended(now, &a.Ended[i])
	}
	if !t.firstHold {
		t.adopt(now, a.Running)
		t.firstHold = true
		t.adopted = now
		t.tellAll()
		t.touchAll()
	}
	t.resolve(now, call.Seq, running)
	t.forget()
}

// adopt takes over what an earlier process here started.
func (t *Table) adopt(now time.Time, running []ListedRun) {
	for _, l := range running {
		if t.runs[l.Ref] != nil {
			continue
		}
		need := durable.Resources{CPU: t.identity.Capacity.CPU / adoptedShare}
		t.runs[l.Ref] = &run{
			order:   wire.RunOrder{Ref: l.Ref, Need: need},
			scope:   t.firstScope(l.Ref),
			state:   runRunning,
			started: now,
		}
		t.note("run_adopted", l.Ref, "")
	}
}

// adoptedShare is the share of the capacity, as a divisor, that a run is
// thought to take whose need died with an earlier process.
const adoptedShare = 10

// ended takes one listed end.
func (t *Table) ended(now time.Time, l *ListedEnd) {
	if l.Number <= t.seen {
		return
	}
	if len(t.ends) == 0 {
		// What came before the first end that is listed is forgotten there.
		t.acked = l.Number - 1
	}
	t.seen = l.Number
	e := &end{number: l.Number, kept: !l.Valid}
	t.ends[l.Number] = e
	if !l.Valid {
		return
	}
	e.scope = t.firstScope(l.Ref)
	e.told = wire.RunEnd{Ref: l.Ref, How: uint8(l.How), Checkpoint: l.Checkpoint}
	if r := t.runs[l.Ref]; r != nil {
		e.scope = r.scope
		e.told.RunMS = r.age(now)
		if r.straggled && l.How == wire.EndStopped {
			e.told.How = uint8(wire.EndStraggled)
		}
		delete(t.runs, l.Ref)
		t.touchAll()
	}
	if e.scope.member != "" {
		// Nothing is kept of a best-effort job: the end may be forgotten.
		e.kept = true
		t.recent[l.Ref] = recentEnd{e.told, now}
	}
	if p := t.scopes[e.scope]; p != nil && p.told {
		t.tell(p.owner, e.told)
	}
}

// resolve decides what became of sealed runs: a hold that was sent after the
// seal shows neither the run nor its end, so it never ran.
func (t *Table) resolve(now time.Time, seq uint64, running map[wire.RunRef]bool) {
	for _, ref := range t.refs() {
		r := t.runs[ref]
		if r.state != runResolving || seq <= r.resolve {
			continue
		}
		if running[ref] {
			r.state = runRunning
			continue
		}
		delete(t.runs, ref)
		t.endRun(now, r, wire.EndNotRun, "sealed")
	}
}
