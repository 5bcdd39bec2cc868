package promises

import (
	"time"

	"github.com/lichenfall/lichenfall/jobs/claims"
	"github.com/lichenfall/lichenfall/jobs/runtable"
	"github.com/lichenfall/lichenfall/lib/ordered"
	"github.com/lichenfall/lichenfall/wire"
)

// workerNode is a worker with its backend server.
type workerNode struct {
	process
	table   *runtable.Table
	backend *backendNode
	conns   map[string]*conn
	witness *claims.Witness
	// claimLinks are the open links of coordinators to it as a witness.
	claimLinks []*claimLink

	dataCentre string
	troubledAt time.Time // when the process or its links last had a fault
}

func newWorkerNode(w *world, name, dataCentre string) *workerNode {
	n := &workerNode{process: process{w: w, name: name}, dataCentre: dataCentre, backend: newBackendNode(w)}
	n.start()
	return n
}

// receiveHeartbeats posts the heartbeats of the backend server to the worker, one each 500 ms. Some
// are delayed, also beyond the end of the incarnation that sent them.
func (n *workerNode) receiveHeartbeats() {
	if n.backend.up {
		report := n.backend.report(n.name)
		receive := func() {
			if n.alive {
				n.post(n.incarnation, func() { n.table.Reported(n.now(), report); n.perform() })
			}
		}
		if n.w.chance(n.backend.lateReportShare) {
			n.w.counts["late heartbeats"]++
			n.w.after(n.w.between(100*time.Millisecond, 8*time.Second), receive)
		} else {
			receive()
		}
	}
	n.later(500*time.Millisecond, n.receiveHeartbeats)
}

// probe asks the backend server whether it is the incarnation that the call names.
func (n *workerNode) probe(call runtable.RenewCall) {
	n.renew(call, func(a runtable.RenewAnswer) {
		n.table.ProbeAnswered(n.now(), call, a.Result)
		n.perform()
	})
}

// renewLoop sends one renewal of the backend server's lease after another.
func (n *workerNode) renewLoop() {
	call, ok := n.table.NextRenewal(n.now())
	if !ok {
		n.perform()
		n.later(50*time.Millisecond, n.renewLoop)
		return
	}
	next := n.once(func() { n.later(15*time.Millisecond, n.renewLoop) })
	answered := false
	n.renew(call, func(a runtable.RenewAnswer) {
		answered = true
		n.table.RenewAnswered(n.now(), call, a)
		n.perform()
		next()
	})
	n.later(n.w.renewWait(call)+call.OverdueAfter, func() {
		if !answered {
			n.w.counts["overdue renewals"]++
			n.table.RenewOverdue(call)
			next()
		}
	})
}

// once returns a function that calls do the first time that it is called.
func (n *workerNode) once(do func()) func() {
	called := false
	return func() {
		if !called {
			called = true
			do()
		}
	}
}

// renew simulates a renewal. answered is called once: with the answer, or with the zero answer
// after the time limit of the call.
func (n *workerNode) renew(call runtable.RenewCall, answered func(runtable.RenewAnswer)) {
	done := false
	awaitFinal := func(a runtable.RenewAnswer) {
		if done {
			return
		}
		done = true
		answered(a)
	}
	execute := func() runtable.RenewAnswer {
		if !n.backend.up {
			return runtable.RenewAnswer{Result: runtable.RenewConnectionRefused}
		}
		return n.backend.renew(call, n.name)
	}
	n.callBackendWaiting(n.w.renewWait(call), execute, awaitFinal)
	n.later(n.w.renewWait(call)+n.w.runs.CallLimit.D(), func() { awaitFinal(runtable.RenewAnswer{}) })
}

// callBackend simulates a call to the backend server, whose answer may be lost and which may be
// executed late.
func (n *workerNode) callBackend(execute func() runtable.RenewAnswer, answer func(runtable.RenewAnswer)) {
	n.callBackendWaiting(0, execute, answer)
}

