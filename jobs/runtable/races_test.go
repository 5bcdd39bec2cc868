package runtable_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lichenfall/lichenfall/config"
	"github.com/lichenfall/lichenfall/jobs/runtable"
	"github.com/lichenfall/lichenfall/wire"
)

// These tests share one premise: when the owner of a best-effort run is sent its end, or writes
// the run off, it orders the task elsewhere. By then the run must be over, and no duplicate of
// its order may start it later.

var bestEffortRef = ref(0, wire.BestEffortRun+1)

// sendOrderTwice leaves two duplicates of one order in transit: the backend server answers again
// after a silence, and the order that has no answer is resent.
func sendOrderTwice(f *fixture) (first, second runtable.StartCall) {
	f.renewLease(nil)
	f.advance(f.cfg.SilentAfter.D() - 10*time.Millisecond)
	f.order(0, bestEffortRef)
	starts := f.take().Starts
	Expect(starts).To(HaveLen(1))
	f.advance(20 * time.Millisecond) // silent now; the first order has 40 ms left
	f.renewLease(nil)
	again := f.take().Starts
	Expect(again).To(HaveLen(1))
	return starts[0], again[0]
}

// TestRefusedDuplicateOrder guards against reporting a run as not run because one duplicate of
// its order was refused, while the other is still in transit. That one starts a run which the
// table does not have.
func TestRefusedDuplicateOrder(t *testing.T) {
	for _, refusal := range []runtable.StartResult{runtable.StartNoRoom, runtable.StartUnhealthy, runtable.StartLeaseExpired, runtable.StartConnectionRefused} {
		for _, firstIsRefused := range []bool{true, false} {
			RegisterTestingT(t)
			f := newFixture().ready()
			refused, other := sendOrderTwice(f)
			if !firstIsRefused {
				refused, other = other, refused
			}
			f.table.StartAnswered(f.now, refused, refusal)
			for _, e := range ends(f.take()) {
				if how(e) == wire.EndNotRun {
					t.Errorf("refusal %v, of the first order: %v: the owner is sent the end %q", refusal, firstIsRefused, e.Reason)
				}
			}
			f.table.StartAnswered(f.now, other, runtable.StartAccepted)
		}
	}
}

// startIncarnation starts an incarnation of the backend server whose instance ID is reused.
func (f *fixture) startIncarnation(born int64) {
	id := identity
	id.Born = born
	f.table.Identify(f.now, id)
	f.renewLease(nil)
	f.renewLease(nil)
}

// restartingFixture returns a ready table beside a backend server that has the same instance ID
// in each incarnation.
func restartingFixture(born int64) *fixture {
	f := newFixture()
	f.startIncarnation(born)
	f.table.OwnerUp(f.now, owner, member)
	f.heartbeat(7)
	f.take()
	return f
}

// TestRefusedDuplicateBeforeNextIncarnation guards against ending a run because one duplicate of
// its order was refused, while the other may still reach the next incarnation, which has the
// same instance ID.
func TestRefusedDuplicateBeforeNextIncarnation(t *testing.T) {
	RegisterTestingT(t)
	f := restartingFixture(1000)
	first, second := sendOrderTwice(f)
	f.table.StartAnswered(f.now, first, runtable.StartUnknown)
	third := f.take().Starts[0]
	Expect(f.refuseUntilGivenUp()).To(BeEmpty())
	f.table.StartAnswered(f.now, third, runtable.StartConnectionRefused)
	f.table.StartAnswered(f.now, second, runtable.StartConnectionRefused)
	Expect(ends(f.take())).To(BeEmpty(), "the first order may still be carried out")
	f.startIncarnation(2000)
	Expect(f.take().Stops).To(HaveLen(1))
}

// writeOffTime returns when, on the backend server's clock, an owner that sends its last
// heartbeat now writes off the runs of a worker that it cannot reach, and orders their tasks
// elsewhere.
func writeOffTime(f *fixture) time.Duration {
	s := config.DefaultScheduler()
	return f.clock() + s.Core("dc").BestEffortWriteOff
}

