package runtable

import (
	"slices"
	"time"

	"github.com/lichenfall/lichenfall/wire"
)

// Stop handles the orders of a coordinator to stop runs.
func (t *Table) Stop(now time.Time, conn string, m *wire.StopRuns) {
	t.expireLeases(now)
	for _, ref := range m.Runs {
		if r := t.runs[ref]; r != nil && t.ownedBy(r, conn) {
			t.stopRun(now, r)
		}
	}
}

// ownedBy returns whether the coordinator on the connection owns the run.
func (t *Table) ownedBy(r *run, conn string) bool {
	owned := func(key leaseKey) bool { return t.leases[key] != nil && t.leases[key].conn == conn }
	return owned(r.lease) || slices.ContainsFunc(r.coOwners, owned)
}

func (t *Table) stopRun(now time.Time, r *run) {
	switch r.state {
	case runStarting:
		r.stopOnceStarted = true
	case runRunning:
		t.sendStop(r)
	}
}

func (t *Table) sendStop(r *run) {
	r.state = runStopping
	t.addStopCall(r.order.Ref)
}

// addStopCall adds a call that stops a run in the incarnation in force.
func (t *Table) addStopCall(ref wire.RunRef) {
	t.effects.Stops = append(t.effects.Stops, StopCall{Instance: t.identity.Instance, Born: t.identity.Born, Ref: ref, Token: t.token})
}

// StopAnswered handles the outcome of a StopCall.
func (t *Table) StopAnswered(now time.Time, call StopCall, answered bool) {
	if !answered {
		t.unansweredAt = now
	}
	r := t.runs[call.Ref]
	if r == nil || call.Incarnation() != t.identity.Incarnation() || r.state != runStopping {
		return
	}
	if answered {
		t.verifyByList(r)
		return
	}
	if !t.silent {
		t.sendStop(r)
	}
}

// verifyByList leaves it to the first list that is requested from now on to show what became of
// a stopped run.
func (t *Table) verifyByList(r *run) {
	r.state = runVerifying
	r.verifyAfter = t.renewSeq
	t.effects.Renew = true
}

// resolveVerified decides what became of stopped runs, by a whole list. One that was requested after
// the stop and shows neither the run nor its end proves that the run never started.
func (t *Table) resolveVerified(now time.Time, seq uint64, running map[wire.RunRef]bool) {
	verified := func(r *run) bool { return r.state == runVerifying && seq > r.verifyAfter }
	for _, ref := range t.refsWhere(verified) {
		r := t.runs[ref]
		if running[ref] {
			r.state = runRunning
			continue
		}
		delete(t.runs, ref)
		if r.earlierEnd != nil {
			t.reportEarlierEnd(now, r)
			continue
		}
		t.endRun(now, r, wire.EndNotRun, reasonSealed)
	}
}

// stopStragglers stops runs that exceed their limit, or will at their present pace, and would
// end clearly sooner elsewhere. The limit is part of the order and counts from the start. By the
// pace, a backend server that slows down or stalls is detected after one or two measurements
// instead of at the limit: with a task of 200 ms, after some 80 ms instead of 750.
func (t *Table) stopStragglers(now time.Time) {
	straggles := func(r *run) bool {
		return r.state == runRunning && !r.over() && r.limit() != 0 && r.expected(now) > r.limit() && r.remaining(now) > r.restartTime()
	}
	for _, ref := range t.refsWhere(straggles) {
		r := t.runs[ref]
		t.note(StragglerStopped, ref, r.paceText(now))
		r.straggled = true
		t.sendStop(r)
	}
}
