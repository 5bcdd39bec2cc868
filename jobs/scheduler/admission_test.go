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

// A worker has four cores. A task of bestEffort takes one core for 100 ms. Its job is admitted if it is
// expected to wait for up to 60 ms, and its due time is after 120 ms.

// fullStatus sends a status of a worker without free capacity, with the work that waits there for
// other coordinators.
func (f *fixture) fullStatus(name string, waiting ...wire.WaitingWork) {
	f.stamp++
	f.core.Status(f.now, name, &wire.WorkerStatus{
		Stamp: f.stamp, Ready: true, StartSeq: f.starts[name], Waiting: waiting,
		Identity: &wire.BackendIdentity{Instance: "i-" + name, Service: "s", Capacity: durable.Resources{CPU: 4000, Memory: 1000}},
	})
}

// submit submits a job and returns its call, which has the same number.
func (f *fixture) submit(number int, priority int32, s *durable.Submission) scheduler.Call {
	s.ID = durable.JobID(fmt.Sprintf("%016x", number))
	s.Queue.Priority = priority
	s.Queue.Name = fmt.Sprintf("q%d", priority)
	f.core.Submit(f.now, scheduler.Call(number), s, 0)
	return scheduler.Call(number)
}

// refused returns the calls that have been refused since the last Take, with all replies and notes.
func (f *fixture) refused() (calls []scheduler.Call, replies []scheduler.Reply, notes []scheduler.Note) {
	e := f.core.Take(f.now)
	for _, r := range e.Replies {
		Expect(r.Failure).To(Equal(failure.Overloaded))
		calls = append(calls, r.Call)
	}
	return calls, e.Replies, e.Notes
}

// row returns a row of waiting work that takes a worker ms milliseconds, with virtual deadlines from
// first to last.
func row(first, last, ms int64) wire.WaitingWork {
	return wire.WaitingWork{FirstMS: first, LastMS: last, Work: 4000 * ms}
}

var _ = Describe("admission by the work at all coordinators", func() {
	var f *fixture
	BeforeEach(func() {
		f = newFixture()
		f.worker("w1")
		f.core.Take(f.now)
	})
	// admitted returns whether a job is admitted while the worker is full.
	admitted := func(waiting ...wire.WaitingWork) bool {
		f.fullStatus("w1", waiting...)
		f.submit(1, 0, bestEffort(1))
		calls, _, _ := f.refused()
		return len(calls) == 0
	}

	DescribeTable("counts the work that precedes the job at other coordinators",
		func(is bool, waiting ...wire.WaitingWork) { Expect(admitted(waiting...)).To(Equal(is)) },
		Entry("nothing", true),
		Entry("little work with less slack", true, row(-100, 0, 50)),
		Entry("much work with less slack", false, row(-100, 0, 70)),
		Entry("much work of jobs that have begun", false, row(-3_600_000, -3_600_000, 70)),
		Entry("much work with more slack, or overdue", true, row(100, 3_600_000, 5000)),
		Entry("work of which the first half precedes the job, little enough", true, row(0, 120, 110)),
		Entry("work of which the first half precedes the job, too much", false, row(0, 120, 130)),
		Entry("work of two priorities, too much together", false, row(-100, 0, 35), row(-50, 60, 35)),
	)

	It("shifts the reported virtual deadlines by the age of the status", func() {
		f.fullStatus("w1", row(100, 100, 500))
		f.now = f.now.Add(50 * time.Millisecond)
		f.submit(1, 0, bestEffort(1)) // its virtual deadline is 110 ms after the status
		calls, _, _ := f.refused()
		Expect(calls).To(HaveLen(1))
	})

	It("expects twice the wait on servers that take twice as long", func() {
		f.fullStatus("w1", row(-100, 0, 40))
		f.submit(1, 0, bestEffort(1))
		calls, _, _ := f.refused()
		Expect(calls).To(BeEmpty())
		f.stamp++
		f.core.Status(f.now, "w1", &wire.WorkerStatus{Stamp: f.stamp, Ready: true, TimeFactor: 200, Waiting: []wire.WaitingWork{row(-100, 0, 40)}})
		f.submit(2, 0, bestEffort(1))
		calls, _, _ = f.refused()
		Expect(calls).To(ConsistOf(BeEquivalentTo(2)))
	})

	It("assumes as much work at each other coordinator as here while reports are stale", func() {
		f.core.SetSharers("s", 2)
		f.fullStatus("w1", row(-100, 0, 5000))
		f.pass(450 * time.Millisecond)
		f.submit(1, 0, bestEffort(2))
		f.submit(2, 0, bestEffort(1)) // 50 ms of work here precede it, and as much elsewhere
		calls, _, notes := f.refused()
		Expect(calls).To(ConsistOf(BeEquivalentTo(2)))
		Expect(notes).To(ContainElement(And(
			HaveField("What", scheduler.JobRefused),
			HaveField("Forecast", PointTo(And(
				HaveField("Own", 50*time.Millisecond), HaveField("Others", 50*time.Millisecond), HaveField("Unknown", 1)))),
		)))
	})

	It("counts on all capacity while workers report that no other coordinator waits", func() {
		f.core.SetSharers("s", 2)
		f.fullStatus("w1")
		f.submit(1, 0, bestEffort(2))
		f.submit(2, 0, bestEffort(1))
		calls, _, _ := f.refused()
		Expect(calls).To(BeEmpty())
	})

	It("admits jobs while a worker that has just connected has not sent a status", func() {
		f.fullStatus("w1", row(-100, 0, 5000))
		f.core.WorkerUp(f.now, "w2", "nadi")
		f.submit(1, 0, bestEffort(1))
		calls, _, _ := f.refused()
		Expect(calls).To(BeEmpty())
	})

	It("ignores the work at other coordinators when it is switched off", func() {
		f.cfg.Load.AdmitByAll = false
		f.core = scheduler.New(f.cfg.Core("nadi"), 1)
		f.evacuate(1)
		f.worker("w1")
		Expect(admitted(row(-100, 0, 5000))).To(BeTrue())
	})

	It("logs the forecast of a refused job, with the age of the reports", func() {
		f.fullStatus("w1", row(-100, 0, 70))
		f.now = f.now.Add(30 * time.Millisecond)
		f.submit(1, 2, bestEffort(1))
		_, _, notes := f.refused()
		Expect(notes).To(ContainElement(HaveField("Forecast", PointTo(Equal(scheduler.Forecast{
			Class: 2, Others: 70 * time.Millisecond, Age: 30 * time.Millisecond, Allowed: 60 * time.Millisecond,
		})))))
	})
})