// TestOrderRepeatedAfterTheOwnersLease guards against resending an unanswered order under a new
// deadline while the backend server's lease is to lapse.
func TestOrderRepeatedAfterTheOwnersLease(t *testing.T) {
	RegisterTestingT(t)
	f := newFixture().ready()
	f.heartbeat(7)
	writtenOff := writeOffTime(f)
	f.advanceRenewing(f.cfg.BestEffortLease.D() - 10*time.Millisecond)
	f.order(0, bestEffortRef)
	call := f.take().Starts[0]
	last, step := call.Deadline, 20*time.Millisecond
	for n := 1; n < 60; n++ {
		if renewal, ok := f.table.NextRenewal(f.now); ok {
			f.table.RenewAnswered(f.now, renewal, runtable.RenewAnswer{Result: runtable.RenewOK, Clock: f.clock()})
		}
		f.advance(step)
		if n%4 == 0 { // the timeout of a call and the pause after it
			f.table.StartAnswered(f.now, call, runtable.StartUnknown)
		}
		for _, c := range f.take().Starts {
			call, last = c, c.Deadline
		}
	}
	if last > writtenOff {
		t.Errorf("ordered until %v after the write-off", last-writtenOff)
	}
}

// TestUnwantedOrderIsNotRepeated guards against resending the order of a run that is to be
// stopped, by its owner or because the owner's lease has expired.
func TestUnwantedOrderIsNotRepeated(t *testing.T) {
	for name, unwanted := range map[string]func(f *fixture){
		"stopped":    func(f *fixture) { f.table.Stop(f.now, owner, &wire.StopRuns{Runs: []wire.RunRef{bestEffortRef}}) },
		"lease over": func(f *fixture) { f.advanceRenewing(f.cfg.BestEffortLease.D()/2 + time.Millisecond) },
	} {
		t.Run(name, func(t *testing.T) {
			RegisterTestingT(t)
			f := newFixture().ready()
			f.advanceRenewing(f.cfg.BestEffortLease.D() / 2)
			f.order(0, bestEffortRef)
			call := f.take().Starts[0]
			unwanted(f)
			f.table.StartAnswered(f.now, call, runtable.StartUnknown)
			e := f.take()
			Expect(e.Starts).To(BeEmpty())
			Expect(e.Stops).To(HaveLen(1))
			f.table.StopAnswered(f.now, e.Stops[0], true)
			f.renewLease(nil)
			Expect(ends(f.take())).To(ConsistOf(HaveField("Reason", "sealed")))
		})
	}
}

// lastDeadline returns the latest lease end that is requested until the table reports the runs
// as lapsed, or for 5 s, of a backend server that answers renewals but no stops.
func lastDeadline(f *fixture, running []runtable.ListedRun) time.Duration {
	last := time.Duration(0)
	for range 250 {
		if renewal, ok := f.table.NextRenewal(f.now); ok {
			last = max(last, renewal.Deadline)
			f.table.RenewAnswered(f.now, renewal, runtable.RenewAnswer{Result: runtable.RenewOK, Clock: f.clock(), Running: running})
		}
		e := f.take()
		for _, c := range e.Stops {
			f.table.StopAnswered(f.now, c, false)
		}
		for _, n := range e.Notes {
			if n.What == runtable.LeaseLapsed {
				return last
			}
		}
		f.advance(20 * time.Millisecond)
	}
	return last
}

// TestOwnersLeaseExpiryNoticedLate guards against counting the grace from when the expiry of the
// owner's lease is noticed. A stalled control goroutine would then renew for too long, by the
// length of the stall.
func TestOwnersLeaseExpiryNoticedLate(t *testing.T) {
	RegisterTestingT(t)
	f := newFixture().ready()
	f.heartbeat(7)
	writtenOff := writeOffTime(f)
	f.order(0, bestEffortRef)
	f.table.StartAnswered(f.now, f.take().Starts[0], runtable.StartAccepted)
	f.advanceRenewing(f.cfg.BestEffortLease.D() - 10*time.Millisecond)
	f.now = f.now.Add(600 * time.Millisecond) // the control goroutine is stalled
	if last := lastDeadline(f, []runtable.ListedRun{{Ref: bestEffortRef}}); last > writtenOff {
		t.Errorf("kept alive until %v after the write-off", last-writtenOff)
	}
}

