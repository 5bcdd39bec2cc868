package scheduler_test

import (
	"fmt"
	"math"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	. "github.com/onsi/gomega/gstruct"

	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/jobs/scheduler"
	"github.com/lichenfall/lichenfall/lib/failure"
	"github.com/lichenfall/lichenfall/wire"
)

// A worker has four cores. A task of bestEffort takes one for 100 ms, and its job may be thought
// to wait for 60 ms, and does not for more than 120.

// full tells that nothing is free at the worker, and what waits there for others.
func (f *fixture) full(name string, waiting ...wire.WaitingWork) {
	f.stamp++
	f.core.Status(f.now, name, &wire.WorkerStatus{
		Stamp: f.stamp, Ready: true, StartSeq: f.starts[name], Waiting: waiting,
		Identity: &wire.BackendIdentity{Instance: "i-" + name, Service: "s", Capacity: durable.Resources{CPU: 4000, Memory: 1000}},
	})
}

// submit submits a job and returns its number, by which its calls are known too.
func (f *fixture) submit(number int, priority int32, s *durable.Submission) scheduler.Call {
	s.ID = durable.JobID(fmt.Sprintf("%016x", number))
	s.Queue.Priority = priority
	s.Queue.Name = fmt.Sprintf("q%d", priority)
	f.core.Submit(f.now, scheduler.Call(number), s, 0)
	return scheduler.Call(number)
}

// refused returns the calls that have been refused since the last time, and their replies.
func (f *fixture) refused() (calls []scheduler.Call, replies []scheduler.Reply, notes []scheduler.Note) {
	e := f.core.Take(f.now)
	for _, r := range e.Replies {
		Expect(r.Failure).To(Equal(failure.Overloaded))
		calls = append(calls, r.Call)
	}
	return calls, e.Replies, e.Notes
}

// span is work that takes the worker so many milliseconds, with turns from first to last.
func span(first, last, ms int64) wire.WaitingWork {
	return wire.WaitingWork{FirstMS: first, LastMS: last, Work: 4000 * ms}
}

var _ = Describe("admission by all that waits", func() {
	var f *fixture
	BeforeEach(func() {
		f = newFixture()
		f.worker("w1")
		f.core.Take(f.now)
	})
	// admitted returns whether a job is let in while the worker is full.
	admitted := func(waiting ...wire.WaitingWork) bool {
		f.full("w1", waiting...)
		f.submit(1, 0, bestEffort(1))
		calls, _, _ := f.refused()
		return len(calls) == 0
	}

	DescribeTable("counts what comes first at other coordinators",
		func(is bool, waiting ...wire.WaitingWork) { Expect(admitted(waiting...)).To(Equal(is)) },
		Entry("nothing", true),
		Entry("little that is tighter", true, span(-100, 0, 50)),
		Entry("much that is tighter", false, span(-100, 0, 70)),
		Entry("much of begun jobs", false, span(-3_600_000, -3_600_000, 70)),
		Entry("much that is looser, or overdue", true, span(100, 3_600_000, 5000)),
		Entry("much of which the first half comes before it", true, span(0, 120, 110)),
		Entry("more of which the first half does", false, span(0, 120, 130)),
		Entry("of two priorities, too much together", false, span(-100, 0, 35), span(-50, 60, 35)),
	)

	It("shifts the turns that were told by the age of the status", func() {
		f.full("w1", span(100, 100, 500))
		f.now = f.now.Add(50 * time.Millisecond)
		f.submit(1, 0, bestEffort(1)) // its turn is 110 ms after the status
		calls, _, _ := f.refused()
		Expect(calls).To(HaveLen(1))
	})

	It("has twice the wait on servers that take twice as long", func() {
		f.full("w1", span(-100, 0, 40))
		f.submit(1, 0, bestEffort(1))
		calls, _, _ := f.refused()
		Expect(calls).To(BeEmpty())
		f.stamp++
		f.core.Status(f.now, "w1", &wire.WorkerStatus{Stamp: f.stamp, Ready: true, TimeFactor: 200, Waiting: []wire.WaitingWork{span(-100, 0, 40)}})
		f.submit(2, 0, bestEffort(1))
		calls, _, _ = f.refused()
		Expect(calls).To(ConsistOf(BeEquivalentTo(2)))
	})

	It("takes others to have as much as we where what they told is old", func() {
		f.core.SetSharers("s", 2)
		f.full("w1", span(-100, 0, 5000))
		f.pass(450 * time.Millisecond)
		f.submit(1, 0, bestEffort(2))
		f.submit(2, 0, bestEffort(1)) // 50 ms of ours before it, and 50 of theirs
		calls, _, notes := f.refused()
		Expect(calls).To(ConsistOf(BeEquivalentTo(2)))
		Expect(notes).To(ContainElement(And(
			HaveField("What", scheduler.JobRefused),
			HaveField("Forecast", PointTo(And(
				HaveField("Own", 50*time.Millisecond), HaveField("Others", 50*time.Millisecond), HaveField("Unknown", 1)))),
		)))
	})

	It("has all for itself where it is known that nobody else waits", func() {
		f.core.SetSharers("s", 2)
		f.full("w1")
		f.submit(1, 0, bestEffort(2))
		f.submit(2, 0, bestEffort(1))
		calls, _, _ := f.refused()
		Expect(calls).To(BeEmpty())
	})

	It("of a coordinator that has just started lets in while a worker has not said what it has", func() {
		f.full("w1", span(-100, 0, 5000))
		f.core.WorkerUp(f.now, "w2", "nadi")
		f.submit(1, 0, bestEffort(1))
		calls, _, _ := f.refused()
		Expect(calls).To(BeEmpty())
	})

	It("goes by the even share when it is switched off", func() {
		f.cfg.Load.AdmitByAll = false
		f.core = scheduler.New(f.cfg.Core("nadi"), 1)
		f.evacuate(1)
		f.worker("w1")
		Expect(admitted(span(-100, 0, 5000))).To(BeTrue())
	})

	It("says in the log what stood before the job, and how old that knowledge was", func() {
		f.full("w1", span(-100, 0, 70))
		f.now = f.now.Add(30 * time.Millisecond)
		f.submit(1, 2, bestEffort(1))
		_, _, notes := f.refused()
		Expect(notes).To(ContainElement(HaveField("Forecast", PointTo(Equal(scheduler.Forecast{
			Class: 2, Others: 70 * time.Millisecond, Age: 30 * time.Millisecond, Allowed: 60 * time.Millisecond,
		})))))
	})
})

