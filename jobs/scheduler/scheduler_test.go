package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lichenfall/lichenfall/config"
	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/jobs/routing"
	"github.com/lichenfall/lichenfall/jobs/scheduler"
	"github.com/lichenfall/lichenfall/lib/failure"
	"github.com/lichenfall/lichenfall/wire"
)

func TestScheduler(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "scheduler")
}

const (
	id    = durable.JobID("5c0e7a21d94b36f8")
	epoch = 5
)

// fixture is a core under test, with its clock and the state that its workers report.
type fixture struct {
	core     *scheduler.Core
	cfg      config.Scheduler
	now      time.Time
	stamp    int64
	starts   map[string]uint64 // Seq of the latest StartRuns for each worker
	failing  map[string]uint32 // Failing of each worker's status, in percent
	slowness map[string]uint32 // Slowness of each worker's status, in percent
}

func newFixture() *fixture {
	f := &fixture{cfg: config.DefaultScheduler(), now: time.Unix(1000, 0), starts: make(map[string]uint64), failing: make(map[string]uint32), slowness: make(map[string]uint32)}
	f.core = scheduler.New(f.cfg.Core("nadi"), 1)
	f.core.Evacuate(f.now, routing.Evacuations{Offset: 1})
	return f
}

// partition returns the partition of the job with id.
func (f *fixture) partition() uint32 { return id.Partition(f.cfg.Partitions) }

// owning makes the core the owner of the job's partition, with the stored jobs.
func (f *fixture) owning(stored map[durable.JobID]*durable.Stored) *fixture {
	f.core.Acquire(f.now, &scheduler.Takeover{Partition: f.partition(), Epoch: epoch, Jobs: stored})
	return f
}

// worker connects a worker with four free cores, which reports no runs.
func (f *fixture) worker(name string) {
	f.core.WorkerUp(f.now, name, "nadi")
	f.status(name, 4000)
	f.core.Runs(f.now, name, &wire.PartitionRuns{Partition: f.partition(), Epoch: epoch})
	f.core.Confirmed(f.now, f.now)
}

// status reports what is free at a worker, in thousandths of a core.
func (f *fixture) status(name string, free int64) {
	f.stamp++
	f.core.Status(f.now, name, &wire.WorkerStatus{
		Stamp: f.stamp, Ready: true, StartSeq: f.starts[name], Failing: f.failing[name], Slowness: f.slowness[name], Free: durable.Resources{CPU: free, Memory: 1000},
		Identity: &wire.BackendIdentity{Instance: "i-" + name, Service: "s", Capacity: durable.Resources{CPU: 4000, Memory: 1000}},
	})
}

// pass lets the time pass at once and ticks.
func (f *fixture) pass(d time.Duration) {
	f.now = f.now.Add(d)
	f.core.Tick(f.now)
}

// wait lets the time pass in steps, in which the workers go on reporting that they are free.
func (f *fixture) wait(d time.Duration, workers ...string) {
	const step = 50 * time.Millisecond
	for end := f.now.Add(d); f.now.Before(end); {
		for _, name := range workers {
			f.status(name, 4000)
		}
		f.pass(step)
	}
}

// job returns a durable job.
func job(steps ...durable.Step) *durable.Submission {
	return &durable.Submission{
		ID: id, Spec: "do it", Steps: steps,
		Queue: durable.Queue{Name: "q", Service: "s", MaxAttempts: 2, Stretch: 1.6, TargetMS: 60},
	}
}

// bestEffort returns a best-effort job of n tasks.
func bestEffort(n uint32) *durable.Submission {
	s := job(tasks(n))
	s.BestEffort = true
	return s
}

// tasks returns a step of n tasks, each of one core and 100 ms.
func tasks(n uint32) durable.Step {
	return durable.Step{Count: n, Need: durable.Resources{CPU: 1000, Memory: 10}, EstimateMS: 100}
}

// sent is a run that was ordered, with the worker it was sent to.
type sent struct {
	worker string
	order  wire.RunOrder
}

// orders returns the runs that are ordered by the effects.
func (f *fixture) orders(e scheduler.Effects) []sent {
	var out []sent
	for _, s := range e.Sends {
		if m, ok := s.Message.(*wire.StartRuns); ok {
			f.starts[s.Worker] = m.Seq
			for _, o := range m.Runs {
				out = append(out, sent{s.Worker, o})
			}
		}
	}
	return out
}

// needs returns the needs of runs that are sent to workers by the effects.
func needs(e scheduler.Effects) []wire.RunNeed {
	var out []wire.RunNeed
	for _, s := range e.Sends {
		if m, ok := s.Message.(*wire.RunNeeds); ok {
			out = append(out, m.Runs...)
		}
	}
	return out
}

// acked returns the runs whose ends are acknowledged by the effects.
func acked(e scheduler.Effects) []wire.RunRef {
	var out []wire.RunRef
	for _, s := range e.Sends {
		if m, ok := s.Message.(*wire.EndsKept); ok {
			out = append(out, m.Runs...)
		}
	}
	return out
}

// end reports the end of a run.
func (f *fixture) end(s sent, how wire.End) {
	f.core.Ends(f.now, s.worker, &wire.RunEnds{Ends: []wire.RunEnd{{Ref: s.order.Ref, How: uint8(how), RunMS: 100}}})
}

