package scheduler_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/jobs/scheduler"
	"github.com/lichenfall/lichenfall/wire"
)

// crash reports that the run was lost in a crash of its backend server. Each run has a server
// instance of its own.
func (f *fixture) crash(s sent, begun, alone bool) {
	f.core.Ends(f.now, s.worker, &wire.RunEnds{Ends: []wire.RunEnd{{Ref: s.order.Ref, How: uint8(wire.EndCrashed), Instance: fmt.Sprint("i-", s.worker, s.order.Ref.Run), Begun: begun, Alone: alone}}})
}

// next reports the workers as free and returns the run that is ordered, of which there must be
// exactly one.
func (f *fixture) next(workers ...string) sent {
	for _, name := range workers {
		f.status(name, 4000)
	}
	runs := f.orders(f.core.Take(f.now))
	ExpectWithOffset(1, runs).To(HaveLen(1))
	return runs[0]
}

var _ = Describe("a task that crashes backend servers", func() {
	It("is started again until the third crash, even if it was the only suspect each time", func() {
		f := newFixture().owning(nil)
		f.worker("w1")
		run := f.running(job(tasks(1)))[0]
		for n := range uint32(2) {
			Expect(run.order.Crashes).To(Equal(n))
			f.crash(run, true, true)
			run = f.next("w1")
		}
		Expect(f.state()).To(Equal(durable.Running))
		f.crash(run, true, true)
		f.commit(scheduler.CommitOK)
		Expect(f.state()).To(Equal(durable.Failed))
	})

	It("is started again until the fourth crash, if the runs are not known to have started", func() {
		f := newFixture().owning(nil)
		f.worker("w1")
		run := f.running(job(tasks(1)))[0]
		for range 3 {
			f.crash(run, false, true)
			run = f.next("w1")
		}
		Expect(f.state()).To(Equal(durable.Running))
		f.crash(run, false, true)
		f.commit(scheduler.CommitOK)
		Expect(f.state()).To(Equal(durable.Failed))
	})

	It("has each crash counted once, also if it is reported after a later start", func() {
		f := newFixture().owning(nil)
		f.worker("w1")
		first := f.running(job(tasks(1)))[0]
		f.crash(first, true, false)
		second := f.next("w1")
		f.crash(first, true, false)
		f.crash(first, true, false)
		f.crash(second, true, false)
		third := f.next("w1")
		f.crash(second, true, false)
		Expect(f.state()).To(Equal(durable.Running))
		f.crash(third, true, false)
		f.commit(scheduler.CommitOK)
		Expect(f.state()).To(Equal(durable.Failed))
	})

	It("fails a best-effort job at the second crash, if it was the only suspect there", func() {
		f := newFixture()
		f.worker("w1")
		f.core.Submit(f.now, 1, bestEffort(1), 0)
		f.crash(f.next("w1"), true, false)
		f.crash(f.next("w1"), true, true)
		Expect(f.core.Take(f.now).Replies).To(ConsistOf(And(HaveField("Call", scheduler.Call(1)), HaveField("State", durable.Failed))))
	})

	It("fails a best-effort job at the third crash, if other suspects were there", func() {
		f := newFixture()
		f.worker("w1")
		f.core.Submit(f.now, 1, bestEffort(1), 0)
		for range 2 {
			f.crash(f.next("w1"), true, false)
		}
		f.crash(f.next("w1"), true, false)
		Expect(f.core.Take(f.now).Replies).To(ConsistOf(HaveField("State", durable.Failed)))
	})

	It("has its crashes remembered when its best-effort job is resent, here or to another coordinator", func() {
		here, elsewhere := newFixture(), newFixture()
		here.worker("w1")
		elsewhere.worker("w1")
		here.core.Submit(here.now, 1, bestEffort(1), 0)
		here.crash(here.next("w1"), true, false)
		news := here.core.Take(here.now).Crashes
		Expect(news).To(HaveLen(1))
		here.core.Abandon(here.now, 1, id)

		elsewhere.core.RecordCrashes(elsewhere.now, &wire.CrashReport{Crashes: news})
		for _, f := range []*fixture{here, elsewhere} {
			f.status("w1", 4000)
			f.core.Submit(f.now, 2, bestEffort(1), 0)
			Expect(f.next("w1").order.Crashes).To(Equal(uint32(1)))
		}
	})

	It("is not started again when its best-effort job, given up for crashes, is resent within a minute", func() {
		f := newFixture()
		f.worker("w1")
		f.core.RecordCrashes(f.now, &wire.CrashReport{Crashes: []wire.TaskCrash{{Task: durable.TaskID{Job: id}, Instance: "i", Begun: true, GivenUp: true}}})
		f.core.Submit(f.now, 1, bestEffort(1), 0)
		e := f.core.Take(f.now)
		Expect(e.Replies).To(ConsistOf(HaveField("State", durable.Failed)))
		Expect(f.orders(e)).To(BeEmpty())
		f.wait(2*time.Minute, "w1")
		f.core.Submit(f.now, 2, bestEffort(1), 0)
		Expect(f.orders(f.core.Take(f.now))).To(HaveLen(1), "the history has expired")
	})

	It("has its crashes stored for the next owner of its partition", func() {
		f := newFixture().owning(nil)
		f.worker("w1")
		run := f.running(job(tasks(1)))[0]
		f.crash(run, true, false)
		f.status("w1", 0)
		var commits []scheduler.Commit
		for len(commits) == 0 {
			f.pass(f.cfg.LazyCommit.D())
			commits = f.core.Take(f.now).Commits
		}
		stored, malformed := durable.Collect(commits[0].Records)
		Expect(malformed).To(BeEmpty())
		Expect(stored[id].Progress.Crashes).To(Equal(durable.Crashes{{Task: 0, Instance: fmt.Sprint("i-w1", run.order.Ref.Run), Begun: true}}))

		stored[id].Submission = job(tasks(1))
		f = newFixture().owning(stored)
		f.worker("w1")
		run = f.next("w1")
		Expect(run.order.Crashes).To(Equal(uint32(1)))
		f.crash(run, true, false)
		f.crash(f.next("w1"), true, false)
		f.commit(scheduler.CommitOK)
		Expect(f.state()).To(Equal(durable.Failed))
	})

	It("is placed where no other suspect runs, so that the next crash shows which task is at fault", func() {
		f := newFixture().owning(nil)
		for _, name := range []string{"w1", "w2", "w3"} {
			f.worker(name)
		}
		runs := f.running(job(tasks(3)))
		for _, run := range runs {
			f.crash(run, true, false)
		}
		for _, name := range []string{"w1", "w2", "w3"} {
			f.status(name, 4000)
		}
		used := make(map[string]int)
		for _, run := range f.orders(f.core.Take(f.now)) {
			used[run.worker]++
		}
		Expect(used).To(Equal(map[string]int{"w1": 1, "w2": 1, "w3": 1}))
	})
})
