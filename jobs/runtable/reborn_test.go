package runtable_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lichenfall/lichenfall/jobs/runtable"
	"github.com/lichenfall/lichenfall/wire"
)

var _ = Describe("a backend server that starts again under its ID", func() {
	const first, second = 1000, 2000
	born := func(at int64) runtable.Identity {
		id := identity
		id.Born = at
		return id
	}
	report := func(at int64, number uint64) runtable.Report {
		return runtable.Report{Identity: born(at), Number: number}
	}
	// ready is a table whose backend server is in its first life, after its tenth report.
	ready := func() *fixture {
		f := newFixture()
		f.table.Reported(f.now, report(first, 10))
		f.table.ProbeAnswered(f.now, *f.take().Probe, runtable.RenewOK)
		f.hold(nil)
		f.hold(nil)
		f.table.OwnerUp(f.now, owner, member)
		f.heartbeat(7)
		f.take()
		return f
	}
	// reborn has the second life answer for the first, and report. It returns the ends that
	// owners are told.
	reborn := func(f *fixture) []wire.RunEnd {
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
		f.hold(nil)
		f.hold(running)
	}

	It("is used again, though its reports are numbered from 1 again", func() {
		f := ready()
		reborn(f)
		sync(f)
		f.heartbeat(8)
		f.take()
		Expect(f.table.Identity().Incarnation()).To(Equal(runtable.Incarnation{Instance: "i-1", Born: second}))
		f.order(8, ref(0, 1))
		starts := f.take().Starts
		Expect(starts).To(HaveLen(1))
		Expect(starts[0].Incarnation()).To(Equal(runtable.Incarnation{Instance: "i-1", Born: second}))
	})

	It("is not taken for the life before by a report of that one which comes late", func() {
		f := ready()
		reborn(f)
		f.table.Reported(f.now, report(first, 11))
		if ask := f.take().Probe; ask != nil {
			f.table.ProbeAnswered(f.now, *ask, runtable.RenewRestarted)
		}
		Expect(f.table.Identity().Born).To(BeEquivalentTo(second))
	})

	It("has no end acknowledged that it has not told", func() {
		f := ready()
		f.order(7, ref(0, 1))
		f.table.StartAnswered(f.now, f.take().Starts[0], runtable.StartAccepted)
		f.hold(nil, runtable.ListedEnd{Number: 9, Ref: ref(0, 1), Valid: true, How: wire.EndDone})
		f.table.AcknowledgeEnds(f.now, owner, &wire.EndsKept{Runs: []wire.RunRef{ref(0, 1)}})
		reborn(f)
		call, ok := f.table.NextRenewal(f.now)
		Expect(ok).To(BeTrue())
		Expect(call.LastSeen).To(BeZero())
		Expect(call.Deadline).To(BeZero(), "a lease by the clock of the life before")
	})

	It("stops a run that was ordered of the life before, before its owner hears of it", func() {
		f := ready()
		f.order(7, ref(0, 1))
		f.table.StartAnswered(f.now, f.take().Starts[0], runtable.StartAccepted)
		Expect(reborn(f)).To(BeEmpty(), "the second life may run it")
		sync(f, runtable.ListedRun{Ref: ref(0, 1)})
		e := f.take()
		Expect(ends(e)).To(BeEmpty())
		Expect(e.Stops).To(HaveLen(1))
		Expect(e.Stops[0].Incarnation()).To(Equal(runtable.Incarnation{Instance: "i-1", Born: second}))
		f.table.StopAnswered(f.now, e.Stops[0], true)
		f.hold(nil, runtable.ListedEnd{Number: 1, Ref: ref(0, 1), Valid: true, How: wire.EndStopped})
		Expect(f.table.Identity().Ready).To(BeTrue())
	})

	It("has the run called crashed once it is sure that the second life never had it", func() {
		f := ready()
		f.order(7, ref(0, 1))
		f.table.StartAnswered(f.now, f.take().Starts[0], runtable.StartAccepted)
		reborn(f)
		sync(f)
		e := f.take()
		Expect(e.Stops).To(HaveLen(1))
		f.table.StopAnswered(f.now, e.Stops[0], true)
		f.hold(nil)
		told := ends(f.take())
		Expect(told).To(HaveLen(1))
		Expect(how(told[0])).To(Equal(wire.EndCrashed))
		Expect(told[0].Instance).To(Equal("i-1@1000"))
	})

	It("has a run that the first life has listed called crashed at once", func() {
		f := ready()
		f.order(7, ref(0, 1))
		f.table.StartAnswered(f.now, f.take().Starts[0], runtable.StartAccepted)
		f.hold([]runtable.ListedRun{{Ref: ref(0, 1)}})
		told := reborn(f)
		Expect(told).To(HaveLen(1))
		Expect(how(told[0])).To(Equal(wire.EndCrashed))
	})

	It("has the run called crashed when no life is heard of for as long as it could run", func() {
		f := ready()
		f.order(7, ref(0, 1))
		f.table.StartAnswered(f.now, f.take().Starts[0], runtable.StartAccepted)
		call, _ := f.table.NextRenewal(f.now)
		f.table.RenewAnswered(f.now, call, runtable.RenewAnswer{Result: runtable.RenewRestarted})
		f.pass(f.cfg.BackendLease.D())
		Expect(ends(f.take())).To(BeEmpty())
		f.pass(200 * time.Millisecond)
		Expect(ends(f.take())).To(HaveLen(1))
	})

	It("is called with a token above the one that it was called with by mistake", func() {
		f := ready()
		reborn(f)
		clock := 5 * time.Millisecond // it has just begun
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
