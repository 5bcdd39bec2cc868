package runtable_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lichenfall/lichenfall/jobs/routing"
	"github.com/lichenfall/lichenfall/jobs/runtable"
	"github.com/lichenfall/lichenfall/wire"
)

var _ = Describe("a worker in a data centre that is evacuated", func() {
	evacuated := func(offset uint64) routing.Evacuations {
		return routing.Evacuations{Offset: offset, DataCentres: []string{"dc"}}
	}
	told := func(f *fixture, m *wire.Evacuations) {
		f.table.Heartbeat(f.now, owner, &wire.OwnerHeartbeat{Echo: f.now.Sub(time.Unix(1000, 0)).Microseconds(), Evacuations: m})
	}

	It("hands back orders, of whichever coordinator, until it is taken back", func() {
		f := newFixture().ready()
		told(f, &wire.Evacuations{Offset: 3, DataCentres: []string{"a", "dc"}})
		f.order(7, ref(0, 1))
		Expect(ends(f.take())[0].Reason).To(Equal("evacuated"))
		told(f, &wire.Evacuations{Offset: 4})
		f.order(7, ref(1, 1))
		Expect(f.take().Starts).To(HaveLen(1))
	})

	It("says that it takes nothing", func() {
		f := newFixture().ready()
		f.table.SetEvacuations(f.now, evacuated(3))
		for _, s := range f.take().Sends {
			if m, ok := s.Message.(*wire.WorkerStatus); ok {
				Expect(m.Ready).To(BeFalse())
			}
		}
	})

	It("believes no older word", func() {
		f := newFixture().ready()
		f.table.SetEvacuations(f.now, evacuated(3))
		told(f, &wire.Evacuations{Offset: 2})
		f.order(7, ref(0, 1))
		Expect(f.take().Starts).To(BeEmpty())
	})

	It("lets run what runs, and stops starts without answer in place of repeating them", func() {
		f := newFixture().ready()
		f.order(7, ref(0, 1), ref(1, 1))
		starts := f.take().Starts
		f.table.StartAnswered(f.now, starts[0], runtable.StartAccepted)
		f.table.StartAnswered(f.now, starts[1], runtable.StartUnknown)
		f.take()
		f.table.SetEvacuations(f.now, evacuated(3))
		Expect(f.take().Stops).To(ConsistOf(HaveField("Ref", ref(1, 1))))
	})

	It("stops a start whose answer fails to come only then", func() {
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
		f.pass(f.cfg.SilentAfter.D() + 20*time.Millisecond)
		f.table.StartAnswered(f.now, start, runtable.StartUnknown)
		f.table.SetEvacuations(f.now, evacuated(3))
		f.hold(nil)
		Expect(f.take().Starts).To(BeEmpty())
	})

	It("asks the store itself when no coordinator has had word of it for long", func() {
		f := newFixture().ready()
		told(f, &wire.Evacuations{Offset: 3, AgeMS: 0})
		f.passHolding(1900 * time.Millisecond)
		Expect(f.table.EvacuationsStale(f.now)).To(BeFalse())
		told(f, &wire.Evacuations{Offset: 3, AgeMS: 1900}) // the same word, older
		f.passHolding(200 * time.Millisecond)
		Expect(f.table.EvacuationsStale(f.now)).To(BeTrue())
		told(f, &wire.Evacuations{Offset: 3, AgeMS: 10})
		Expect(f.table.EvacuationsStale(f.now)).To(BeFalse())
	})
})

var _ = Describe("a cold backend server", func() {
	// slow is a run that takes ten times its estimate, with the server cold for so long.
	slow := func(cold time.Duration) *fixture {
		f := newFixture().ready()
		f.estimate, f.limit = 100, 500
		f.table.Reported(f.now, runtable.Report{Identity: identity, Number: 1, Cold: cold})
		f.order(7, ref(0, 1))
		f.table.StartAnswered(f.now, f.take().Starts[0], runtable.StartAccepted)
		for range 10 {
			f.hold([]runtable.ListedRun{{Ref: ref(0, 1)}})
			f.pass(100 * time.Millisecond)
			f.heartbeatOf(7, f.now.Sub(time.Unix(1000, 0)).Microseconds())
		}
		return f
	}

	It("has no stragglers, and is not called slow", func() {
		e := slow(time.Minute).take()
		Expect(e.Stops).To(BeEmpty())
		Expect(e.Sends).NotTo(ContainElement(HaveField("Message", HaveField("Slowness", BeNumerically(">", 100)))))
	})

	It("has, once it is warm", func() {
		Expect(slow(0).take().Stops).To(HaveLen(1))
	})
})
