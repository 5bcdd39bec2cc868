package scheduler_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/wire"
)

// suspect reports that the backend server of the run refused connections until the lease was over. Each
// run has a server instance of its own.
func (f *fixture) suspect(s sent) {
	f.core.Ends(f.now, s.worker, &wire.RunEnds{Ends: []wire.RunEnd{{Ref: s.order.Ref, How: uint8(wire.EndSuspected), Instance: instanceOf(s), Begun: true, Alone: true}}})
}

func instanceOf(s sent) string { return fmt.Sprint("i-", s.worker, s.order.Ref.Run) }

// answersAgain has a worker report that its backend server, which it had given up, answers again.
func (f *fixture) answersAgain(name, instance string) {
	for _, ready := range []bool{false, true} {
		f.stamp++
		f.core.Status(f.now, name, &wire.WorkerStatus{
			Stamp: f.stamp, Ready: ready, StartSeq: f.starts[name],
			Identity: &wire.BackendIdentity{Instance: instance, Service: "s", Capacity: durable.Resources{CPU: 4000, Memory: 1000}},
		})
	}
}

// These specs guard against a job that fails because backend servers refused connections during its
// runs, although they ran on.
var _ = Describe("a task whose backend servers refuse connections", func() {
	var f *fixture
	var run sent
	BeforeEach(func() {
		f = newFixture()
		f.worker("w1")
		f.core.Submit(f.now, 1, bestEffort(1), 0)
		run = f.next("w1")
	})
	orders := func() []sent {
		f.status("w1", 4000)
		return f.orders(f.core.Take(f.now))
	}

	It("is started again after the first, as a suspect", func() {
		f.suspect(run)
		Expect(f.next("w1").order.Crashes).To(Equal(uint32(1)))
	})

	It("waits after the second, and its job does not fail", func() {
		f.suspect(run)
		f.suspect(f.next("w1"))
		e := f.core.Take(f.now)
		Expect(e.Replies).To(BeEmpty())
		Expect(orders()).To(BeEmpty())
	})

	It("goes on as soon as one has answered again, which counts no more", func() {
		f.suspect(run)
		second := f.next("w1")
		f.suspect(second)
		f.answersAgain("w1", instanceOf(second))
		f.pass(20 * time.Millisecond)
		Expect(f.next("w1").order.Crashes).To(Equal(uint32(1)))
	})

	It("fails its job once the crashes are certain", func() {
		f.suspect(run)
		second := f.next("w1")
		f.suspect(second)
		f.crash(run, true, false)
		Expect(f.core.Take(f.now).Replies).To(BeEmpty())
		f.crash(second, true, true)
		Expect(f.core.Take(f.now).Replies).To(ConsistOf(HaveField("State", durable.Failed)))
	})

	It("of a durable job is started five times at most until it is known which of them have crashed", func() {
		f := newFixture().owning(nil)
		f.worker("w1")
		run := f.running(job(tasks(1)))[0]
		const wait = 2600 * time.Millisecond
		for range 4 {
			f.suspect(run)
			f.wait(wait, "w1")
			run = f.next("w1")
		}
		f.suspect(run)
		f.wait(wait, "w1")
		f.status("w1", 4000)
		Expect(f.orders(f.core.Take(f.now))).To(BeEmpty())
		Expect(f.state()).To(Equal(durable.Running))
		f.answersAgain("w1", instanceOf(run))
		f.pass(20 * time.Millisecond)
		f.next("w1")
	})
})

var _ = Describe("a best-effort job that is sent again", func() {
	It("fails where two servers have crashed under one of its tasks", func() {
		f := newFixture()
		f.worker("w1")
		f.core.Submit(f.now, 1, bestEffort(1), 0)
		f.crash(f.next("w1"), true, false)
		f.crash(f.next("w1"), true, false)
		f.core.Abandon(f.now, 1, id)
		f.core.Take(f.now)
		f.core.Submit(f.now, 2, bestEffort(1), 0)
		Expect(f.core.Take(f.now).Replies).To(ConsistOf(HaveField("State", durable.Failed)))
	})

	It("counts a crash that another coordinator reports meanwhile", func() {
		f := newFixture()
		f.worker("w1")
		f.core.Submit(f.now, 1, bestEffort(1), 0)
		f.next("w1")
		f.core.RecordCrashes(f.now, &wire.CrashReport{Crashes: []wire.TaskCrash{{Task: durable.TaskID{Job: id}, Instance: "a", Begun: true, GivenUp: true}}})
		Expect(f.core.Take(f.now).Replies).To(ConsistOf(HaveField("State", durable.Failed)))
	})
})