// commit lets time pass until there is a commit, and gives the core its result.
func (f *fixture) commit(result scheduler.CommitResult) scheduler.Effects {
	var commits []scheduler.Commit
	for range 100 {
		commits = append(commits, f.core.Take(f.now).Commits...)
		if len(commits) > 0 {
			break
		}
		f.pass(5 * time.Millisecond)
	}
	Expect(commits).To(HaveLen(1))
	f.core.Committed(f.now, commits[0].Partition, commits[0].Epoch, result)
	return f.core.Take(f.now)
}

// running submits a durable job, has it stored, and returns the runs that are ordered.
func (f *fixture) running(s *durable.Submission) []sent {
	f.core.Submit(f.now, 1, s, 0)
	e := f.commit(scheduler.CommitOK)
	Expect(e.Replies).To(ConsistOf(HaveField("Failure", failure.None)))
	return f.orders(e)
}

// state returns the job's state as a caller sees it once our ownership is confirmed.
func (f *fixture) state() durable.State {
	f.core.State(f.now, 99, id, 0)
	f.core.Confirmed(f.now, f.now)
	f.core.Tick(f.now)
	for _, r := range f.core.Take(f.now).Replies {
		if r.Call == 99 {
			Expect(r.Failure).To(Equal(failure.None))
			return r.State
		}
	}
	Fail("no reply")
	return 0
}

var _ = Describe("a durable job", func() {
	It("is acknowledged and started only once it is in the store", func() {
		f := newFixture().owning(nil)
		f.worker("w1")
		f.core.Submit(f.now, 1, job(tasks(2)), 0)
		e := f.core.Take(f.now)
		Expect(e.Replies).To(BeEmpty())
		Expect(f.orders(e)).To(BeEmpty())
		Expect(e.Commits).To(HaveLen(1))
		f.core.Committed(f.now, f.partition(), epoch, scheduler.CommitOK)
		e = f.core.Take(f.now)
		Expect(e.Replies).To(ConsistOf(HaveField("Call", scheduler.Call(1))))
		Expect(f.orders(e)).To(HaveLen(2))
	})

	It("that the store refused never runs, and the caller is told when to retry", func() {
		f := newFixture().owning(nil)
		f.worker("w1")
		f.core.Submit(f.now, 1, job(tasks(1)), 0)
		e := f.commit(scheduler.CommitRefused)
		Expect(e.Replies).To(ConsistOf(And(
			HaveField("Failure", failure.StoreUnavailable), HaveField("RetryAfter", f.cfg.RetryAfter.D()))))
		f.pass(time.Second)
		Expect(f.orders(f.core.Take(f.now))).To(BeEmpty())
	})

	It("whose commit gets no answer is reported as unknown, neither stored nor refused", func() {
		f := newFixture().owning(nil)
		f.core.Submit(f.now, 1, job(tasks(1)), 0)
		Expect(f.core.Take(f.now).Commits).To(HaveLen(1))
		f.pass(f.cfg.CallLimit.D() + time.Millisecond)
		Expect(f.core.Take(f.now).Replies).To(ConsistOf(HaveField("Failure", failure.CommitUnknown)))
		f.core.Submit(f.now, 2, job(tasks(1)), 0)
		f.core.Committed(f.now, f.partition(), epoch, scheduler.CommitOK)
		Expect(f.core.Take(f.now).Replies).To(ConsistOf(And(
			HaveField("Call", scheduler.Call(2)), HaveField("Failure", failure.None))), "the resent call joins the first")
	})

	It("that is resent with other content is a mismatch", func() {
		f := newFixture().owning(nil)
		f.running(job(tasks(1)))
		f.core.Submit(f.now, 2, job(tasks(2)), 0)
		Expect(f.core.Take(f.now).Replies).To(ConsistOf(HaveField("Failure", failure.SubmissionMismatch)))
	})

	It("is shown as completed, and has its ends acknowledged, only once that is in the store", func() {
		f := newFixture().owning(nil)
		f.worker("w1")
		runs := f.running(job(tasks(1)))
		f.end(runs[0], wire.EndDone)
		Expect(f.state()).To(Equal(durable.Running))
		Expect(acked(f.core.Take(f.now))).To(BeEmpty())
		Expect(acked(f.commit(scheduler.CommitOK))).To(ConsistOf(runs[0].order.Ref))
		Expect(f.state()).To(Equal(durable.Completed))
	})

	It("has no end acknowledged that is reported again before it is stored", func() {
		f := newFixture().owning(nil)
		f.worker("w1")
		runs := f.running(job(tasks(2)))
		f.end(runs[0], wire.EndDone)
		f.end(runs[0], wire.EndDone)
		Expect(acked(f.core.Take(f.now))).To(BeEmpty())
		Expect(acked(f.commit(scheduler.CommitOK))).To(ContainElement(runs[0].order.Ref))
	})

	It("starts a step only after those it depends on", func() {
		f := newFixture().owning(nil)
		f.worker("w1")
		second := tasks(1)
		second.DependsOn = []uint32{0}
		runs := f.running(job(tasks(2), second))
		Expect(runs).To(HaveLen(2))
		f.end(runs[0], wire.EndDone)
		Expect(f.orders(f.core.Take(f.now))).To(BeEmpty())
		f.end(runs[1], wire.EndDone)
		next := f.orders(f.core.Take(f.now))
		Expect(next).To(HaveLen(1))
		Expect(next[0].order.Ref.Task.Step).To(Equal(uint32(1)))
	})

	It("fails after its attempts, counting only failed runs, each once however often it is reported", func() {
		f := newFixture().owning(nil)
		f.worker("w1")
		run := f.running(job(tasks(1)))[0]
		for _, how := range []wire.End{wire.EndStopped, wire.EndStraggled, wire.EndLapsed, wire.EndLost, wire.EndNotRun} {
			f.end(run, how)
			f.status("w1", 4000)
			run = f.orders(f.core.Take(f.now))[0]
		}
		f.end(run, wire.EndFailed)
		again := f.orders(f.core.Take(f.now))[0]
		f.end(run, wire.EndFailed)
		Expect(f.state()).To(Equal(durable.Running))
		f.end(again, wire.EndFailed)
		f.commit(scheduler.CommitOK)
		Expect(f.state()).To(Equal(durable.Failed))
	})

	It("is not started again after a cancellation, which is acknowledged once it is in the store", func() {
		f := newFixture().owning(nil)
		f.worker("w1")
		run := f.running(job(tasks(1)))[0]
		f.core.Cancel(f.now, 2, id)
		e := f.core.Take(f.now)
		Expect(e.Replies).To(BeEmpty())
		Expect(e.Sends).To(ContainElement(HaveField("Message", BeAssignableToTypeOf(&wire.StopRuns{}))))
		f.end(run, wire.EndStopped)
		e = f.commit(scheduler.CommitOK)
		Expect(e.Replies).To(ConsistOf(HaveField("State", durable.Cancelled)))
		Expect(f.orders(e)).To(BeEmpty())
	})
})

