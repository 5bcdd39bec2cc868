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

// requests returns the newest capacity request that was sent to each worker.
func requests(e scheduler.Effects) map[string]*wire.CapacityRequest {
	out := make(map[string]*wire.CapacityRequest)
	for _, s := range e.Sends {
		if m, ok := s.Message.(*wire.CapacityRequest); ok {
			out[s.Worker] = m
		}
	}
	return out
}

// submitStep submits a best-effort job of one step.
func (f *fixture) submitStep(call scheduler.Call, step durable.Step) {
	s := job(step)
	s.ID = durable.JobID(fmt.Sprintf("%016x", call))
	s.BestEffort = true
	f.core.Submit(f.now, call, s, 0)
}

// contestedStatus sends a status of a worker with free capacity for which other coordinators wait.
func (f *fixture) contestedStatus(name string, free int64) {
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
	// full sends a status by which the worker has handled the orders and has no free capacity.
	full := func() {
		f.orders(first)
		f.status("w1", 0)
		f.core.Take(f.now)
	}

	It("requests capacity, and names the status that it has handled", func() {
		Expect(f.orders(first)).To(HaveLen(4))
		m := requests(first)["w1"]
		Expect(m.Seq).To(Equal(uint64(1)))
		Expect(m.Seen).To(Equal(f.stamp))
		Expect(m.Waits).To(HaveLen(1))
		Expect(m.Waits[0].Tasks).To(Equal(uint32(2)))
		Expect(m.Waits[0].Need).To(Equal(durable.Resources{CPU: 1000, Memory: 10}))
		Expect(m.Waits[0].Work).To(Equal(int64(2 * 1000 * 100)))
		Expect(m.Waits[0].FirstMS).To(Equal(int64(60)), "half its slack: the first class has no delay")
	})

	It("sends a request after the orders to the same worker", func() {
		last := first.Sends[len(first.Sends)-1]
		Expect(last.Message).To(BeAssignableToTypeOf(&wire.CapacityRequest{}))
	})

	It("sends no request when that is switched off", func() {
		cfg := f.cfg.Core("nadi")
		cfg.Load.AskForRoom = false
		f.core = scheduler.New(cfg, 1)
		f.evacuate(1)
		f.worker("w1")
		f.submitStep(1, tasks(6))
		Expect(requests(f.core.Take(f.now))).To(BeEmpty())
	})

	It("repeats a request before it expires, and no more often", func() {
		full()
		n := 0
		for range 30 {
			f.pass(5 * time.Millisecond)
			n += len(requests(f.core.Take(f.now)))
		}
		Expect(n).To(BeNumerically("~", 3, 1))
	})

	It("sends a new request for a more urgent task, and names jobs that have begun before all others", func() {
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
		m := requests(f.core.Take(f.now))["w1"]
		Expect(m.Waits).To(HaveLen(2))
		Expect(m.Waits[0].FirstMS).To(BeNumerically("<", -time.Minute.Milliseconds()))
		Expect(m.Waits[0].Tasks).To(Equal(uint32(1)))
	})

	It("withdraws the request at once when nothing waits", func() {
		full()
		f.status("w1", 2000)
		e := f.core.Take(f.now)
		Expect(f.orders(e)).To(HaveLen(2))
		Expect(requests(e)["w1"].Waits).To(BeEmpty())
		f.pass(100 * time.Millisecond)
		Expect(requests(f.core.Take(f.now))).To(BeEmpty())
	})

	It("declines reported capacity that it does not use at once, whenever the last request was", func() {
		full()
		f.submitStep(3, durable.Step{Count: 1, Need: durable.Resources{CPU: 3000, Memory: 10}, EstimateMS: 100})
		f.pass(15 * time.Millisecond)
		f.core.Take(f.now)
		f.worker("w2")
		f.status("w2", 2000)
		f.core.Take(f.now) // the small tasks are ordered there; the request to w1 still names them
		f.contestedStatus("w1", 1000)
		e := f.core.Take(f.now)
		Expect(f.orders(e)).To(BeEmpty())
		Expect(requests(e)["w1"].Seen).To(Equal(f.stamp))
		Expect(requests(e)["w1"].Waits).To(ConsistOf(HaveField("Need.CPU", int64(3000))))
	})

	It("sends a new request over a new connection, and to a new incarnation of the backend server", func() {
		full()
		f.core.WorkerDown(f.now, "w1")
		f.worker("w1")
		f.status("w1", 0)
		f.pass(15 * time.Millisecond)
		Expect(requests(f.core.Take(f.now))["w1"].Seq).To(Equal(uint64(1)))
		f.stamp++
		f.core.Status(f.now, "w1", &wire.WorkerStatus{
			Stamp: f.stamp, Ready: true, StartSeq: f.starts["w1"],
			Identity: &wire.BackendIdentity{Instance: "next", Service: "s", Capacity: durable.Resources{CPU: 4000, Memory: 1000}},
		})
		f.pass(15 * time.Millisecond)
		Expect(requests(f.core.Take(f.now))["w1"].Waits).NotTo(BeEmpty())
	})

	It("sends a request only to workers that may run the task", func() {
		full()
		f.workerIn("lautoka", "w2")
		f.evacuate(2, "lautoka")
		step := tasks(1)
		step.Requires = "rack-9"
		f.submitStep(3, step)
		f.pass(60 * time.Millisecond)
		e := f.core.Take(f.now)
		Expect(requests(e)).NotTo(HaveKey("w2"))
		for _, group := range requests(e)["w1"].Waits {
			Expect(group.Tasks).To(Equal(uint32(2)), "without the task that requires the rack")
		}
	})

	It("uses the capacity that a worker reports on request, however many workers there are", func() {
		const workers = 200
		f.now = f.now.Add(20 * time.Millisecond)
		full()
		for i := range workers {
			f.core.WorkerUp(f.now, fmt.Sprintf("x%d", i), "nadi")
			f.status(fmt.Sprintf("x%d", i), 0)
		}
		f.pass(20 * time.Millisecond)
		sent := requests(f.core.Take(f.now))
		Expect(len(sent)).To(BeNumerically(">=", 15))
		for _, name := range ordered.Keys(sent)[:2] {
			f.status(name, 1000)
			Expect(f.orders(f.core.Take(f.now))).To(HaveLen(1), name)
		}
	})

	Context("when a report of free capacity", func() {
		BeforeEach(full)

		It("is lost, repeats the request and uses the next report", func() {
			f.pass(60 * time.Millisecond)
			Expect(requests(f.core.Take(f.now))).To(HaveKey("w1"))
			f.contestedStatus("w1", 1000)
			Expect(f.orders(f.core.Take(f.now))).To(HaveLen(1))
		})

		It("is late, orders one run, and repeats the request after the run was handed back", func() {
			f.contestedStatus("w1", 1000)
			run := f.orders(f.core.Take(f.now))
			Expect(run).To(HaveLen(1))
			f.end(run[0], wire.EndNotRun)
			Expect(f.orders(f.core.Take(f.now))).To(BeEmpty())
			f.pass(60 * time.Millisecond)
			Expect(requests(f.core.Take(f.now))["w1"].Waits).To(ContainElement(HaveField("Tasks", uint32(2))))
		})

		It("arrives twice, uses it once", func() {
			f.contestedStatus("w1", 1000)
			starts := f.starts["w1"]
			Expect(f.orders(f.core.Take(f.now))).To(HaveLen(1))
			f.stamp--
			f.starts["w1"] = starts
			f.contestedStatus("w1", 1000)
			Expect(f.orders(f.core.Take(f.now))).To(BeEmpty())
		})

		It("is old while others wait, ignores it", func() {
			f.contestedStatus("w1", 500)
			f.core.Take(f.now)
			f.pass(20 * time.Millisecond)
			f.submitStep(3, durable.Step{Count: 1, Need: durable.Resources{CPU: 500, Memory: 10}, EstimateMS: 100})
			Expect(f.orders(f.core.Take(f.now))).To(BeEmpty())
		})
	})

	It("orders a task that was handed back only on a worker with a fresh status", func() {
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
		Expect(requests(e)).To(HaveKey("w3"))
		f.status("w3", 4000)
		Expect(f.orders(f.core.Take(f.now))).To(HaveLen(1))
	})
})