// TestRunStoppedInTimeFreesTheLease guards against a backend server's lease that stays limited
// by the expiry of one owner's lease although that owner's run was stopped in time.
func TestRunStoppedInTimeFreesTheLease(t *testing.T) {
	RegisterTestingT(t)
	f := newFixture().ready()
	f.order(0, bestEffortRef)
	f.table.StartAnswered(f.now, f.take().Starts[0], runtable.StartAccepted)
	f.advanceRenewing(f.cfg.BestEffortLease.D() - 10*time.Millisecond)
	f.now = f.now.Add(600 * time.Millisecond) // the control goroutine is stalled
	bounded := f.renewLease([]runtable.ListedRun{{Ref: bestEffortRef}})
	Expect(f.take().Stops).To(HaveLen(1))
	f.renewLease(nil, runtable.ListedEnd{Number: 1, Ref: bestEffortRef, Valid: true, How: wire.EndStopped})
	Expect(bounded.Deadline).To(BeNumerically("<", f.clock()+f.cfg.BackendLease.D()))
	Expect(f.renewLease(nil).Deadline).To(Equal(f.clock() + f.cfg.BackendLease.D()))
	f.advance(f.cfg.StopGrace.D())
	_, ok := f.table.NextRenewal(f.now)
	Expect(ok).To(BeTrue(), "the lease does not lapse")
}

// TestAdoptedRunThatCannotBeStopped guards against renewing the lease for ever under a run that
// an earlier process ordered, that no coordinator queries, and that no stop reaches.
func TestAdoptedRunThatCannotBeStopped(t *testing.T) {
	RegisterTestingT(t)
	f := newFixture()
	writtenOff := writeOffTime(f) // the earlier process ends now
	running := []runtable.ListedRun{{Ref: bestEffortRef}}
	f.table.Identify(f.now, identity)
	f.renewLease(running)
	f.renewLease(running)
	if last := lastDeadline(f, running); last > writtenOff {
		t.Errorf("kept alive until %v after the write-off", last-writtenOff)
	}
}

// TestAdoptedRunOutlivesNoWriteOff guards against a new process that keeps a run alive after the
// run's owner has written it off. The owner's last heartbeat came before the earlier process ended.
func TestAdoptedRunOutlivesNoWriteOff(t *testing.T) {
	RegisterTestingT(t)
	f := newFixture()
	writtenOff := writeOffTime(f) - f.cfg.BestEffortLease.D()
	f.now = f.now.Add(600 * time.Millisecond) // until the new process has started
	running := []runtable.ListedRun{{Ref: bestEffortRef}}
	f.table.Identify(f.now, identity)
	last := max(f.renewLease(running).Deadline, f.renewLease(running).Deadline)
	if last = max(last, lastDeadline(f, running)); last > writtenOff {
		t.Errorf("kept alive until %v after the write-off", last-writtenOff)
	}
}

// TestClaimedRunIsRenewed guards against a lease that stays limited by a run which has been
// claimed.
func TestClaimedRunIsRenewed(t *testing.T) {
	RegisterTestingT(t)
	f := newFixture()
	f.table.Identify(f.now, identity)
	f.renewLease(nil)
	f.renewLease([]runtable.ListedRun{{Ref: bestEffortRef}})
	f.table.OwnerUp(f.now, owner, member)
	f.heartbeat(7)
	f.table.QueryRuns(f.now, owner, &wire.RunsQuery{Runs: []wire.RunRef{bestEffortRef}})
	Expect(f.renewLease(nil).Deadline).To(Equal(f.clock() + f.cfg.BackendLease.D()))
	f.advanceRenewing(f.cfg.AdoptionTimeout.D() + f.cfg.StopGrace.D())
	e := f.take()
	Expect(e.Stops).To(BeEmpty())
	Expect(e.Notes).NotTo(ContainElement(HaveField("What", runtable.LeaseLapsing)))
}

// TestLeaseRequestedAfterSuspension guards against counting a suspension of the box on the
// backend server's clock, which may have stood still, in the first renewal after it. The lease
// would last longer than the worker assumes, by the length of the suspension.
func TestLeaseRequestedAfterSuspension(t *testing.T) {
	const suspended = 3 * time.Second
	RegisterTestingT(t)
	f := newFixture().ready()
	f.renewLease(nil)
	clock := f.clock() // of a backend server that was suspended too
	f.now = f.now.Add(suspended)
	f.table.Resumed(f.now, suspended)
	renewal, ok := f.table.NextRenewal(f.now)
	Expect(ok).To(BeTrue())
	if lease := renewal.Deadline - clock; lease > f.cfg.BackendLease.D() {
		t.Errorf("requests a lease of %v", lease)
	}
}