var _ = Describe("a new owner", func() {
	stored := func() map[durable.JobID]*durable.Stored {
		s := job(tasks(3))
		s.Epoch = 2
		return map[durable.JobID]*durable.Stored{id: {
			Submission: s,
			Progress:   &durable.Progress{Done: durable.Bitmap{}.With(0), Failures: []durable.Failure{{Task: 1, Runs: []uint32{1}}}},
		}}
	}

	It("starts no tasks of a stored job before all workers have reported their runs", func() {
		f := newFixture()
		f.core.WorkerKnown(f.now, "w2")
		f.owning(stored())
		f.worker("w1")
		Expect(f.orders(f.core.Take(f.now))).To(BeEmpty())
		f.worker("w2")
		runs := f.orders(f.core.Take(f.now))
		Expect(runs).To(HaveLen(2))
		for _, r := range runs {
			Expect(r.order.Ref.Run).To(BeNumerically(">", 16), "above the numbers of earlier owners")
		}
	})

	It("goes on without the report of a silent worker, once its runs have certainly ended", func() {
		f := newFixture()
		f.core.WorkerKnown(f.now, "w2")
		f.owning(stored())
		f.worker("w1")
		f.wait(f.cfg.OwnerLease.D()+f.cfg.BackendLease.D(), "w1")
		Expect(f.orders(f.core.Take(f.now))).To(BeEmpty())
		f.wait(time.Second, "w1")
		Expect(f.orders(f.core.Take(f.now))).To(HaveLen(2))
	})

	// Guards against a task that starts beside its run at a worker that could not report it in time.
	It("waits for a worker that has said that it reports later, until it is lost and its leases have expired", func() {
		f := newFixture()
		f.core.WorkerKnown(f.now, "w1")
		f.owning(map[durable.JobID]*durable.Stored{id: {Submission: job(tasks(1))}})
		f.worker("w2")
		f.core.WorkerUp(f.now, "w1", "nadi")
		f.status("w1", 4000)
		f.core.ReportPending(f.now, "w1", &wire.ReportPending{Partition: f.partition(), Epoch: epoch})
		f.core.Take(f.now)
		f.wait(2*f.cfg.Core("").WriteOff, "w1", "w2")
		Expect(f.orders(f.core.Take(f.now))).To(BeEmpty())
		f.core.WorkerDown(f.now, "w1")
		f.wait(f.cfg.Core("").WriteOff-100*time.Millisecond, "w2")
		Expect(f.orders(f.core.Take(f.now))).To(BeEmpty())
		f.wait(400*time.Millisecond, "w2")
		Expect(f.orders(f.core.Take(f.now))).To(HaveLen(1))
	})

	It("takes over running and ended runs", func() {
		f := newFixture().owning(nil)
		f.core.WorkerKnown(f.now, "w1")
		f.core.Release(f.now, f.partition(), "test")
		f.owning(stored())
		f.core.WorkerUp(f.now, "w1", "nadi")
		f.status("w1", 4000)
		ref := func(index uint32) wire.RunRef {
			return wire.RunRef{Task: durable.TaskID{Job: id, Index: index}, Run: 3}
		}
		f.core.Runs(f.now, "w1", &wire.PartitionRuns{
			Partition: f.partition(), Epoch: epoch,
			Running: []wire.RunRef{ref(1)},
			Ended:   []wire.RunEnd{{Ref: ref(2), How: uint8(wire.EndDone)}},
		})
		e := f.core.Take(f.now)
		Expect(f.orders(e)).To(BeEmpty())
		Expect(needs(e)).To(HaveLen(1))
		Expect(needs(e)[0].Ref).To(Equal(ref(1)))
		f.core.Ends(f.now, "w1", &wire.RunEnds{Ends: []wire.RunEnd{{Ref: ref(1), How: uint8(wire.EndDone)}}})
		f.commit(scheduler.CommitOK)
		Expect(f.state()).To(Equal(durable.Completed))
	})

	It("counts a failed run that the earlier owner had not stored", func() {
		f := newFixture().owning(stored())
		f.core.WorkerUp(f.now, "w1", "nadi")
		f.core.WorkerUp(f.now, "w2", "nadi")
		f.status("w1", 4000)
		f.status("w2", 4000)
		ref := func(run uint32) wire.RunRef {
			return wire.RunRef{Task: durable.TaskID{Job: id, Index: 1}, Run: run}
		}
		f.core.Runs(f.now, "w1", &wire.PartitionRuns{Partition: f.partition(), Epoch: epoch, Running: []wire.RunRef{ref(18)}})
		f.core.Runs(f.now, "w2", &wire.PartitionRuns{Partition: f.partition(), Epoch: epoch,
			Ended: []wire.RunEnd{{Ref: ref(17), How: uint8(wire.EndFailed)}}})
		f.commit(scheduler.CommitOK)
		Expect(f.state()).To(Equal(durable.Failed), "two of two attempts")
	})

	It("reports a job as not found only after the store has confirmed its ownership since the call", func() {
		f := newFixture().owning(nil)
		replies := func() []scheduler.Reply { return f.core.Take(f.now).Replies }
		f.core.State(f.now, 1, id, time.Second)
		f.core.Cancel(f.now, 2, id)
		f.core.Confirmed(f.now, f.now.Add(-time.Millisecond))
		Expect(replies()).To(BeEmpty(), "confirmed for a time before the calls")
		f.core.Confirmed(f.now, f.now)
		Expect(replies()).To(HaveEach(HaveField("Failure", failure.JobNotFound)))

		f.core.State(f.now, 3, id, time.Second)
		f.core.Release(f.now, f.partition(), "test")
		Expect(replies()).To(ConsistOf(HaveField("Failure", failure.NoOwner)))

		f.owning(nil)
		f.core.State(f.now, 4, id, time.Second)
		f.pass(f.cfg.CallLimit.D())
		Expect(replies()).To(ConsistOf(HaveField("Failure", failure.CommitUnknown)))
	})

	It("takes no calls while its lease may have expired", func() {
		f := newFixture().owning(nil)
		f.worker("w1")
		f.core.Suspend(f.now, f.partition(), true)
		f.core.Submit(f.now, 1, job(tasks(1)), 0)
		Expect(f.core.Take(f.now).Replies).To(ConsistOf(HaveField("Failure", failure.NoOwner)))
	})

	It("reports no job as unfinished while its lease may have expired, even after a confirmation", func() {
		f := newFixture().owning(nil)
		f.worker("w1")
		f.running(job(tasks(1)))
		f.core.State(f.now, 9, id, 0)
		f.core.Confirmed(f.now, f.now)
		f.core.Suspend(f.now, f.partition(), true)
		f.core.Tick(f.now)
		Expect(f.core.Take(f.now).Replies).To(BeEmpty())
		f.pass(f.cfg.CallLimit.D())
		Expect(f.core.Take(f.now).Replies).To(ConsistOf(HaveField("Failure", failure.NoOwner)))
	})

	It("releases the partition when the store has seen a newer owner", func() {
		f := newFixture().owning(nil)
		f.core.Submit(f.now, 1, job(tasks(1)), 0)
		e := f.commit(scheduler.CommitFenced)
		Expect(e.Fenced).To(BeTrue())
		Expect(e.Replies).To(ConsistOf(HaveField("Failure", failure.CommitUnknown)))
		Expect(f.core.Owns(id)).To(BeFalse())
	})
})