// callBackendWaiting simulates a call that the backend server holds for the time wait; the answer
// then has the state at the end of the wait.
func (n *workerNode) callBackendWaiting(wait time.Duration, execute func() runtable.RenewAnswer, answer func(runtable.RenewAnswer)) {
	if n.w.chance(n.backend.lateShare) {
		n.w.counts["late orders"]++
		incarnation := n.backend.incarnation
		n.w.after(n.w.between(time.Millisecond, 8*time.Second), func() {
			// A restarted server has nothing of the former incarnation, nor the orders that the
			// former one had not executed.
			if n.backend.up && n.backend.incarnation == incarnation {
				execute()
			}
		})
		return
	}
	if n.w.silentCrashes && !n.backend.up {
		n.w.counts["calls without an answer"]++
		return
	}
	if n.backend.silent {
		n.w.counts["calls without an answer"]++
		if n.w.chance(0.5) {
			n.w.after(n.w.between(100*time.Microsecond, 2*time.Millisecond), func() { execute() })
		}
		return
	}
	inc := n.incarnation
	there := n.w.between(100*time.Microsecond, 2*time.Millisecond)
	if n.w.reorderCalls && n.w.chance(reorderShare) {
		there = n.w.between(0, maxReorderDelay)
	}
	n.w.after(there, func() {
		if n.backend.refusesConnections {
			n.w.counts["refused connections"]++
			n.w.after(500*time.Microsecond, func() { n.post(inc, func() { answer(runtable.RenewAnswer{Result: runtable.RenewConnectionRefused}) }) })
			return
		}
		a := execute()
		back := 500 * time.Microsecond
		if n.w.reorderCalls && n.w.chance(reorderShare) {
			back = n.w.between(0, maxReorderDelay)
		}
		if n.backend.slowAnswerShare > 0 && n.w.chance(n.backend.slowAnswerShare) {
			back = n.w.between(time.Millisecond, 55*time.Millisecond) // other answers overtake it
		}
		if wait == 0 {
			n.w.after(back, func() { n.post(inc, func() { answer(a) }) })
			return
		}
		n.w.after(wait, func() {
			a := execute()
			n.w.after(back, func() { n.post(inc, func() { answer(a) }) })
		})
	})
}

// startRun sends an order to start a run. Its result is unknown after the time limit of the call.
func (n *workerNode) startRun(call runtable.StartCall) {
	const orderInTime = 100 * time.Millisecond // an order that is executed later is late
	ordered := n.w.now
	done := false
	var result runtable.StartResult
	awaitFinal := func(r runtable.StartResult) {
		if done {
			return
		}
		done = true
		n.table.StartAnswered(n.now(), call, r)
		n.perform()
	}
	n.callBackend(func() runtable.RenewAnswer {
		if n.backend.up {
			result = n.backend.start(call, n.name)
			if result == runtable.StartAccepted && n.w.now.Sub(ordered) < orderInTime {
				n.w.checkEvacuated(n, call.Ref)
			}
		}
		return runtable.RenewAnswer{}
	}, func(a runtable.RenewAnswer) {
		if a.Result == runtable.RenewConnectionRefused {
			result = runtable.StartConnectionRefused
		}
		awaitFinal(result)
	})
	n.later(n.w.runs.CallLimit.D(), func() { awaitFinal(runtable.StartUnknown) })
}

// stopRun sends an order to stop a run. It has failed after the time limit of the call.
func (n *workerNode) stopRun(call runtable.StopCall) {
	done := false
	awaitFinal := func(ok bool) {
		if done {
			return
		}
		done = true
		n.table.StopAnswered(n.now(), call, ok)
		n.perform()
	}
	answered := false
	execute := func() runtable.RenewAnswer {
		if n.backend.up {
			n.backend.stop(call, n.name)
			answered = true
		}
		return runtable.RenewAnswer{}
	}
	if n.backend.lateStops {
		n.w.after(n.w.between(time.Second, 4*time.Second), func() { execute() })
		n.later(n.w.runs.CallLimit.D(), func() { awaitFinal(false) })
		return
	}
	n.callBackend(execute, func(runtable.RenewAnswer) { awaitFinal(answered) })
	n.later(n.w.runs.CallLimit.D(), func() { awaitFinal(false) })
}

