package runtable_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lichenfall/lichenfall/config"
	"github.com/lichenfall/lichenfall/jobs/runtable"
	"github.com/lichenfall/lichenfall/wire"
)

// What these tests have in common: the owner of a best-effort run is told that it has ended, or
// writes it off, and orders its task elsewhere. So the run must be over by then, and no copy of
// its order may begin later.

var best = ref(0, wire.BestEffortRun+1)

// twoCopies leaves two copies of one order on their way: a silence ends while the first is, and
// what has no answer is sent again.
func twoCopies(f *fixture) (first, second runtable.StartCall) {
	f.hold(nil)
	f.pass(f.cfg.SilentAfter.D() - 10*time.Millisecond)
	f.order(0, best)
	starts := f.take().Starts
	Expect(starts).To(HaveLen(1))
	f.pass(20 * time.Millisecond) // silent now; the first copy has 40 ms left
	f.hold(nil)
	again := f.take().Starts
	Expect(again).To(HaveLen(1))
	return starts[0], again[0]
}

// TestRefusedCopyOfAnOrder guards against the refusal of one copy being told as a run that never
// was, while the other copy is on its way: that one begins, and the table does not know it.
func TestRefusedCopyOfAnOrder(t *testing.T) {
	for _, refusal := range []runtable.StartResult{runtable.StartNoRoom, runtable.StartUnhealthy, runtable.StartLeaseExpired, runtable.StartConnectionRefused} {
		for _, firstIsRefused := range []bool{true, false} {
			RegisterTestingT(t)
			f := newFixture().ready()
			refused, other := twoCopies(f)
			if !firstIsRefused {
				refused, other = other, refused
			}
			f.table.StartAnswered(f.now, refused, refusal)
			for _, e := range ends(f.take()) {
				if how(e) == wire.EndNotRun {
					t.Errorf("%v, the first copy's: %v: the owner is told %q", refusal, firstIsRefused, e.Reason)
				}
			}
			f.table.StartAnswered(f.now, other, runtable.StartAccepted)
		}
	}
}

// live has a life of the backend server begin, under an ID that comes back.
func (f *fixture) live(born int64) {
	id := identity
	id.Born = born
	f.table.Identify(f.now, id)
	f.hold(nil)
	f.hold(nil)
}

// bornFixture is ready, beside a backend server that goes by the same ID in each life.
func bornFixture(born int64) *fixture {
	f := newFixture()
	f.live(born)
	f.table.OwnerUp(f.now, owner, member)
	f.heartbeat(7)
	f.take()
	return f
}

// TestRefusedCopyMeetsNextLife guards against a refusal of one copy ending a run whose other copy
// may still meet the next life of a backend server that goes by the same ID.
func TestRefusedCopyMeetsNextLife(t *testing.T) {
	RegisterTestingT(t)
	f := bornFixture(1000)
	first, second := twoCopies(f)
	f.table.StartAnswered(f.now, first, runtable.StartUnknown)
	third := f.take().Starts[0]
	Expect(f.refusedUntilGivenUp()).To(BeEmpty())
	f.table.StartAnswered(f.now, third, runtable.StartConnectionRefused)
	f.table.StartAnswered(f.now, second, runtable.StartConnectionRefused)
	Expect(ends(f.take())).To(BeEmpty(), "the first copy may be carried out late")
	f.live(2000)
	Expect(f.take().Stops).To(HaveLen(1))
}

// writeOff returns when, on the backend server's clock, an owner orders the tasks anew that are
// with a worker which it cannot reach, if it sent its last heartbeat now.
func writeOff(f *fixture) time.Duration {
	s := config.DefaultScheduler()
	return f.clock() + s.Core("dc").BestEffortWriteOff
}

