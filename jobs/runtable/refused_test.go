package runtable_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lichenfall/lichenfall/jobs/runtable"
	"github.com/lichenfall/lichenfall/wire"
)

// refuseRenewal has the backend server refuse the connection of a renewal.
func (f *fixture) refuseRenewal() {
	call, ok := f.table.NextRenewal(f.now)
	ExpectWithOffset(1, ok).To(BeTrue())
	f.table.RenewAnswered(f.now, call, runtable.RenewAnswer{Result: runtable.RenewConnectionRefused})
}

// refuseUntilGivenUp refuses every connection until the incarnation is given up. It returns the
// ends that are reported until then.
func (f *fixture) refuseUntilGivenUp() []wire.RunEnd {
	var reported []wire.RunEnd
	for range 200 {
		if call, ok := f.table.NextRenewal(f.now); ok {
			f.table.RenewAnswered(f.now, call, runtable.RenewAnswer{Result: runtable.RenewConnectionRefused})
		}
		f.heartbeat(7)
		f.advance(10 * time.Millisecond)
		e := f.take()
		reported = append(reported, ends(e)...)
		for _, n := range e.Notes {
			if n.What == runtable.BackendLost {
				return reported
			}
		}
	}
	return reported
}

// runningFixture returns a table with a best-effort run that the backend server has started.
func runningFixture() *fixture {
	f := newFixture().ready()
	f.order(0, bestEffortRef)
	f.table.StartAnswered(f.now, f.take().Starts[0], runtable.StartAccepted)
	f.renewLease([]runtable.ListedRun{{Ref: bestEffortRef}})
	return f
}

// TestRefusedConnectionEndsNoRun guards against a task that runs twice because its worker
// reports its run as ended while the backend server refuses connections for a while and still
// runs it.
func TestRefusedConnectionEndsNoRun(t *testing.T) {
	refusals := map[string]func(f *fixture){
		"of a renewal": func(f *fixture) { f.refuseRenewal() },
		"of an order": func(f *fixture) {
			f.order(0, ref(5, wire.BestEffortRun+1))
			f.table.StartAnswered(f.now, f.take().Starts[0], runtable.StartConnectionRefused)
			Expect(ends(f.take())).To(ConsistOf(HaveField("How", uint8(wire.EndNotRun))), "the order never arrived")
		},
	}
	for name, refuse := range refusals {
		t.Run(name, func(t *testing.T) {
			RegisterTestingT(t)
			f := runningFixture()
			refuse(f)
			f.advance(300 * time.Millisecond)
			e := f.take()
			Expect(ends(e)).To(BeEmpty())
			f.order(0, ref(6, wire.BestEffortRun+1))
			Expect(how(ends(f.take())[0])).To(Equal(wire.EndNotRun), "the worker takes no orders meanwhile")
			f.renewLease([]runtable.ListedRun{{Ref: bestEffortRef}})
			f.renewLease(nil, runtable.ListedEnd{Number: 1, Ref: bestEffortRef, Valid: true, How: wire.EndDone})
			Expect(ends(f.take())).To(ConsistOf(HaveField("How", uint8(wire.EndDone))))
		})
	}
}

// TestRefusedConnectionsUntilTheLeaseIsOver guards against a task that waits for ever because
// its backend server refuses connections: no run outlives the lease. It also guards against a job
// that fails for crashes which were none: that the server has crashed is only suspected until another
// incarnation answers, and is taken back if the same one does.
func TestRefusedConnectionsUntilTheLeaseIsOver(t *testing.T) {
	next := map[string]func(f *fixture){
		"another incarnation answers": func(f *fixture) {
			f.table.Identify(f.now, nextIdentity())
			Expect(ends(f.take())).To(ConsistOf(And(HaveField("How", uint8(wire.EndCrashed)), HaveField("Instance", identity.Instance), HaveField("Begun", true))))
		},
		"the same incarnation answers": func(f *fixture) {
			f.table.Identify(f.now, identity)
			Expect(ends(f.take())).To(BeEmpty())
			f.table.Identify(f.now, nextIdentity())
			Expect(ends(f.take())).To(BeEmpty(), "the incarnation ran nothing since")
		},
	}
	for name, follow := range next {
		t.Run(name, func(t *testing.T) {
			RegisterTestingT(t)
			f := runningFixture()
			f.expectSuspectedCrash()
			follow(f)
		})
	}
}

// expectSuspectedCrash has the backend server refuse connections until the lease is over.
func (f *fixture) expectSuspectedCrash() {
	over := f.now.Add(time.Duration(1.02 * float64(f.cfg.BackendLease)))
	var reported []wire.RunEnd
	for len(reported) == 0 && f.now.Before(over.Add(time.Second)) {
		if call, ok := f.table.NextRenewal(f.now); ok {
			f.table.RenewAnswered(f.now, call, runtable.RenewAnswer{Result: runtable.RenewConnectionRefused})
		}
		f.sendHeartbeat(owner)
		f.advance(20 * time.Millisecond)
		reported = ends(f.take())
	}
	Expect(reported).To(ConsistOf(And(HaveField("How", uint8(wire.EndSuspected)), HaveField("Instance", identity.Instance))))
	Expect(f.now).To(BeTemporally(">", over))
	Expect(f.now).To(BeTemporally("<", over.Add(200*time.Millisecond)))
	Expect(f.table.Identity().Ready).To(BeFalse(), "without runs the incarnation is given up")
}
