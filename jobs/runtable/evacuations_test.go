package runtable_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lichenfall/lichenfall/jobs/routing"
	"github.com/lichenfall/lichenfall/jobs/runtable"
	"github.com/lichenfall/lichenfall/wire"
)

var _ = Describe("a worker in an evacuated data centre", func() {
	evacuated := func(offset uint64) routing.Evacuations {
		return routing.Evacuations{Offset: offset, DataCentres: []string{"dc"}}
	}
	announce := func(f *fixture, m *wire.Evacuations) {
		f.table.Heartbeat(f.now, owner, &wire.OwnerHeartbeat{Echo: f.now.Sub(time.Unix(1000, 0)).Microseconds(), Evacuations: m})
	}

	It("hands back the orders of every coordinator until the evacuation is withdrawn", func() {
		f := newFixture().ready()
		announce(f, &wire.Evacuations{Offset: 3, DataCentres: []string{"a", "dc"}})
		f.order(7, ref(0, 1))
		Expect(ends(f.take())[0].Reason).To(Equal("evacuated"))
		announce(f, &wire.Evacuations{Offset: 4})
		f.order(7, ref(1, 1))
		Expect(f.take().Starts).To(HaveLen(1))
	})

	It("reports that it is not ready", func() {
		f := newFixture().ready()
		f.table.SetEvacuations(f.now, evacuated(3))
		for _, s := range f.take().Sends {
			if m, ok := s.Message.(*wire.WorkerStatus); ok {
				Expect(m.Ready).To(BeFalse())
			}
		}
	})

	It("ignores older versions", func() {
		f := newFixture().ready()
		f.table.SetEvacuations(f.now, evacuated(3))
		announce(f, &wire.Evacuations{Offset: 2})
		f.order(7, ref(0, 1))
		Expect(f.take().Starts).To(BeEmpty())
	})

	It("lets runs continue, and stops unanswered starts instead of resending them", func() {
		f := newFixture().ready()
		f.order(7, ref(0, 1), ref(1, 1))
		starts := f.take().Starts
		f.table.StartAnswered(f.now, starts[0], runtable.StartAccepted)
		f.table.StartAnswered(f.now, starts[1], runtable.StartUnknown)
		f.take()
		f.table.SetEvacuations(f.now, evacuated(3))
		Expect(f.take().Stops).To(ConsistOf(HaveField("Ref", ref(1, 1))))
	})

	It("stops a start whose answer fails to arrive after the evacuation", func() {
		f := newFixture().ready()
		f.order(7, ref(0, 1))
		start := f.take().Starts[0]
		f.table.SetEvacuations(f.now, evacuated(3))
		Expect(f.take().Stops).To(BeEmpty())
		f.table.StartAnswered(f.now, start, runtable.StartUnknown)
		e := f.take()
		Expect(e.Starts).To(BeEmpty())
		Expect(e.Stops).To(ConsistOf(HaveField("Ref", ref(0, 1))))
	})

	It("starts nothing again when a silent backend server answers", func() {
		f := newFixture().ready()
		f.order(7, ref(0, 1))
		start := f.take().Starts[0]
		f.advance(f.cfg.SilentAfter.D() + 20*time.Millisecond)
		f.table.StartAnswered(f.now, start, runtable.StartUnknown)
		f.table.SetEvacuations(f.now, evacuated(3))
		f.renewLease(nil)
		Expect(f.take().Starts).To(BeEmpty())
	})

	It("reads the store itself if no coordinator has read it recently", func() {
		f := newFixture().ready()
		announce(f, &wire.Evacuations{Offset: 3, AgeMS: 0})
		f.advanceRenewing(1900 * time.Millisecond)
		Expect(f.table.EvacuationsStale(f.now)).To(BeFalse())
		announce(f, &wire.Evacuations{Offset: 3, AgeMS: 1900}) // the same version, read earlier
		f.advanceRenewing(200 * time.Millisecond)
		Expect(f.table.EvacuationsStale(f.now)).To(BeTrue())
		announce(f, &wire.Evacuations{Offset: 3, AgeMS: 10})
		Expect(f.table.EvacuationsStale(f.now)).To(BeFalse())
	})
})

var _ = Describe("a cold backend server", func() {
	// slowRun has a run take ten times its estimate, at a server that is cold for the given
	// time.
	slowRun := func(cold time.Duration) *fixture {
		f := newFixture().ready()
		f.estimate, f.limit = 100, 500
		f.table.Reported(f.now, runtable.Report{Identity: identity, Number: 1, Cold: cold})
		f.order(7, ref(0, 1))
		f.table.StartAnswered(f.now, f.take().Starts[0], runtable.StartAccepted)
		for range 10 {
			f.renewLease([]runtable.ListedRun{{Ref: ref(0, 1)}})
			f.advance(100 * time.Millisecond)
			f.heartbeatEchoing(7, f.now.Sub(time.Unix(1000, 0)).Microseconds())
		}
		return f
	}

	It("has no stragglers and is not reported as slow", func() {
		e := slowRun(time.Minute).take()
		Expect(e.Stops).To(BeEmpty())
		Expect(e.Sends).NotTo(ContainElement(HaveField("Message", HaveField("Slowness", BeNumerically(">", 100)))))
	})

	It("has stragglers once it is warm", func() {
		Expect(slowRun(0).take().Stops).To(HaveLen(1))
	})
})
