package scheduler_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/jobs/scheduler"
	"github.com/lichenfall/lichenfall/lib/ordered"
	"github.com/lichenfall/lichenfall/wire"
)

// asks returns the newest ask that each worker was sent.
func asks(e scheduler.Effects) map[string]*wire.RoomAsk {
	out := make(map[string]*wire.RoomAsk)
	for _, s := range e.Sends {
		if m, ok := s.Message.(*wire.RoomAsk); ok {
			out[s.Worker] = m
		}
	}
	return out
}

// submitStep hands in a best-effort job of one step.
func (f *fixture) submitStep(call scheduler.Call, step durable.Step) {
	s := job(step)
	s.ID = durable.JobID(fmt.Sprintf("%016x", call))
	s.BestEffort = true
	f.core.Submit(f.now, call, s, 0)
}

// contested tells of a worker's room where others wait for it.
func (f *fixture) contested(name string, free int64) {
	f.stamp++
	f.core.Status(f.now, name, &wire.WorkerStatus{
		Stamp: f.stamp, Ready: true, StartSeq: f.starts[name], Free: durable.Resources{CPU: free, Memory: 1000},
		Waiting: []wire.WaitingWork{{Priority: 1, Work: 1}},
	})
}

var _ = Describe("a coordinator whose tasks do not all fit", func() {
	var f *fixture
	var first scheduler.Effects
	BeforeEach(func() {
		f = newFixture()
		f.worker("w1")
		f.core.Take(f.now)
		f.submitStep(1, tasks(4))
		f.submitStep(2, tasks(2))
		first = f.core.Take(f.now)
	})
	// full says that the worker has taken the orders, and is full.
	full := func() {
		f.orders(first)
		f.status("w1", 0)
		f.core.Take(f.now)
	}

	It("asks for room, and says what it has seen", func() {
		Expect(f.orders(first)).To(HaveLen(4))
		m := asks(first)["w1"]
		Expect(m.Seq).To(Equal(uint64(1)))
		Expect(m.Seen).To(Equal(f.stamp))
		Expect(m.Waits).To(HaveLen(1))
		Expect(m.Waits[0].Tasks).To(Equal(uint32(2)))
		Expect(m.Waits[0].Need).To(Equal(durable.Resources{CPU: 1000, Memory: 10}))
		Expect(m.Waits[0].Work).To(Equal(int64(2 * 1000 * 100)))
		Expect(m.Waits[0].FirstMS).To(Equal(int64(60)), "half its slack: nothing puts the first class off")
	})

	It("asks after the orders that went to the same worker", func() {
		last := first.Sends[len(first.Sends)-1]
		Expect(last.Message).To(BeAssignableToTypeOf(&wire.RoomAsk{}))
	})

	It("asks nobody when that is switched off", func() {
		cfg := f.cfg.Core("nadi")
		cfg.Load.AskForRoom = false
		f.core = scheduler.New(cfg, 1)
		f.evacuate(1)
		f.worker("w1")
		f.submitStep(1, tasks(6))
		Expect(asks(f.core.Take(f.now))).To(BeEmpty())
	})

	It("asks again before the ask lapses, and not all the time", func() {
		full()
		n := 0
		for range 30 {
			f.pass(5 * time.Millisecond)
			n += len(asks(f.core.Take(f.now)))
		}
		Expect(n).To(BeNumerically("~", 3, 1))
	})

	It("asks anew for something more urgent, and for jobs that have begun before all others", func() {
		full()
		f.pass(20 * time.Millisecond)
		f.core.Take(f.now)
		s := job(tasks(2))
		s.ID, s.BestEffort, s.Queue.Priority = "00000000000000aa", true, 0
		s.Queue.Name = "urgent"
		f.core.Submit(f.now, 3, s, 0)
		f.pass(15 * time.Millisecond)
		f.core.Take(f.now)
		f.status("w1", 1000)
		e := f.core.Take(f.now)
		Expect(f.orders(e)).To(HaveLen(1))
		f.pass(15 * time.Millisecond)
		m := asks(f.core.Take(f.now))["w1"]
		Expect(m.Waits).To(HaveLen(2))
		Expect(m.Waits[0].FirstMS).To(BeNumerically("<", -time.Minute.Milliseconds()))
		Expect(m.Waits[0].Tasks).To(Equal(uint32(1)))
	})

	It("withdraws at once when nothing waits", func() {
		full()
		f.status("w1", 2000)
		e := f.core.Take(f.now)
		Expect(f.orders(e)).To(HaveLen(2))
		Expect(asks(e)["w1"].Waits).To(BeEmpty())
		f.pass(100 * time.Millisecond)
		Expect(asks(f.core.Take(f.now))).To(BeEmpty())
	})

	It("says at once that it does not use what it is told of, at no pace", func() {
		full()
		f.submitStep(3, durable.Step{Count: 1, Need: durable.Resources{CPU: 3000, Memory: 10}, EstimateMS: 100})
		f.pass(15 * time.Millisecond)
		f.core.Take(f.now)
		f.worker("w2")
		f.status("w2", 2000)
		f.core.Take(f.now) // the small tasks go there; the ask at w1 still names them
		f.contested("w1", 1000)
		e := f.core.Take(f.now)
		Expect(f.orders(e)).To(BeEmpty())
		Expect(asks(e)["w1"].Seen).To(Equal(f.stamp))
		Expect(asks(e)["w1"].Waits).To(ConsistOf(HaveField("Need.CPU", int64(3000))))
	})

	It("asks anew over a new connection, and from a new life of the backend server", func() {
		full()
		f.core.WorkerDown(f.now, "w1")
		f.worker("w1")
		f.status("w1", 0)
		f.pass(15 * time.Millisecond)
		Expect(asks(f.core.Take(f.now))["w1"].Seq).To(Equal(uint64(1)))
		f.stamp++
		f.core.Status(f.now, "w1", &wire.WorkerStatus{
			Stamp: f.stamp, Ready: true, StartSeq: f.starts["w1"],
			Identity: &wire.BackendIdentity{Instance: "next", Service: "s", Capacity: durable.Resources{CPU: 4000, Memory: 1000}},
		})
		f.pass(15 * time.Millisecond)
		Expect(asks(f.core.Take(f.now))["w1"].Waits).NotTo(BeEmpty())
	})

	It("asks only where the task may go", func() {
		full()
		f.workerIn("lautoka", "w2")
		f.evacuate(2, "lautoka")
		step := tasks(1)
		step.Requires = "rack-9"
		f.submitStep(3, step)
		f.pass(60 * time.Millisecond)
		e := f.core.Take(f.now)
		Expect(asks(e)).NotTo(HaveKey("w2"))
		for _, k := range asks(e)["w1"].Waits {
			Expect(k.Tasks).To(Equal(uint32(2)), "not the one that wants the rack")
		}
	})

	It("uses the room of whom it asked, however many workers there are", func() {
		const workers = 200
		f.now = f.now.Add(20 * time.Millisecond)
		full()
		for i := range workers {
			f.core.WorkerUp(f.now, fmt.Sprintf("x%d", i), "nadi")
			f.status(fmt.Sprintf("x%d", i), 0)
		}
		f.pass(20 * time.Millisecond)
		asked := asks(f.core.Take(f.now))
		Expect(len(asked)).To(BeNumerically(">=", 15))
		for _, name := range ordered.Keys(asked)[:2] {
			f.status(name, 1000)
			Expect(f.orders(f.core.Take(f.now))).To(HaveLen(1), name)
		}
	})

	Context("when word of room", func() {
		BeforeEach(full)

		It("is lost, asks again, and uses the next", func() {
			f.pass(60 * time.Millisecond)
			Expect(asks(f.core.Take(f.now))).To(HaveKey("w1"))
			f.contested("w1", 1000)
			Expect(f.orders(f.core.Take(f.now))).To(HaveLen(1))
		})

		It("is late, orders once, and asks again after the hand-back", func() {
			f.contested("w1", 1000)
			run := f.orders(f.core.Take(f.now))
			Expect(run).To(HaveLen(1))
			f.end(run[0], wire.EndNotRun)
			Expect(f.orders(f.core.Take(f.now))).To(BeEmpty())
			f.pass(60 * time.Millisecond)
			Expect(asks(f.core.Take(f.now))["w1"].Waits).To(ContainElement(HaveField("Tasks", uint32(2))))
		})

		It("comes twice, uses it once", func() {
			f.contested("w1", 1000)
			starts := f.starts["w1"]
			Expect(f.orders(f.core.Take(f.now))).To(HaveLen(1))
			f.stamp--
			f.starts["w1"] = starts
			f.contested("w1", 1000)
			Expect(f.orders(f.core.Take(f.now))).To(BeEmpty())
		})

		It("is old where others wait, is not believed", func() {
			f.contested("w1", 500)
			f.core.Take(f.now)
			f.pass(20 * time.Millisecond)
			f.submitStep(3, durable.Step{Count: 1, Need: durable.Resources{CPU: 500, Memory: 10}, EstimateMS: 100})
			Expect(f.orders(f.core.Take(f.now))).To(BeEmpty())
		})
	})

	It("sends a task that came back only where room was just told of", func() {
		full()
		f.worker("w2")
		f.worker("w3")
		f.core.Take(f.now)
		f.pass(20 * time.Millisecond)
		f.submitStep(3, tasks(1))
		run := f.orders(f.core.Take(f.now))
		Expect(run).To(HaveLen(1))
		f.end(run[0], wire.EndNotRun)
		e := f.core.Take(f.now)
		Expect(f.orders(e)).To(BeEmpty())
		Expect(asks(e)).To(HaveKey("w3"))
		f.status("w3", 4000)
		Expect(f.orders(f.core.Take(f.now))).To(HaveLen(1))
	})
})