var _ = Describe("an owner", func() {
	heartbeats := func(e scheduler.Effects) []*wire.OwnerHeartbeat {
		var out []*wire.OwnerHeartbeat
		for _, s := range e.Sends {
			if m, ok := s.Message.(*wire.OwnerHeartbeat); ok {
				out = append(out, m)
			}
		}
		return out
	}

	It("orders runs over a new connection only after the store confirms its ownership and a heartbeat says so", func() {
		f := newFixture().owning(nil)
		f.core.Confirmed(f.now, f.now)
		f.now = f.now.Add(time.Millisecond)
		f.core.WorkerUp(f.now, "w1", "nadi")
		f.status("w1", 4000)
		f.core.Runs(f.now, "w1", &wire.PartitionRuns{Partition: f.partition(), Epoch: epoch})
		e := f.core.Take(f.now)
		Expect(e.Confirm).To(BeTrue())
		Expect(heartbeats(e)).To(ConsistOf(HaveField("Confirmed", false)))
		f.core.Submit(f.now, 1, job(tasks(1)), 0)
		f.core.Take(f.now)
		f.core.Committed(f.now, f.partition(), epoch, scheduler.CommitOK)
		Expect(f.orders(f.core.Take(f.now))).To(BeEmpty())
		f.core.Confirmed(f.now, f.now)
		e = f.core.Take(f.now)
		Expect(heartbeats(e)).To(ConsistOf(HaveField("Confirmed", true)))
		Expect(f.orders(e)).To(HaveLen(1))
	})

	It("orders nothing once a worker has reported a later owner, until the store confirms it again", func() {
		f := newFixture().owning(nil)
		f.worker("w1")
		f.now = f.now.Add(time.Millisecond)
		f.stamp++
		f.core.Status(f.now, "w1", &wire.WorkerStatus{Stamp: f.stamp, Ready: true, Free: durable.Resources{CPU: 4000, Memory: 1000}, Fenced: []uint32{f.partition()}})
		f.core.Submit(f.now, 1, job(tasks(1)), 0)
		f.core.Take(f.now)
		f.core.Committed(f.now, f.partition(), epoch, scheduler.CommitOK)
		Expect(f.orders(f.core.Take(f.now))).To(BeEmpty())
		f.now = f.now.Add(time.Millisecond)
		f.core.Confirmed(f.now, f.now)
		Expect(f.orders(f.core.Take(f.now))).To(HaveLen(1))
	})
})