var _ = Describe("a queue that is judged anew", func() {
	It("has what cannot be served any more refused in the tick after the room shrank, the least urgent first", func() {
		f := newFixture()
		f.workerIn("nadi", "w1")
		f.workerIn("lautoka", "w2")
		f.workerIn("lautoka", "w3")
		for _, name := range []string{"w1", "w2", "w3"} {
			f.full(name)
		}
		for i := range 4 {
			f.submit(10+i, 1, bestEffort(1))
		}
		for i := range 4 {
			f.submit(1+i, 0, bestEffort(1))
		}
		calls, _, _ := f.refused()
		Expect(calls).To(BeEmpty())
		f.evacuate(2, "lautoka")
		f.pass(20 * time.Millisecond)
		calls, _, _ = f.refused()
		Expect(len(calls)).To(BeNumerically(">=", 3), "of eight tasks four cores start four, and one at the last moment")
		for _, call := range calls {
			Expect(call).To(BeNumerically(">=", 10))
		}
	})

	It("keeps jobs that have begun, and kept ones", func() {
		f := newFixture().owning(nil)
		f.worker("w1")
		kept := job(tasks(80))
		f.core.Submit(f.now, 99, kept, 0)
		f.core.Committed(f.now, f.partition(), epoch, scheduler.CommitOK)
		f.submit(1, 0, bestEffort(80))
		f.core.Take(f.now)
		f.full("w1", span(-100, 0, 5000))
		f.pass(100 * time.Millisecond)
		Expect(f.core.Take(f.now).Replies).To(BeEmpty())
	})

	It("refuses nothing beside room for all of it, and notes that it was about to", func() {
		f := newFixture()
		f.worker("w1")
		f.full("w1")
		f.submit(1, 0, bestEffort(2))
		f.core.Take(f.now)
		f.now = f.now.Add(130 * time.Millisecond)
		f.status("w1", 4000)
		f.core.Tick(f.now)
		e := f.core.Take(f.now)
		Expect(e.Replies).To(BeEmpty())
		runs := f.orders(e)
		f.status("w1", 3000)
		Expect(append(runs, f.orders(f.core.Take(f.now))...)).To(HaveLen(2))
		Expect(e.Notes).To(ContainElement(HaveField("What", scheduler.RefusalBesideRoom)))
	})
})

var _ = Describe("jobs of later classes", func() {
	var f *fixture
	// long is an urgent job that may wait for 630 ms, so that small ones go before it.
	long := func() *durable.Submission {
		s := bestEffort(1)
		s.Steps[0].EstimateMS = 2000
		return s
	}
	BeforeEach(func() {
		f = newFixture()
		f.worker("w1")
		f.full("w1")
	})

	It("give way to an urgent one that could not be served otherwise", func() {
		late := f.submit(1, 1, bestEffort(40))
		f.submit(2, 0, long())
		calls, _, notes := f.refused()
		Expect(calls).To(ConsistOf(late))
		Expect(notes).To(ContainElement(And(HaveField("What", scheduler.JobGivenUp), HaveField("Reason", "gave_way"))))
	})

	It("do not where that would not suffice", func() {
		f.full("w1", span(-100, 0, 700))
		f.status("w1", 0)
		f.submit(1, 1, bestEffort(40))
		f.full("w1", span(-100, 0, 700))
		urgent := f.submit(2, 0, long())
		calls, _, _ := f.refused()
		Expect(calls).To(ConsistOf(urgent))
	})

	It("do not when they have begun", func() {
		f.status("w1", 1000)
		f.submit(1, 1, bestEffort(40))
		Expect(f.orders(f.core.Take(f.now))).To(HaveLen(1))
		f.full("w1")
		urgent := f.submit(2, 0, long())
		calls, _, _ := f.refused()
		Expect(calls).To(ConsistOf(urgent))
	})

	It("that are refused together come back over seconds, the urgent ones first", func() {
		f.full("w1", span(-100_000, 0, 130))
		mean := make([]float64, 3)
		const n = 120
		for priority := range int32(3) {
			for i := range n {
				f.submit(1000*int(priority)+i, priority, bestEffort(1))
			}
			_, replies, _ := f.refused()
			Expect(replies).To(HaveLen(n))
			in := make(map[float64]int)
			for _, r := range replies {
				Expect(r.RetryAfter).To(And(BeNumerically(">=", time.Second), BeNumerically("<=", 5*time.Second)))
				in[math.Ceil(r.RetryAfter.Seconds())]++
				mean[priority] += r.RetryAfter.Seconds() / n
			}
			for _, k := range in {
				Expect(k).To(BeNumerically("<=", n/2))
			}
		}
		Expect(mean[0]).To(BeNumerically("<", mean[1]))
		Expect(mean[1]).To(BeNumerically("<", mean[2]))
	})
})
