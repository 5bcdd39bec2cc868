package runtable_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lichenfall/lichenfall/jobs/runtable"
	"github.com/lichenfall/lichenfall/wire"
)

var _ = Describe("a backend server that restarts under the same instance ID", func() {
	const first, second = 1000, 2000
	identityBornAt := func(at int64) runtable.Identity {
		id := identity
		id.Born = at
		return id
	}
	report := func(at int64, number uint64) runtable.Report {
		return runtable.Report{Identity: identityBornAt(at), Number: number}
	}
	// ready returns a table whose backend server is in its first incarnation, after its tenth
	// report.
	ready := func() *fixture {
		f := newFixture()
		f.table.Reported(f.now, report(first, 10))
		f.table.ProbeAnswered(f.now, *f.take().Probe, runtable.RenewOK)
		f.renewLease(nil)
		f.renewLease(nil)
		f.table.OwnerUp(f.now, owner, member)
		f.heartbeat(7)
		f.take()
		return f
	}
	// restart has the second incarnation answer a call for the first one, and report. It returns
	// the ends that owners are sent.
	restart := func(f *fixture) []wire.RunEnd {
		call, ok := f.table.NextRenewal(f.now)
		ExpectWithOffset(1, ok).To(BeTrue())
		f.table.RenewAnswered(f.now, call, runtable.RenewAnswer{Result: runtable.RenewRestarted})
		f.table.Reported(f.now, report(second, 1))
		e := f.take()
		ask := e.Probe
		ExpectWithOffset(1, ask).NotTo(BeNil())
		ExpectWithOffset(1, ask.Incarnation()).To(Equal(runtable.Incarnation{Instance: "i-1", Born: second}))
		f.table.ProbeAnswered(f.now, *ask, runtable.RenewOK)
		return append(ends(e), ends(f.take())...)
	}
	sync := func(f *fixture, running ...runtable.ListedRun) {
		f.renewLease(nil)
		f.renewLease(running)
	}

	It("is used again, although its reports are numbered from 1 again", func() {
		f := ready()
		restart(f)
		sync(f)
		f.heartbeat(8)
		f.take()
		Expect(f.table.Identity().Incarnation()).To(Equal(runtable.Incarnation{Instance: "i-1", Born: second}))
		f.order(8, ref(0, 1))
		starts := f.take().Starts
		Expect(starts).To(HaveLen(1))
		Expect(starts[0].Incarnation()).To(Equal(runtable.Incarnation{Instance: "i-1", Born: second}))
	})

	It("is not mistaken for the previous incarnation because of a delayed report of that one", func() {
		f := ready()
		restart(f)
		f.table.Reported(f.now, report(first, 11))
		if ask := f.take().Probe; ask != nil {
			f.table.ProbeAnswered(f.now, *ask, runtable.RenewRestarted)
		}
		Expect(f.table.Identity().Born).To(BeEquivalentTo(second))
	})

	It("gets no acknowledgement of ends that it has not listed", func() {
		f := ready()
		f.order(7, ref(0, 1))
		f.table.StartAnswered(f.now, f.take().Starts[0], runtable.StartAccepted)
		f.renewLease(nil, runtable.ListedEnd{Number: 9, Ref: ref(0, 1), Valid: true, How: wire.EndDone})
		f.table.AcknowledgeEnds(f.now, owner, &wire.EndsKept{Runs: []wire.RunRef{ref(0, 1)}})
		restart(f)
		call, ok := f.table.NextRenewal(f.now)
		Expect(ok).To(BeTrue())
		Expect(call.LastSeen).To(BeZero())
		Expect(call.Deadline).To(BeZero(), "a lease end would be on the clock of the previous incarnation")
	})

	It("stops a run that was ordered from the previous incarnation before the owner is sent its end", func() {
		f := ready()
		f.order(7, ref(0, 1))
		f.table.StartAnswered(f.now, f.take().Starts[0], runtable.StartAccepted)
		Expect(restart(f)).To(BeEmpty(), "the second incarnation may run it")
		sync(f, runtable.ListedRun{Ref: ref(0, 1)})
		e := f.take()
		Expect(ends(e)).To(BeEmpty())
		Expect(e.Stops).To(HaveLen(1))
		Expect(e.Stops[0].Incarnation()).To(Equal(runtable.Incarnation{Instance: "i-1", Born: second}))
		f.table.StopAnswered(f.now, e.Stops[0], true)
		f.renewLease(nil, runtable.ListedEnd{Number: 1, Ref: ref(0, 1), Valid: true, How: wire.EndStopped})
		Expect(f.table.Identity().Ready).To(BeTrue())
	})

	It("has the run reported as crashed once a list shows that the second incarnation never had it", func() {
		f := ready()
		f.order(7, ref(0, 1))
		f.table.StartAnswered(f.now, f.take().Starts[0], runtable.StartAccepted)
		restart(f)
		sync(f)
		e := f.take()
		Expect(e.Stops).To(HaveLen(1))
		f.table.StopAnswered(f.now, e.Stops[0], true)
		f.renewLease(nil)
		reported := ends(f.take())
		Expect(reported).To(HaveLen(1))
		Expect(how(reported[0])).To(Equal(wire.EndCrashed))
		Expect(reported[0].Instance).To(Equal("i-1@1000"))
	})

	It("has a run that the first incarnation has listed reported as crashed at once", func() {
		f := ready()
		f.order(7, ref(0, 1))
		f.table.StartAnswered(f.now, f.take().Starts[0], runtable.StartAccepted)
		f.renewLease([]runtable.ListedRun{{Ref: ref(0, 1)}})
		reported := restart(f)
		Expect(reported).To(HaveLen(1))
		Expect(how(reported[0])).To(Equal(wire.EndCrashed))
	})

	It("has the run reported as crashed if no incarnation answers for as long as it could run", func() {
		f := ready()
		f.order(7, ref(0, 1))
		f.table.StartAnswered(f.now, f.take().Starts[0], runtable.StartAccepted)
		call, _ := f.table.NextRenewal(f.now)
		f.table.RenewAnswered(f.now, call, runtable.RenewAnswer{Result: runtable.RenewRestarted})
		f.advance(f.cfg.BackendLease.D())
		Expect(ends(f.take())).To(BeEmpty())
		f.advance(200 * time.Millisecond)
		Expect(ends(f.take())).To(HaveLen(1))
	})

	It("is called with a token above the one from calls that were meant for the previous incarnation", func() {
		f := ready()
		restart(f)
		clock := 5 * time.Millisecond // it has just started
		var token uint64
		for range 20 {
			call, ok := f.table.NextRenewal(f.now)
			Expect(ok).To(BeTrue())
			token = call.Token
			f.table.RenewAnswered(f.now, call, runtable.RenewAnswer{Result: runtable.RenewFenced, Clock: clock})
		}
		Expect(token).To(BeNumerically(">", 100_000))
	})
})