var _ = Describe("an excluded worker", func() {
	It("gets no new tasks, while its runs go on", func() {
		f := newFixture().owning(nil)
		f.worker("w1")
		first := f.running(job(tasks(2)))
		Expect(first).To(HaveLen(2))
		f.core.SetPreference("w1", scheduler.Excluded)
		f.worker("w2")
		Expect(f.core.Busy("w1")).To(BeTrue())
		f.end(first[0], wire.EndFailed)
		f.status("w1", 4000)
		again := f.orders(f.core.Take(f.now))
		Expect(again).To(HaveLen(1))
		Expect(again[0].worker).To(Equal("w2"))
		f.end(first[1], wire.EndDone)
		f.end(again[0], wire.EndDone)
		f.commit(scheduler.CommitOK)
		Expect(f.state()).To(Equal(durable.Completed))
		Expect(f.core.Busy("w1")).To(BeFalse())
	})

	It("has to report its runs of a partition with jobs, but not of an empty one", func() {
		f := newFixture()
		f.core.WorkerUp(f.now, "w1", "nadi")
		f.core.SetPreference("w1", scheduler.Excluded)
		f.owning(nil)
		Expect(f.core.AwaitingReports()).To(BeFalse())
		f = newFixture()
		f.core.WorkerUp(f.now, "w1", "nadi")
		f.core.SetPreference("w1", scheduler.Excluded)
		f.owning(map[durable.JobID]*durable.Stored{id: {Submission: job(tasks(1))}})
		Expect(f.core.AwaitingReports()).To(BeTrue())
		f.core.Runs(f.now, "w1", &wire.PartitionRuns{Partition: f.partition(), Epoch: epoch})
		Expect(f.core.AwaitingReports()).To(BeFalse())
	})
})

var _ = Describe("a worker's report of its runs", func() {
	It("does not cover runs that were ordered after it was written", func() {
		f := newFixture().owning(nil)
		f.worker("w1")
		runs := f.running(job(tasks(1)))
		Expect(runs).To(HaveLen(1))
		f.core.Runs(f.now, "w1", &wire.PartitionRuns{Partition: f.partition(), Epoch: epoch, StartSeq: f.starts["w1"] - 1})
		Expect(f.orders(f.core.Take(f.now))).To(BeEmpty())
		f.core.Runs(f.now, "w1", &wire.PartitionRuns{Partition: f.partition(), Epoch: epoch, StartSeq: f.starts["w1"]})
		Expect(f.orders(f.core.Take(f.now))).To(HaveLen(1), "now the run is certainly absent")
	})
})

var _ = Describe("a silent worker", func() {
	It("has its tasks started elsewhere only when its runs have certainly ended", func() {
		f := newFixture().owning(nil)
		f.worker("w1")
		run := f.running(job(tasks(1)))[0]
		f.worker("w2")
		f.core.Take(f.now)
		silentSince := f.now
		for f.now.Sub(silentSince) < 5*time.Second {
			f.pass(20 * time.Millisecond)
			f.status("w2", 4000)
			e := f.core.Take(f.now)
			if runs := f.orders(e); len(runs) > 0 {
				Expect(runs[0].worker).To(Equal("w2"))
				Expect(runs[0].order.Ref.Run).To(BeNumerically(">", run.order.Ref.Run))
				writtenOff := f.cfg.OwnerLease.D() + f.cfg.StopGrace.D() + f.cfg.BackendLease.D()
				Expect(f.now.Sub(silentSince)).To(BeNumerically(">", writtenOff))
				return
			}
		}
		Fail("the task was never started elsewhere")
	})
})

