package scheduler_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/lib/failure"
	"github.com/lichenfall/lichenfall/wire"
)

// silent reports that the lease of the run lapsed while its backend server was silent.
func (f *fixture) silent(s sent) {
	f.core.Ends(f.now, s.worker, &wire.RunEnds{Ends: []wire.RunEnd{{Ref: s.order.Ref, How: uint8(wire.EndLapsed), Instance: fmt.Sprint("i-", s.worker, s.order.Ref.Run)}}})
}

var _ = Describe("a task under which backend servers fall silent", func() {
	twice := func() (f *fixture, first, second sent) {
		f = newFixture().owning(nil)
		f.worker("w1")
		first = f.running(job(tasks(1)))[0]
		f.silent(first)
		second = f.next("w1") // after one silence the task is queued again at once
		f.silent(second)
		f.status("w1", 4000)
		Expect(f.orders(f.core.Take(f.now))).To(BeEmpty())
		return f, first, second
	}

	It("is suspended after the second, for less time than its job may stand still", func() {
		f, _, _ := twice()
		f.wait(2400*time.Millisecond, "w1")
		Expect(f.orders(f.core.Take(f.now))).To(BeEmpty())
		f.wait(200*time.Millisecond, "w1")
		Expect(f.orders(f.core.Take(f.now))).To(HaveLen(1))
	})

	It("is resumed as soon as all silences have turned out to be crashes, and counts these", func() {
		f, first, second := twice()
		f.crash(second, true, false)
		f.status("w1", 4000)
		Expect(f.orders(f.core.Take(f.now))).To(BeEmpty())
		f.crash(first, true, false)
		Expect(f.next("w1").order.Crashes).To(Equal(uint32(2)))
	})

	It("of a best-effort job is still suspended when its caller resends the job", func() {
		f := newFixture()
		f.worker("w1")
		f.core.Submit(f.now, 1, bestEffort(1), 0)
		f.silent(f.next("w1"))
		f.silent(f.next("w1"))
		f.core.Abandon(f.now, 1, id)
		f.core.Submit(f.now, 2, bestEffort(1), 0)
		f.status("w1", 4000)
		Expect(f.orders(f.core.Take(f.now))).To(BeEmpty())
	})

	It("is not started after its job was refused while the task was suspended", func() {
		f := newFixture()
		f.worker("w1")
		f.core.RecordCrashes(f.now, &wire.CrashReport{Crashes: []wire.TaskCrash{
			{Task: durable.TaskID{Job: id}, Instance: "a", Suspected: true},
			{Task: durable.TaskID{Job: id}, Instance: "b", Suspected: true},
		}})
		f.core.Submit(f.now, 1, bestEffort(1), 0)
		f.wait(time.Second, "w1")
		Expect(f.core.Take(f.now).Replies).To(ConsistOf(HaveField("Failure", failure.Overloaded)))
		f.wait(2*time.Second, "w1")
		Expect(f.orders(f.core.Take(f.now))).To(BeEmpty())
	})

	It("of a best-effort job is not started again once too many of the silences have turned out to be crashes", func() {
		f := newFixture()
		f.worker("w1")
		f.core.Submit(f.now, 1, bestEffort(1), 0)
		run := f.next("w1")
		f.core.Abandon(f.now, 1, id)
		for n := range uint32(3) {
			late := run
			late.order.Ref.Run += n
			f.crash(late, true, false)
		}
		f.core.Take(f.now)
		f.core.Submit(f.now, 2, bestEffort(1), 0)
		e := f.core.Take(f.now)
		Expect(e.Replies).To(ConsistOf(HaveField("State", durable.Failed)))
		Expect(e.Crashes).To(BeEmpty())
	})
})