var _ = Describe("the review of a queue", func() {
	It("refuses the jobs that cannot be served any more in the tick after the capacity shrank, the least urgent first", func() {
		f := newFixture()
		f.workerIn("nadi", "w1")
		f.workerIn("lautoka", "w2")
		f.workerIn("lautoka", "w3")
		for _, name := range []string{"w1", "w2", "w3"} {
			f.fullStatus(name)
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
		Expect(len(calls)).To(BeNumerically(">=", 3), "four cores start four of eight tasks at once, and one more just in time")
		for _, call := range calls {
			Expect(call).To(BeNumerically(">=", 10))
		}
	})

	It("refuses no jobs that have begun, and no durable ones", func() {
		f := newFixture().owning(nil)
		f.worker("w1")
		stored := job(tasks(80))
		f.core.Submit(f.now, 99, stored, 0)
		f.core.Committed(f.now, f.partition(), epoch, scheduler.CommitOK)
		f.submit(1, 0, bestEffort(80))
		f.core.Take(f.now)
		f.fullStatus("w1", row(-100, 0, 5000))
		f.pass(100 * time.Millisecond)
		Expect(f.core.Take(f.now).Replies).To(BeEmpty())
	})

	It("refuses no job that fits into the free capacity, and logs the attempt as a fault", func() {
		f := newFixture()
		f.worker("w1")
		f.fullStatus("w1")
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
	// long returns an urgent job that may wait for 630 ms, so that short jobs precede it.
	long := func() *durable.Submission {
		s := bestEffort(1)
		s.Steps[0].EstimateMS = 2000
		return s
	}
	BeforeEach(func() {
		f = newFixture()
		f.worker("w1")
		f.fullStatus("w1")
	})

	It("are evicted for an urgent one that could not be served otherwise", func() {
		evicted := f.submit(1, 1, bestEffort(40))
		f.submit(2, 0, long())
		calls, _, notes := f.refused()
		Expect(calls).To(ConsistOf(evicted))
		Expect(notes).To(ContainElement(And(HaveField("What", scheduler.JobGivenUp), HaveField("Reason", "gave_way"))))
	})

	It("are not evicted where that would not suffice", func() {
		f.fullStatus("w1", row(-100, 0, 700))
		f.status("w1", 0)
		f.submit(1, 1, bestEffort(40))
		f.fullStatus("w1", row(-100, 0, 700))
		urgent := f.submit(2, 0, long())
		calls, _, _ := f.refused()
		Expect(calls).To(ConsistOf(urgent))
	})

	It("are not evicted when they have begun", func() {
		f.status("w1", 1000)
		f.submit(1, 1, bestEffort(40))
		Expect(f.orders(f.core.Take(f.now))).To(HaveLen(1))
		f.fullStatus("w1")
		urgent := f.submit(2, 0, long())
		calls, _, _ := f.refused()
		Expect(calls).To(ConsistOf(urgent))
	})

	It("that are refused together are told to try again over several seconds, the urgent ones first", func() {
		f.fullStatus("w1", row(-100_000, 0, 130))
		mean := make([]float64, 3)
		const n = 120
		for priority := range int32(3) {
			for i := range n {
				f.submit(1000*int(priority)+i, priority, bestEffort(1))
			}
			_, replies, _ := f.refused()
			Expect(replies).To(HaveLen(n))
			bySecond := make(map[float64]int)
			for _, r := range replies {
				Expect(r.RetryAfter).To(And(BeNumerically(">=", time.Second), BeNumerically("<=", 5*time.Second)))
				bySecond[math.Ceil(r.RetryAfter.Seconds())]++
				mean[priority] += r.RetryAfter.Seconds() / n
			}
			for _, k := range bySecond {
				Expect(k).To(BeNumerically("<=", n/2))
			}
		}
		Expect(mean[0]).To(BeNumerically("<", mean[1]))
		Expect(mean[1]).To(BeNumerically("<", mean[2]))
	})
})
