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
	// answerProbe answers the pending probe, which is about the instance.
	answerProbe := func(f *fixture, instance string, result runtable.RenewResult) {
		e := f.take()
		ExpectWithOffset(1, e.Probe).NotTo(BeNil())
		ExpectWithOffset(1, e.Probe.Instance).To(Equal(instance))
		ExpectWithOffset(1, e.Probe.Token).To(BeZero(), "a probe renews nothing")
		ExpectWithOffset(1, e.Probe.Deadline).To(BeZero())
		f.table.ProbeAnswered(f.now, *e.Probe, result)
	}
	// restarted returns a table whose backend server has crashed and is in its second
	// incarnation.
	restarted := func() *fixture {
		f := newFixture().ready()
		f.table.Reported(f.now, report("i-2", 1))
		answerProbe(f, "i-2", runtable.RenewFenced)
		f.renewLease(nil)
		f.renewLease(nil)
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

	It("of a new incarnation count once it has answered a probe, and end the runs of the previous one", func() {
		f := newFixture().ready()
		startOne(f)
		f.table.Reported(f.now, report("i-2", 1))
		Expect(f.table.Identity().Instance).To(Equal("i-1"))
		answerProbe(f, "i-2", runtable.RenewOK)
		Expect(f.table.Identity().Instance).To(Equal("i-2"))
		Expect(how(ends(f.take())[0])).To(Equal(wire.EndCrashed))
	})

	It("of a crashed incarnation change nothing when they arrive late (hazard 63)", func() {
		f := restarted()
		startOne(f)
		f.table.Reported(f.now, report("i-1", 9))
		e := f.take()
		Expect(e.Probe).To(BeNil())
		Expect(ends(e)).To(BeEmpty())
		Expect(f.table.Identity().Instance).To(Equal("i-2"))
		f.table.Reported(f.now, report("i-2", 2))
		Expect(f.take().Probe).To(BeNil(), "the incarnation in force is still known")
	})

	It("of a crashed incarnation end nothing at a worker that knows no incarnation yet", func() {
		f := newFixture()
		f.table.Reported(f.now, report("i-1", 9))
		f.table.Reported(f.now, report("i-2", 1))
		answerProbe(f, "i-1", runtable.RenewWrongIncarnation)
		answerProbe(f, "i-2", runtable.RenewOK)
		f.table.Reported(f.now, report("i-1", 8))
		Expect(f.take().Probe).To(BeNil())
		Expect(f.table.Identity().Instance).To(Equal("i-2"))
	})

	It("of one incarnation count in the order of their numbers, also for draining and capacity", func() {
		f := restarted()
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

	It("without numbers count as they arrive", func() {
		f := restarted()
		draining := report("i-2", 0)
		draining.Ready = false
		f.table.Reported(f.now, draining)
		Expect(f.table.Identity().Ready).To(BeFalse())
	})

	It("cause new probes while nothing answers, of one incarnation at a time", func() {
		f := newFixture()
		f.table.Reported(f.now, report("i-1", 3))
		f.table.Reported(f.now, report("i-2", 1))
		answerProbe(f, "i-1", runtable.RenewUnanswered)
		answerProbe(f, "i-1", runtable.RenewConnectionRefused)
		answerProbe(f, "i-2", runtable.RenewUnanswered)
		f.table.Reported(f.now, report("i-1", 4))
		answerProbe(f, "i-2", runtable.RenewOK)
		answerProbe(f, "i-1", runtable.RenewWrongIncarnation)
		Expect(f.table.Identity().Instance).To(Equal("i-2"))
		Expect(f.take().Probe).To(BeNil())
	})

	It("of the incarnation whose connection was refused count once it answers", func() {
		f := newFixture().ready()
		call, _ := f.table.NextRenewal(f.now)
		f.table.RenewAnswered(f.now, call, runtable.RenewAnswer{Result: runtable.RenewConnectionRefused})
		f.table.Reported(f.now, report("i-1", 9))
		answerProbe(f, "i-1", runtable.RenewOK)
		Expect(f.table.Identity().Ready).To(BeTrue())
	})

	It("do not count after the incarnation has announced its end; a late announcement of an earlier one changes nothing", func() {
		f := restarted()
		f.table.Deregistered(f.now, runtable.Incarnation{Instance: "i-1"})
		Expect(f.table.Identity().Ready).To(BeTrue())
		f.table.Deregistered(f.now, runtable.Incarnation{Instance: "i-2"})
		Expect(f.table.Identity().Ready).To(BeFalse())
		f.table.Reported(f.now, report("i-2", 7))
		Expect(f.table.Identity().Ready).To(BeFalse())
	})
})