// TestInheritedRunAfterASuspension guards against reporting the end of a run that the next
// incarnation of the backend server may have, because a suspension of the box was counted
// against its lease.
func TestInheritedRunAfterASuspension(t *testing.T) {
	const suspended = 3 * time.Second
	RegisterTestingT(t)
	f := restartingFixture(1000)
	f.order(0, bestEffortRef)
	call := f.take().Starts[0]
	f.table.StartAnswered(f.now, call, runtable.StartUnknown)
	Expect(f.refuseUntilGivenUp()).To(BeEmpty())
	f.now = f.now.Add(suspended)
	f.table.Resumed(f.now, suspended)
	f.heartbeat(7)
	f.table.Tick(f.now)
	Expect(ends(f.take())).To(BeEmpty())
	f.advance(f.cfg.BackendLease.D() + 100*time.Millisecond)
	Expect(ends(f.take())).To(HaveLen(1))
}

// TestUnknownRunIsStopped guards against a best-effort run that continues because the backend
// server lists it and the table does not have it: nothing would end it.
func TestUnknownRunIsStopped(t *testing.T) {
	RegisterTestingT(t)
	f := newFixture().ready()
	listed := []runtable.ListedRun{{Ref: bestEffortRef}}
	f.renewLease(listed)
	f.renewLease(listed)
	stops := f.take().Stops
	Expect(stops).To(HaveLen(1), "one stop for both lists")
	Expect(stops[0].Incarnation()).To(Equal(identity.Incarnation()))
	Expect(stops[0].Token).To(Equal(f.renewLease(nil).Token))
	f.table.StopAnswered(f.now, stops[0], false)
	f.advance(100 * time.Millisecond)
	f.renewLease(listed)
	Expect(f.take().Stops).To(HaveLen(1), "a stop is sent again while the run is listed")
	f.advance(100 * time.Millisecond)
	f.renewLease(nil, runtable.ListedEnd{Number: 1, Ref: bestEffortRef, Valid: true, How: wire.EndStopped})
	f.renewLease(listed) // from a delayed list
	Expect(f.take().Stops).To(BeEmpty())
}

// TestOnlyUnknownRunsAreStopped guards against stopping a run because of a delayed list, and
// against stopping the run of a durable job.
func TestOnlyUnknownRunsAreStopped(t *testing.T) {
	RegisterTestingT(t)
	f := newFixture().ready()
	f.order(0, bestEffortRef)
	call := f.take().Starts[0]
	older, _ := f.table.NextRenewal(f.now)
	listed := []runtable.ListedRun{{Ref: bestEffortRef}, {Ref: ref(1, 1)}}
	f.renewLease(listed)
	f.table.StartAnswered(f.now, call, runtable.StartAccepted)
	f.renewLease(nil, runtable.ListedEnd{Number: 1, Ref: bestEffortRef, Valid: true, How: wire.EndDone})
	f.table.RenewAnswered(f.now, older, runtable.RenewAnswer{Result: runtable.RenewOK, Clock: f.clock(), Running: listed})
	Expect(f.take().Stops).To(BeEmpty())
	f.renewLease([]runtable.ListedRun{{Ref: ref(1, 1)}})
	Expect(f.take().Stops).To(BeEmpty())
}

// TestStoppedOrderReachesNextIncarnation guards against reporting a run as crashed while its
// order, for which a stop is in transit, may reach the next incarnation of a backend server
// whose instance ID is reused.
func TestStoppedOrderReachesNextIncarnation(t *testing.T) {
	RegisterTestingT(t)
	f := restartingFixture(1000)
	f.order(0, bestEffortRef)
	f.table.StartAnswered(f.now, f.take().Starts[0], runtable.StartUnknown)
	f.advanceRenewing(f.cfg.StartLimit.D() + time.Millisecond)
	Expect(f.take().Stops).To(HaveLen(1))
	f.heartbeat(7)
	Expect(f.refuseUntilGivenUp()).To(BeEmpty(), "the order may still be in transit")
	f.startIncarnation(2000)
	Expect(f.take().Stops).To(HaveLen(1))
}

// TestAnsweredDuplicateReachesNextIncarnation guards against reporting a run as crashed while
// one duplicate of its order has no answer, because the other was accepted. The unanswered one
// may reach the next incarnation of a backend server whose instance ID is reused.
func TestAnsweredDuplicateReachesNextIncarnation(t *testing.T) {
	RegisterTestingT(t)
	f := restartingFixture(1000)
	_, second := sendOrderTwice(f)
	f.table.StartAnswered(f.now, second, runtable.StartAccepted)
	Expect(f.refuseUntilGivenUp()).To(BeEmpty(), "the first order may still be in transit")
	f.startIncarnation(2000)
	Expect(f.take().Stops).To(HaveLen(1))
}