// removeConn closes the worker's end of a connection.
func (n *workerNode) removeConn(c *conn) {
	if n.conns[c.name] == c {
		delete(n.conns, c.name)
		n.table.OwnerDown(n.now(), c.name)
		n.perform()
	}
}

// start begins a new incarnation, which has nothing of the former one.
func (n *workerNode) start() {
	n.alive, n.paused, n.stalled = true, false, false
	n.incarnation++
	n.inbox, n.tickDue = nil, nil
	n.handling, n.performFunc = false, n.perform
	n.newClock()
	n.onResume = func(now time.Time, suspended time.Duration) {
		n.table.Resumed(now, suspended)
		n.witness.Stalled(now, suspended)
	}
	n.table = runtable.New(n.w.runs.Core(n.dataCentre), n.now())
	n.witness = claims.NewWitness(n.now(), n.w.runs.ClaimLease())
	n.onStall, n.lastHandled = func(now time.Time, by time.Duration) { n.witness.Stalled(now, by) }, time.Time{}
	n.conns = make(map[string]*conn)
	n.later(n.w.between(0, 100*time.Millisecond), n.receiveHeartbeats)
	n.nextTick(n.tick)
	n.later(5*time.Millisecond, n.renewLoop)
	n.followOperators()
}

// kill ends the process. Its connections break; its backend server runs on.
func (n *workerNode) kill() {
	n.alive = false
	n.endClaimLinks()
	for _, c := range ordered.Values(n.conns) {
		c.closed = true
	}
}

func (n *workerNode) tick() {
	n.table.Tick(n.now())
	n.witness.Tick(n.now())
	n.perform()
	n.nextTick(n.tick)
}

// perform carries out the effects of the table's decisions, after the batch if one is being
// handled.
func (n *workerNode) perform() {
	if n.handling {
		return
	}
	e := n.table.Take(n.now())
	for _, note := range e.Notes {
		n.w.trace(n.fullName(), note.Ref.Task.String(), "%s run %d %s", note.What, note.Ref.Run, note.Reason)
		if note.What == runtable.RunRefused && note.Reason == "stale_view" {
			n.w.counts["orders of an earlier view"]++
		}
		switch note.What {
		case runtable.GrantMade:
			n.w.counts["grants"]++
		case runtable.GrantLapsed:
			n.w.counts["grants lapsed"]++
		}
	}
	for _, s := range e.Sends {
		if c := n.conns[s.Owner]; c != nil {
			c.toCoordinator(s.Message)
		}
	}
	for _, call := range e.Starts {
		n.startRun(call)
	}
	for _, call := range e.Stops {
		n.stopRun(call)
	}
	if e.Probe != nil {
		n.probe(*e.Probe)
	}
}

func (n *workerNode) message(c *conn, m wire.Message) {
	switch m := m.(type) {
	case *wire.OwnerHeartbeat:
		n.table.Heartbeat(n.now(), c.name, m)
	case *wire.StartRuns:
		n.table.Start(n.now(), c.name, m)
	case *wire.CapacityRequest:
		n.w.counts["capacity requests"]++
		n.table.RequestCapacity(n.now(), c.name, m)
	case *wire.StopRuns:
		n.table.Stop(n.now(), c.name, m)
	case *wire.EndsKept:
		for _, r := range m.Runs {
			n.w.trace(n.fullName(), r.Task.String(), "end of run %d stored by %s", r.Run, c.name)
		}
		n.table.AcknowledgeEnds(n.now(), c.name, m)
	case *wire.RunNeeds:
		n.table.SetNeeds(n.now(), c.name, m)
	case *wire.RunsQuery:
		n.table.QueryRuns(n.now(), c.name, m)
	}
	n.perform()
}