var _ = Describe("a best-effort job", func() {
	It("is not stored, and is answered when it ends", func() {
		f := newFixture()
		f.worker("w1")
		f.core.Submit(f.now, 1, bestEffort(1), 0)
		e := f.core.Take(f.now)
		Expect(e.Commits).To(BeEmpty())
		runs := f.orders(e)
		Expect(runs).To(HaveLen(1))
		Expect(runs[0].order.Ref.BestEffort()).To(BeTrue())
		f.end(runs[0], wire.EndDone)
		Expect(f.core.Take(f.now).Replies).To(ConsistOf(And(
			HaveField("Failure", failure.None), HaveField("State", durable.Completed))))
	})

	It("that is resent while it runs is the same job", func() {
		f := newFixture()
		f.worker("w1")
		f.core.Submit(f.now, 1, bestEffort(1), 0)
		runs := f.orders(f.core.Take(f.now))
		f.core.Submit(f.now, 2, bestEffort(1), 0)
		Expect(f.orders(f.core.Take(f.now))).To(BeEmpty())
		f.end(runs[0], wire.EndDone)
		Expect(f.core.Take(f.now).Replies).To(HaveLen(2))
	})

	It("that nobody waits for is stopped", func() {
		f := newFixture()
		f.worker("w1")
		f.core.Submit(f.now, 1, bestEffort(1), 0)
		f.core.Take(f.now)
		f.core.Abandon(f.now, 1, id)
		Expect(f.core.Take(f.now).Sends).To(ContainElement(HaveField("Message", BeAssignableToTypeOf(&wire.StopRuns{}))))
	})

	It("is refused at once, with a time to retry, when it cannot begin in time", func() {
		f := newFixture()
		f.worker("w1")
		f.core.Submit(f.now, 1, bestEffort(1), 0)
		f.core.Take(f.now)
		f.status("w1", -2000)
		var refused []scheduler.Reply
		for i := range 40 {
			s := bestEffort(8)
			s.ID = durable.JobID(fmt.Sprintf("%016x", i))
			f.core.Submit(f.now, scheduler.Call(10+i), s, 0)
			refused = append(refused, f.core.Take(f.now).Replies...)
		}
		Expect(refused).NotTo(BeEmpty())
		Expect(refused[0].Failure).To(Equal(failure.Overloaded))
		Expect(refused[0].RetryAfter).To(BeNumerically(">", 0))
	})

	It("is told to retry when the work before it will be done, if that takes long", func() {
		f := newFixture()
		f.worker("w1")
		long := func(i int) *durable.Submission {
			s := bestEffort(8)
			s.ID = durable.JobID(fmt.Sprintf("%016x", i))
			s.Steps[0].EstimateMS = 10_000
			return s
		}
		for i := range 2 {
			f.core.Submit(f.now, scheduler.Call(1+i), long(i), 0)
		}
		replies := f.core.Take(f.now).Replies
		Expect(replies).To(HaveLen(1))
		// Eight tasks of 10 s wait for four cores; it may wait for half of its slack, which is
		// 0.6 times 10 s and 60 ms.
		Expect(replies[0].RetryAfter).To(BeNumerically("~", 20*time.Second-3030*time.Millisecond, time.Millisecond))
	})

	It("is not refused while all of it fits", func() {
		f := newFixture()
		f.worker("w1")
		f.core.Submit(f.now, 1, bestEffort(4), 0)
		Expect(f.core.Take(f.now).Replies).To(BeEmpty())
	})

	It("is refused when no single worker has enough free, however much is free in total", func() {
		f := newFixture()
		for i := range 8 {
			name := fmt.Sprintf("w%d", i)
			f.worker(name)
			f.status(name, 900) // the tasks need 1000
		}
		var refused []scheduler.Reply
		for i := range 40 {
			s := bestEffort(6)
			s.ID = durable.JobID(fmt.Sprintf("%016x", i))
			f.core.Submit(f.now, scheduler.Call(10+i), s, 0)
			refused = append(refused, f.core.Take(f.now).Replies...)
		}
		Expect(refused).NotTo(BeEmpty())
	})

	It("that has begun is finished before others begin, as long as its answer is of use", func() {
		f := newFixture()
		f.worker("w1")
		f.core.Submit(f.now, 1, bestEffort(8), 0)
		runs := f.orders(f.core.Take(f.now))
		Expect(len(runs)).To(BeNumerically("<", 8))
		f.pass(250 * time.Millisecond) // past its due time, but its answer is still of use
		f.end(runs[0], wire.EndDone)
		f.status("w1", 1000)
		other := bestEffort(1)
		other.ID = "00000000000000ff"
		f.core.Submit(f.now, 2, other, 0)
		e := f.core.Take(f.now)
		Expect(e.Replies).To(BeEmpty())
		next := f.orders(e)
		Expect(next).NotTo(BeEmpty())
		Expect(next[0].order.Ref.Task.Job).To(Equal(id))
	})

	It("is refused at once when no worker has been reachable for a while", func() {
		f := newFixture()
		f.worker("w1")
		f.pass(time.Millisecond)
		for range 150 {
			f.pass(20 * time.Millisecond) // the worker stays silent
		}
		Expect(f.core.Serving(f.now)).To(BeFalse())
		f.core.Submit(f.now, 1, bestEffort(1), 0)
		Expect(f.core.Take(f.now).Replies).To(ConsistOf(HaveField("Failure", failure.Overloaded)))
	})

	It("that cannot begin is refused while its caller can still retry elsewhere", func() {
		f := newFixture()
		f.core.Submit(f.now, 1, bestEffort(1), time.Second)
		f.pass(300 * time.Millisecond)
		Expect(f.core.Take(f.now).Replies).To(BeEmpty())
		f.pass(200 * time.Millisecond)
		Expect(f.core.Take(f.now).Replies).To(ConsistOf(HaveField("Failure", failure.Overloaded)))
	})

	It("that can only be late is refused as soon as that is known, so that others are in time", func() {
		f := newFixture()
		f.worker("w1")
		s := bestEffort(1) // 100 ms of work, an objective of 220 ms
		f.status("w1", 4000)
		f.core.Submit(f.now, 1, s, 0)
		f.status("w1", 0) // other coordinators have taken the capacity
		Expect(f.orders(f.core.Take(f.now))).To(BeEmpty())
		f.pass(120 * time.Millisecond)
		f.status("w1", 0)
		Expect(f.core.Take(f.now).Replies).To(BeEmpty())
		f.pass(time.Millisecond)
		Expect(f.core.Take(f.now).Replies).To(ConsistOf(HaveField("Failure", failure.Overloaded)))
	})

	It("that can only be late goes on waiting while no worker takes tasks", func() {
		f := newFixture()
		f.worker("w1")
		f.status("w1", 0)
		f.core.Submit(f.now, 1, bestEffort(1), 0)
		f.core.WorkerDown(f.now, "w1")
		f.pass(300 * time.Millisecond)
		Expect(f.core.Take(f.now).Replies).To(BeEmpty())
	})

	It("whose tasks were all handed back has not begun, and may still be refused", func() {
		f := newFixture()
		f.worker("w1")
		f.core.Submit(f.now, 1, bestEffort(2), time.Second)
		runs := f.orders(f.core.Take(f.now))
		Expect(runs).To(HaveLen(2))
		Expect(f.core.Waiting()).To(BeEmpty())
		f.end(runs[0], wire.EndNotRun)
		f.end(runs[1], wire.EndNotRun)
		f.status("w1", -4000)
		Expect(f.core.Take(f.now).Replies).To(BeEmpty())
		Expect(f.core.Waiting()).To(HaveKeyWithValue("q", uint32(1)))
		f.wait(450*time.Millisecond, "none")
		Expect(f.core.Take(f.now).Replies).To(ConsistOf(HaveField("Failure", failure.Overloaded)))
	})

	It("that has begun is cancelled once its answer is of no use", func() {
		f := newFixture()
		f.worker("w1")
		f.core.Submit(f.now, 1, bestEffort(8), 0)
		Expect(f.orders(f.core.Take(f.now))).NotTo(BeEmpty())
		f.pass(5 * time.Second)
		Expect(f.core.Take(f.now).Replies).To(ConsistOf(HaveField("Failure", failure.DeadlineWhileRunning)))
	})

	It("has its runs queried when their worker is connected again", func() {
		f := newFixture()
		f.worker("w1")
		f.core.Submit(f.now, 1, bestEffort(2), 0)
		runs := f.orders(f.core.Take(f.now))
		Expect(runs).To(HaveLen(2))
		f.core.WorkerDown(f.now, "w1")
		f.core.WorkerUp(f.now, "w1", "nadi")
		f.starts["w1"] = 0
		f.status("w1", 4000)
		Expect(f.core.Take(f.now).Sends).To(ContainElement(HaveField("Message", BeAssignableToTypeOf(&wire.RunsQuery{}))))
		unwanted := wire.RunRef{Task: durable.TaskID{Job: id}, Run: runs[0].order.Ref.Run + 1}
		f.core.Runs(f.now, "w1", &wire.PartitionRuns{Partition: wire.BestEffortRuns, Running: []wire.RunRef{runs[0].order.Ref, unwanted}})
		e := f.core.Take(f.now)
		Expect(needs(e)).To(Equal([]wire.RunNeed{{Ref: runs[0].order.Ref, Need: tasks(1).Need}}), "the worker may not know the needs")
		again := f.orders(e)
		Expect(again).To(HaveLen(1))
		Expect(again[0].order.Ref.Task).To(Equal(runs[1].order.Ref.Task))
	})
})

