package runtable_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/jobs/runtable"
	"github.com/lichenfall/lichenfall/wire"
)

var _ = Describe("reports of the backend server", func() {
	report := func(instance string, number uint64) runtable.Report {
		id := identity
		id.Instance = instance
		return runtable.Report{Identity: id, Number: number}
	}
	// answer answers the question that is to be asked, which is about the instance.
	answer := func(f *fixture, instance string, result runtable.RenewResult) {
		e := f.take()
		ExpectWithOffset(1, e.Probe).NotTo(BeNil())
		ExpectWithOffset(1, e.Probe.Instance).To(Equal(instance))
		ExpectWithOffset(1, e.Probe.Token).To(BeZero(), "a question renews nothing")
		ExpectWithOffset(1, e.Probe.Deadline).To(BeZero())
		f.table.ProbeAnswered(f.now, *e.Probe, result)
	}
	// second is a table whose backend server has crashed and is in its second life.
	second := func() *fixture {
		f := newFixture().ready()
		f.table.Reported(f.now, report("i-2", 1))
		answer(f, "i-2", runtable.RenewFenced)
		f.hold(nil)
		f.hold(nil)
		f.heartbeat(7)
		f.take()
		return f
	}
	startOne := func(f *fixture) {
		f.order(7, ref(0, 1))
		e := f.take()
		ExpectWithOffset(1, e.Starts).To(HaveLen(1))
		f.table.StartAnswered(f.now, e.Starts[0], runtable.StartAccepted)
		f.take()
	}

	It("of a new life are believed once it has answered, and end all of the one before", func() {
		f := newFixture().ready()
		startOne(f)
		f.table.Reported(f.now, report("i-2", 1))
		Expect(f.table.Identity().Instance).To(Equal("i-1"))
		answer(f, "i-2", runtable.RenewOK)
		Expect(f.table.Identity().Instance).To(Equal("i-2"))
		Expect(how(ends(f.take())[0])).To(Equal(wire.EndCrashed))
	})

	It("of a crashed life change nothing when they come late (hazard 63)", func() {
		f := second()
		startOne(f)
		f.table.Reported(f.now, report("i-1", 9))
		e := f.take()
		Expect(e.Probe).To(BeNil())
		Expect(ends(e)).To(BeEmpty())
		Expect(f.table.Identity().Instance).To(Equal("i-2"))
		f.table.Reported(f.now, report("i-2", 2))
		Expect(f.take().Probe).To(BeNil(), "the living one is still known")
	})

	It("of a crashed life end nothing at a worker that has heard of neither", func() {
		f := newFixture()
		f.table.Reported(f.now, report("i-1", 9))
		f.table.Reported(f.now, report("i-2", 1))
		answer(f, "i-1", runtable.RenewWrongIncarnation)
		answer(f, "i-2", runtable.RenewOK)
		f.table.Reported(f.now, report("i-1", 8))
		Expect(f.take().Probe).To(BeNil())
		Expect(f.table.Identity().Instance).To(Equal("i-2"))
	})

	It("of one life count by their numbers, also for draining and capacity", func() {
		f := second()
		draining := report("i-2", 5)
		draining.Ready = false
		draining.Capacity = durable.Resources{CPU: 8000}
		f.table.Reported(f.now, draining)
		f.table.Reported(f.now, report("i-2", 4))
		Expect(f.table.Identity().Ready).To(BeFalse())
		Expect(f.table.Identity().Capacity.CPU).To(BeEquivalentTo(8000))
		f.table.Reported(f.now, report("i-2", 6))
		Expect(f.table.Identity().Ready).To(BeTrue())
	})

	It("count without numbers as they come", func() {
		f := second()
		draining := report("i-2", 0)
		draining.Ready = false
		f.table.Reported(f.now, draining)
		Expect(f.table.Identity().Ready).To(BeFalse())
	})

	It("are asked about again while nothing answers, one life at a time", func() {
		f := newFixture()
		f.table.Reported(f.now, report("i-1", 3))
		f.table.Reported(f.now, report("i-2", 1))
		answer(f, "i-1", runtable.RenewUnanswered)
		answer(f, "i-1", runtable.RenewConnectionRefused)
		answer(f, "i-2", runtable.RenewUnanswered)
		f.table.Reported(f.now, report("i-1", 4))
		answer(f, "i-2", runtable.RenewOK)
		answer(f, "i-1", runtable.RenewWrongIncarnation)
		Expect(f.table.Identity().Instance).To(Equal("i-2"))
		Expect(f.take().Probe).To(BeNil())
	})

	It("of the life whose connection was refused are believed once it answers", func() {
		f := newFixture().ready()
		call, _ := f.table.NextRenewal(f.now)
		f.table.RenewAnswered(f.now, call, runtable.RenewAnswer{Result: runtable.RenewConnectionRefused})
		f.table.Reported(f.now, report("i-1", 9))
		answer(f, "i-1", runtable.RenewOK)
		Expect(f.table.Identity().Ready).To(BeTrue())
	})

	It("do not count after the life has said that it ends, but a late word of an earlier one does nothing", func() {
		f := second()
		f.table.Deregistered(f.now, runtable.Incarnation{Instance: "i-1"})
		Expect(f.table.Identity().Ready).To(BeTrue())
		f.table.Deregistered(f.now, runtable.Incarnation{Instance: "i-2"})
		Expect(f.table.Identity().Ready).To(BeFalse())
		f.table.Reported(f.now, report("i-2", 7))
		Expect(f.table.Identity().Ready).To(BeFalse())
	})
})