// TestOrderRepeatedAfterTheOwnersLease guards against an order without an answer being repeated,
// under a new deadline, while the backend server's lease is to lapse.
func TestOrderRepeatedAfterTheOwnersLease(t *testing.T) {
	RegisterTestingT(t)
	f := newFixture().ready()
	f.heartbeat(7)
	writtenOff := writeOff(f)
	f.passHolding(f.cfg.BestEffortLease.D() - 10*time.Millisecond)
	f.order(0, best)
	call := f.take().Starts[0]
	last, step := call.Deadline, 20*time.Millisecond
	for n := 1; n < 60; n++ {
		if renewal, ok := f.table.NextRenewal(f.now); ok {
			f.table.RenewAnswered(f.now, renewal, runtable.RenewAnswer{Result: runtable.RenewOK, Clock: f.clock()})
		}
		f.pass(step)
		if n%4 == 0 { // the limit of a call, and the pause after it
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

// TestUnwantedOrderIsNotRepeated guards against an order being repeated whose run is to be
// stopped: by its owner, or since the owner's lease is over.
func TestUnwantedOrderIsNotRepeated(t *testing.T) {
	for name, unwanted := range map[string]func(f *fixture){
		"stopped":    func(f *fixture) { f.table.Stop(f.now, owner, &wire.StopRuns{Runs: []wire.RunRef{best}}) },
		"lease over": func(f *fixture) { f.passHolding(f.cfg.BestEffortLease.D()/2 + time.Millisecond) },
	} {
		t.Run(name, func(t *testing.T) {
			RegisterTestingT(t)
			f := newFixture().ready()
			f.passHolding(f.cfg.BestEffortLease.D() / 2)
			f.order(0, best)
			call := f.take().Starts[0]
			unwanted(f)
			f.table.StartAnswered(f.now, call, runtable.StartUnknown)
			e := f.take()
			Expect(e.Starts).To(BeEmpty())
			Expect(e.Stops).To(HaveLen(1))
			f.table.StopAnswered(f.now, e.Stops[0], true)
			f.hold(nil)
			Expect(ends(f.take())).To(ConsistOf(HaveField("Reason", "sealed")))
		})
	}
}

// keptAlive returns the end of the last lease that is asked for until the table calls the runs
// dead, or has had 5 s, at a backend server that answers renewals and no stops.
func keptAlive(f *fixture, running []runtable.ListedRun) time.Duration {
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
		f.pass(20 * time.Millisecond)
	}
	return last
}

// TestOwnersLeaseSeenLate guards against the grace counting from when the end of the owner's
// lease is seen: a control goroutine that is late would renew for as much longer.
func TestOwnersLeaseSeenLate(t *testing.T) {
	RegisterTestingT(t)
	f := newFixture().ready()
	f.heartbeat(7)
	writtenOff := writeOff(f)
	f.order(0, best)
	f.table.StartAnswered(f.now, f.take().Starts[0], runtable.StartAccepted)
	f.passHolding(f.cfg.BestEffortLease.D() - 10*time.Millisecond)
	f.now = f.now.Add(600 * time.Millisecond) // the control goroutine stands still
	if last := keptAlive(f, []runtable.ListedRun{{Ref: best}}); last > writtenOff {
		t.Errorf("kept alive until %v after the write-off", last-writtenOff)
	}
}

// TestRunStoppedInTimeFreesTheLease guards against the lease of all staying bounded by the end of
// one owner's, whose run was stopped in time.
func TestRunStoppedInTimeFreesTheLease(t *testing.T) {
	RegisterTestingT(t)
	f := newFixture().ready()
	f.order(0, best)
	f.table.StartAnswered(f.now, f.take().Starts[0], runtable.StartAccepted)
	f.passHolding(f.cfg.BestEffortLease.D() - 10*time.Millisecond)
	f.now = f.now.Add(600 * time.Millisecond) // the control goroutine stands still
	bounded := f.hold([]runtable.ListedRun{{Ref: best}})
	Expect(f.take().Stops).To(HaveLen(1))
	f.hold(nil, runtable.ListedEnd{Number: 1, Ref: best, Valid: true, How: wire.EndStopped})
	Expect(bounded.Deadline).To(BeNumerically("<", f.clock()+f.cfg.BackendLease.D()))
	Expect(f.hold(nil).Deadline).To(Equal(f.clock() + f.cfg.BackendLease.D()))
	f.pass(f.cfg.StopGrace.D())
	_, ok := f.table.NextRenewal(f.now)
	Expect(ok).To(BeTrue(), "nothing lapses")
}

// TestAdoptedRunThatCannotBeStopped guards against the lease being renewed for ever under a run
// that an earlier process ordered, nobody asks about, and no stop reaches.
func TestAdoptedRunThatCannotBeStopped(t *testing.T) {
	RegisterTestingT(t)
	f := newFixture()
	writtenOff := writeOff(f) // the earlier process ends now
	running := []runtable.ListedRun{{Ref: best}}
	f.table.Identify(f.now, identity)
	f.hold(running)
	f.hold(running)
	if last := keptAlive(f, running); last > writtenOff {
		t.Errorf("kept alive until %v after the write-off", last-writtenOff)
	}
}

// TestAdoptedRunOutlivesNoWriteOff guards against a new process keeping a run alive past the
// write-off by an owner that was not heard any more before the earlier process ended.
func TestAdoptedRunOutlivesNoWriteOff(t *testing.T) {
	RegisterTestingT(t)
	f := newFixture()
	writtenOff := writeOff(f) - f.cfg.BestEffortLease.D()
	f.now = f.now.Add(600 * time.Millisecond) // until the new process is there
	running := []runtable.ListedRun{{Ref: best}}
	f.table.Identify(f.now, identity)
	last := max(f.hold(running).Deadline, f.hold(running).Deadline)
	if last = max(last, keptAlive(f, running)); last > writtenOff {
		t.Errorf("kept alive until %v after the write-off", last-writtenOff)
	}
}

// TestClaimedRunIsRenewed guards against the lease staying bounded by a run that has been claimed.
func TestClaimedRunIsRenewed(t *testing.T) {
	RegisterTestingT(t)
	f := newFixture()
	f.table.Identify(f.now, identity)
	f.hold(nil)
	f.hold([]runtable.ListedRun{{Ref: best}})
	f.table.OwnerUp(f.now, owner, member)
	f.heartbeat(7)
	f.table.QueryRuns(f.now, owner, &wire.RunsQuery{Runs: []wire.RunRef{best}})
	Expect(f.hold(nil).Deadline).To(Equal(f.clock() + f.cfg.BackendLease.D()))
	f.passHolding(f.cfg.AdoptionTimeout.D() + f.cfg.StopGrace.D())
	e := f.take()
	Expect(e.Stops).To(BeEmpty())
	Expect(e.Notes).NotTo(ContainElement(HaveField("What", runtable.LeaseLapsing)))
}

// TestLeaseAskedForAfterASuspension guards against the first renewal after a suspension of the box
// counting it on the backend server's clock, which may have stood still. The lease would last as
// much longer than the worker believes.
func TestLeaseAskedForAfterASuspension(t *testing.T) {
	const suspended = 3 * time.Second
	RegisterTestingT(t)
	f := newFixture().ready()
	f.hold(nil)
	clock := f.clock() // of a backend server that was suspended too
	f.now = f.now.Add(suspended)
	f.table.Resumed(f.now, suspended)
	renewal, ok := f.table.NextRenewal(f.now)
	Expect(ok).To(BeTrue())
	if lease := renewal.Deadline - clock; lease > f.cfg.BackendLease.D() {
		t.Errorf("asks for a lease of %v", lease)
	}
}

// TestInheritedRunAfterASuspension guards against a run being told as ended that the next life of a
// backend server may have, since a suspension of the box was counted on its lease.
func TestInheritedRunAfterASuspension(t *testing.T) {
	const suspended = 3 * time.Second
	RegisterTestingT(t)
	f := bornFixture(1000)
	f.order(0, best)
	call := f.take().Starts[0]
	f.table.StartAnswered(f.now, call, runtable.StartUnknown)
	Expect(f.refusedUntilGivenUp()).To(BeEmpty())
	f.now = f.now.Add(suspended)
	f.table.Resumed(f.now, suspended)
	f.heartbeat(7)
	f.table.Tick(f.now)
	Expect(ends(f.take())).To(BeEmpty())
	f.pass(f.cfg.BackendLease.D() + 100*time.Millisecond)
	Expect(ends(f.take())).To(HaveLen(1))
}

// TestUnknownRunIsStopped guards against a best-effort run going on that the backend server lists
// and the table does not know: nobody would end it.
func TestUnknownRunIsStopped(t *testing.T) {
	RegisterTestingT(t)
	f := newFixture().ready()
	listed := []runtable.ListedRun{{Ref: best}}
	f.hold(listed)
	f.hold(listed)
	stops := f.take().Stops
	Expect(stops).To(HaveLen(1), "once for both lists")
	Expect(stops[0].Incarnation()).To(Equal(identity.Incarnation()))
	Expect(stops[0].Token).To(Equal(f.hold(nil).Token))
	f.table.StopAnswered(f.now, stops[0], false)
	f.pass(100 * time.Millisecond)
	f.hold(listed)
	Expect(f.take().Stops).To(HaveLen(1), "while it is listed")
	f.pass(100 * time.Millisecond)
	f.hold(nil, runtable.ListedEnd{Number: 1, Ref: best, Valid: true, How: wire.EndStopped})
	f.hold(listed) // of a list that was overtaken
	Expect(f.take().Stops).To(BeEmpty())
}

// TestOnlyUnknownRunsAreStopped guards against a list that was overtaken, or a kept run, having
// something stopped.
func TestOnlyUnknownRunsAreStopped(t *testing.T) {
	RegisterTestingT(t)
	f := newFixture().ready()
	f.order(0, best)
	call := f.take().Starts[0]
	older, _ := f.table.NextRenewal(f.now)
	listed := []runtable.ListedRun{{Ref: best}, {Ref: ref(1, 1)}}
	f.hold(listed)
	f.table.StartAnswered(f.now, call, runtable.StartAccepted)
	f.hold(nil, runtable.ListedEnd{Number: 1, Ref: best, Valid: true, How: wire.EndDone})
	f.table.RenewAnswered(f.now, older, runtable.RenewAnswer{Result: runtable.RenewOK, Clock: f.clock(), Running: listed})
	Expect(f.take().Stops).To(BeEmpty())
	f.hold([]runtable.ListedRun{{Ref: ref(1, 1)}})
	Expect(f.take().Stops).To(BeEmpty())
}

// TestStoppedOrderMeetsNextLife guards against a run being told as crashed while its order, of which
// a stop is on its way, may meet the next life of a backend server that goes by the same ID.
func TestStoppedOrderMeetsNextLife(t *testing.T) {
	RegisterTestingT(t)
	f := bornFixture(1000)
	f.order(0, best)
	f.table.StartAnswered(f.now, f.take().Starts[0], runtable.StartUnknown)
	f.passHolding(f.cfg.StartLimit.D() + time.Millisecond)
	Expect(f.take().Stops).To(HaveLen(1))
	f.heartbeat(7)
	Expect(f.refusedUntilGivenUp()).To(BeEmpty(), "the order may be on its way")
	f.live(2000)
	Expect(f.take().Stops).To(HaveLen(1))
}

// TestAnsweredCopyMeetsNextLife guards against the same where one copy of the order was taken and
// another has no answer.
func TestAnsweredCopyMeetsNextLife(t *testing.T) {
	RegisterTestingT(t)
	f := bornFixture(1000)
	_, second := twoCopies(f)
	f.table.StartAnswered(f.now, second, runtable.StartAccepted)
	Expect(f.refusedUntilGivenUp()).To(BeEmpty(), "the first copy may be on its way")
	f.live(2000)
	Expect(f.take().Stops).To(HaveLen(1))
}