var _ = Describe("placement", func() {
	It("prefers a preferred worker while a task fits there, and lets no task wait at a worker", func() {
		f := newFixture()
		f.worker("home")
		f.worker("shared")
		f.core.SetPreference("home", scheduler.Preferred)
		f.status("home", 2000)
		at := make(map[string]int)
		for i := range 20 {
			s := job(tasks(1))
			s.BestEffort = true
			s.ID = durable.JobID(fmt.Sprintf("%016x", i))
			f.core.Submit(f.now, scheduler.Call(10+i), s, 0)
			for _, r := range f.orders(f.core.Take(f.now)) {
				at[r.worker]++
				if len(at) == 1 && at["home"] <= 2 {
					Expect(r.worker).To(Equal("home"), "although less is free there")
				}
			}
		}
		Expect(at).To(Equal(map[string]int{"home": 2, "shared": 4}), "as many as fit")
	})

	It("avoids a worker where runs fail that succeed elsewhere", func() {
		f := newFixture()
		f.worker("bad")
		f.worker("good")
		served := make(map[string]int)
		for i := range 60 {
			s := job(tasks(1))
			s.BestEffort = true
			s.ID = durable.JobID(fmt.Sprintf("%016x", i))
			s.Queue.MaxAttempts = 9
			f.core.Submit(f.now, scheduler.Call(i+1), s, 0)
			for range 9 {
				runs := f.orders(f.core.Take(f.now))
				if len(runs) == 0 {
					break
				}
				served[runs[0].worker]++
				how := wire.EndDone
				if runs[0].worker == "bad" {
					how = wire.EndFailed
					f.failing["bad"] += (100 - f.failing["bad"]) / 5
				}
				f.end(runs[0], how)
				f.now = f.now.Add(10 * time.Millisecond)
				f.status("bad", 4000)
				f.status("good", 4000)
			}
		}
		Expect(served["bad"]).To(BeNumerically("<", served["good"]/4))
	})

	It("sends at most one task a second to a worker far slower than its peers, until it recovers", func() {
		f := newFixture()
		for _, name := range []string{"slow", "a", "b"} {
			f.worker(name)
		}
		at := func(i int) map[string]int {
			served := make(map[string]int)
			for k := range 6 {
				s := bestEffort(1)
				s.ID = durable.JobID(fmt.Sprintf("%08x%08x", i, k))
				f.core.Submit(f.now, scheduler.Call(100*i+k), s, 0)
				for _, r := range f.orders(f.core.Take(f.now)) {
					served[r.worker]++
				}
			}
			f.status("slow", 4000)
			f.status("a", 4000)
			f.status("b", 4000)
			return served
		}
		f.slowness["slow"], f.slowness["a"], f.slowness["b"] = 300, 120, 130
		f.status("slow", 4000)
		f.status("a", 4000)
		f.status("b", 4000)
		Expect(at(1)["slow"]).To(BeNumerically("<=", 1), "at most one probe")
		Expect(at(2)["slow"]).To(BeZero())
		f.slowness["slow"] = 200
		f.status("slow", 4000)
		Expect(at(3)["slow"]).To(BeNumerically(">", 1))
	})

	It("probes a slow worker less often, the more coordinators share it", func() {
		f := newFixture()
		names := []string{"slow", "a", "b"}
		for _, name := range names {
			f.worker(name)
		}
		f.slowness["slow"], f.slowness["a"], f.slowness["b"] = 600, 120, 130
		f.core.SetSharers("s", 10)
		probes := 0
		const seconds = 40
		for i := range 10 * seconds {
			for _, name := range names {
				f.status(name, 4000)
			}
			f.core.Tick(f.now)
			s := bestEffort(1)
			s.ID = durable.JobID(fmt.Sprintf("%016x", i))
			f.core.Submit(f.now, scheduler.Call(i+1), s, 0)
			for _, r := range f.orders(f.core.Take(f.now)) {
				if r.worker == "slow" {
					probes++
				}
				f.end(r, wire.EndDone)
			}
			f.now = f.now.Add(100 * time.Millisecond)
		}
		Expect(probes).To(BeNumerically("~", seconds/10, 1))
	})

	It("retries a failed task where runs fail least, even if more is free elsewhere", func() {
		f := newFixture()
		f.worker("first")
		f.worker("failing")
		f.worker("sound")
		runAt := func(home string, i int) sent {
			for _, name := range []string{"first", "failing", "sound"} {
				f.core.SetPreference(name, scheduler.Neutral)
			}
			f.core.SetPreference(home, scheduler.Preferred)
			s := bestEffort(1)
			s.ID = durable.JobID(fmt.Sprintf("%016x", i))
			f.core.Submit(f.now, scheduler.Call(i), s, 0)
			runs := f.orders(f.core.Take(f.now))
			Expect(runs).To(HaveLen(1))
			Expect(runs[0].worker).To(Equal(home))
			return runs[0]
		}
		f.end(runAt("failing", 1), wire.EndFailed)
		f.failing["failing"] = 20
		f.core.Abandon(f.now, 1, "0000000000000001")
		f.core.Take(f.now)
		f.end(runAt("first", 2), wire.EndFailed)
		f.status("failing", 4000)
		f.status("sound", 1500)
		again := f.orders(f.core.Take(f.now))
		Expect(again).To(HaveLen(1))
		Expect(again[0].worker).To(Equal("sound"))
	})

	It("limits the time of a run, and restarts a straggler elsewhere with a longer limit", func() {
		f := newFixture()
		f.worker("w1")
		s := job(tasks(1))
		s.BestEffort = true
		s.Queue.TargetMS = 5000
		f.core.Submit(f.now, 1, s, 0)
		run := f.orders(f.core.Take(f.now))[0]
		Expect(run.order.LimitMS).To(Equal(int64(450)), "three times its estimate, and 150 ms")
		f.worker("w2")
		f.status("w1", 4000)
		f.status("w2", 4000)
		f.end(run, wire.EndStraggled)
		again := f.orders(f.core.Take(f.now))
		Expect(again[0].worker).To(Equal("w2"))
		Expect(again[0].order.LimitMS).To(Equal(int64(750)), "the estimate may be wrong")
	})

	It("sends no task to a worker without the label that its step requires", func() {
		f := newFixture()
		f.worker("w1")
		s := job(tasks(1))
		s.BestEffort = true
		s.Steps[0].Requires = "gpu"
		f.core.Submit(f.now, 1, s, 0)
		Expect(f.orders(f.core.Take(f.now))).To(BeEmpty())
	})
})
