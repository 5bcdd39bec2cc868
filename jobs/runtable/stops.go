package runtable

import (
	"slices"
	"time"

	"github.com/lichenfall/lichenfall/wire"
)

// Stop takes the orders of a coordinator to stop runs.
func (t *Table) Stop(now time.Time, name string, m *wire.StopRuns) {
	t.expireLeases(now)
	for _, ref := range m.Runs {
		if r := t.runs[ref]; r != nil && t.orderedBy(r, name) {
			t.stopRun(now, r)
		}
	}
}

// orderedBy returns whether the run is that of the coordinator on the connection.
func (t *Table) orderedBy(r *run, name string) bool {
	owned := func(key leaseKey) bool { return t.leases[key] != nil && t.leases[key].owner == name }
	return owned(r.lease) || slices.ContainsFunc(r.also, owned)
}

func (t *Table) stopRun(now time.Time, r *run) {
	switch r.state {
	case runStarting:
		r.stop = true
	case runRunning:
		t.sendStop(r)
	}
}

func (t *Table) sendStop(r *run) {
	r.state = runStopping
	t.orderStop(r.order.Ref)
}

// orderStop has the backend server stop a run in the life in force.
func (t *Table) orderStop(ref wire.RunRef) {
	t.effects.Stops = append(t.effects.Stops, StopCall{Instance: t.identity.Instance, Born: t.identity.Born, Ref: ref, Token: t.token})
}

// StopAnswered tells the table whether a StopCall was answered.
func (t *Table) StopAnswered(now time.Time, call StopCall, answered bool) {
	if !answered {
		t.unansweredAt = now
	}
	r := t.runs[call.Ref]
	if r == nil || call.Incarnation() != t.identity.Incarnation() || r.state != runStopping {
		return
	}
	if answered {
		t.verify(r)
		return
	}
	if !t.silent {
		t.sendStop(r)
	}
}

// verify leaves it to a list that is asked for from now on what became of the
// run.
func (t *Table) verify(r *run) {
	r.state = runVerifying
	r.verifyAfter = t.renewSeq
	t.effects.Renew = true
}

// resolveVerified decides what became of stopped runs: a list that was asked for
// after the stop and shows neither the run nor its end proves that it never ran.
func (t *Table) resolveVerified(now time.Time, seq uint64, running map[wire.RunRef]bool) {
	verified := func(r *run) bool { return r.state == runVerifying && seq > r.verifyAfter }
	for _, ref := range t.refsWhere(verified) {
		r := t.runs[ref]
		if running[ref] {
			r.state = runRunning
			continue
		}
		delete(t.runs, ref)
		if r.lost != nil {
			t.endLost(now, r)
			continue
		}
		t.endRun(now, r, wire.EndNotRun, reasonSealed)
	}
}

// stopStragglers stops runs that are over their limit, or will be at their present pace,
// and would end clearly sooner elsewhere. The limit comes with the order and counts from the
// start. A backend server that turns slow or stands still is left so after one or two paces
// and not when the limit has passed: a task of 200 ms after some 80 ms in place of 750.
func (t *Table) stopStragglers(now time.Time) {
	straggles := func(r *run) bool {
		return r.state == runRunning && r.limit() != 0 && r.expected(now) > r.limit() && r.left(now) > r.anew()
	}
	for _, ref := range t.refsWhere(straggles) {
		r := t.runs[ref]
		t.note(StragglerStopped, ref, r.pace(now))
		r.straggled = true
		t.sendStop(r)
	}
}
