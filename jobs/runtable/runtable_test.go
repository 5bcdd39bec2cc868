package runtable_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lichenfall/lichenfall/config"
	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/jobs/runtable"
	"github.com/lichenfall/lichenfall/wire"
)

func TestRunTable(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "runtable")
}

const (
	owner  = "conn-1"
	member = "c0/1"
	job    = durable.JobID("5c0e7a21d94b36f8")
)

var identity = runtable.Identity{Instance: "i-1", Service: "s", Ready: true, Capacity: durable.Resources{CPU: 4000, Memory: 1000}}

// fixture is a table with one owner of the job's partition.
type fixture struct {
	table    *runtable.Table
	now      time.Time
	cfg      config.Runs
	out      runtable.Effects
	seq      uint64
	limit    int64 // LimitMS of orders
	estimate int64 // EstimateMS of orders
	// seen has the stamp of the newest status that was sent on each connection. The coordinators have
	// handled it when they order.
	seen map[string]int64
}

func newFixture() *fixture {
	f := &fixture{now: time.Unix(1000, 0), cfg: config.DefaultRuns(), seen: make(map[string]int64)}
	f.table = runtable.New(f.cfg.Core("dc"), f.now)
	return f
}

func (f *fixture) take() runtable.Effects {
	e := f.table.Take(f.now)
	f.out = e
	for _, s := range e.Sends {
		if m, ok := s.Message.(*wire.WorkerStatus); ok {
			f.seen[s.Owner] = m.Stamp
		}
	}
	return e
}

// start has a coordinator that has handled all statuses send orders.
func (f *fixture) start(conn string, m *wire.StartRuns) {
	m.Seen = f.seen[conn]
	f.table.Start(f.now, conn, m)
}

func (f *fixture) advance(d time.Duration) {
	f.now = f.now.Add(d)
	f.table.Tick(f.now)
}

// renewLease makes a renewal that is answered with the given lists.
func (f *fixture) renewLease(running []runtable.ListedRun, ended ...runtable.ListedEnd) runtable.RenewCall {
	call, ok := f.table.NextRenewal(f.now)
	Expect(ok).To(BeTrue())
	f.table.RenewAnswered(f.now, call, runtable.RenewAnswer{Result: runtable.RenewOK, Clock: f.clock(), Running: running, Ended: ended})
	return call
}

func (f *fixture) clock() time.Duration { return f.now.Sub(time.Unix(0, 0)) }

// ready makes the table ready to take orders.
func (f *fixture) ready() *fixture {
	f.table.Identify(f.now, identity)
	f.renewLease(nil)
	f.renewLease(nil)
	f.table.OwnerUp(f.now, owner, member)
	f.heartbeat(7)
	f.take()
	return f
}

// advanceRenewing advances the time while the backend server answers renewals.
func (f *fixture) advanceRenewing(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.renewLease(nil)
		f.advance(min(f.cfg.RenewWait.D(), end.Sub(f.now)))
	}
}

// heartbeat renews the owner's leases from now.
func (f *fixture) heartbeat(epoch uint64) {
	f.seq++
	f.table.OwnerUp(f.now, "probe", "probe")
	var stamp int64
	for _, s := range f.take().Sends {
		if m, ok := s.Message.(*wire.WorkerStatus); ok && s.Owner == "probe" {
			stamp = m.Stamp
		}
	}
	f.table.OwnerDown(f.now, "probe")
	f.heartbeatEchoing(epoch, stamp)
}

func (f *fixture) heartbeatEchoing(epoch uint64, stamp int64) {
	f.table.Heartbeat(f.now, owner, &wire.OwnerHeartbeat{
		Seq: f.seq, Echo: stamp,
		Partitions: []wire.PartitionEpoch{{Partition: job.Partition(f.cfg.Partitions), Epoch: epoch}},
		Confirmed:  true,
	})
}

func ref(index, run uint32) wire.RunRef {
	return wire.RunRef{Task: durable.TaskID{Job: job, Index: index}, Run: run}
}

// order orders runs of 1,500 thousandths of a core each.
func (f *fixture) order(epoch uint64, refs ...wire.RunRef) {
	m := &wire.StartRuns{Seq: f.seq}
	for _, r := range refs {
		if r.BestEffort() {
			epoch = 0
		}
		m.Runs = append(m.Runs, wire.RunOrder{Ref: r, Epoch: epoch, BestEffort: r.BestEffort(), Need: durable.Resources{CPU: 1500}, LimitMS: f.limit, EstimateMS: f.estimate})
	}
	f.start(owner, m)
}

// ends returns the ends that are sent to owners.
func ends(e runtable.Effects) []wire.RunEnd {
	var out []wire.RunEnd
	for _, s := range e.Sends {
		if m, ok := s.Message.(*wire.RunEnds); ok {
			out = append(out, m.Ends...)
		}
	}
	return out
}

func how(e wire.RunEnd) wire.End { return wire.End(e.How) }

var _ = Describe("orders", func() {
	It("are handed back if the store has not confirmed the owner since this process started; runs continue", func() {
		f := newFixture()
		f.table.Identify(f.now, identity)
		f.renewLease(nil)
		f.table.OwnerUp(f.now, owner, member)
		claim := func(confirmed bool) {
			var stamp int64
			for _, s := range f.take().Sends {
				if m, ok := s.Message.(*wire.WorkerStatus); ok {
					stamp = m.Stamp
				}
			}
			f.table.Heartbeat(f.now, owner, &wire.OwnerHeartbeat{
				Seq: 1, Echo: max(1, stamp), Confirmed: confirmed,
				Partitions: []wire.PartitionEpoch{{Partition: job.Partition(f.cfg.Partitions), Epoch: 7}},
			})
		}
		claim(false)
		f.renewLease([]runtable.ListedRun{{Ref: ref(9, 1)}})
		f.order(7, ref(0, 1))
		e := f.take()
		Expect(e.Starts).To(BeEmpty())
		Expect(ends(e)).To(ConsistOf(HaveField("Reason", "no_lease")))
		Expect(e.Stops).To(BeEmpty(), "its lease keeps the runs that an earlier process started")
		f.table.SetNeeds(f.now, owner, &wire.RunNeeds{Runs: []wire.RunNeed{{Ref: ref(9, 1), Need: durable.Resources{CPU: 1000}}}})
		claim(true)
		f.order(7, ref(0, 2))
		Expect(f.take().Starts).To(HaveLen(1))
	})

	It("are started as far as they fit; the others are handed back at once until there is capacity", func() {
		f := newFixture().ready()
		f.order(7, ref(0, 1), ref(1, 1), ref(2, 1))
		e := f.take()
		Expect(e.Starts).To(HaveLen(2))
		Expect(ends(e)).To(HaveLen(1))
		Expect(ends(e)[0].Ref).To(Equal(ref(2, 1)))
		Expect(how(ends(e)[0])).To(Equal(wire.EndNotRun))
		Expect(ends(e)[0].Reason).To(Equal("busy"))
		for _, c := range e.Starts {
			f.table.StartAnswered(f.now, c, runtable.StartAccepted)
		}
		f.renewLease(nil, runtable.ListedEnd{Number: 1, Ref: ref(0, 1), Valid: true, How: wire.EndDone})
		f.order(7, ref(2, 2))
		Expect(f.take().Starts).To(HaveLen(1))
	})

	It("are handed back for a while after the backend server had less capacity than assumed", func() {
		f := newFixture().ready()
		f.order(7, ref(0, 1))
		f.table.StartAnswered(f.now, f.take().Starts[0], runtable.StartNoRoom)
		f.take()
		f.order(7, ref(1, 1))
		Expect(ends(f.take())[0].Reason).To(Equal("busy"))
		f.advanceRenewing(20 * time.Millisecond)
		f.order(7, ref(2, 1))
		Expect(f.take().Starts).To(HaveLen(1))
	})

	It("are stopped at their limit, which counts from their start", func() {
		f := newFixture().ready()
		f.limit = 300
		f.order(7, ref(0, 1), ref(1, 1))
		for _, c := range f.take().Starts {
			f.table.StartAnswered(f.now, c, runtable.StartAccepted)
		}
		f.advanceRenewing(200 * time.Millisecond)
		f.renewLease(nil, runtable.ListedEnd{Number: 1, Ref: ref(0, 1), Valid: true, How: wire.EndDone})
		f.order(7, ref(2, 1))
		third := f.take().Starts
		Expect(third).To(HaveLen(1))
		f.table.StartAnswered(f.now, third[0], runtable.StartAccepted)
		f.advanceRenewing(150 * time.Millisecond)
		e := f.take()
		Expect(e.Stops).To(HaveLen(1))
		Expect(e.Stops[0].Ref).To(Equal(ref(1, 1)))
		f.renewLease(nil, runtable.ListedEnd{Number: 2, Ref: ref(1, 1), Valid: true, How: wire.EndStopped})
		reported := ends(f.take())
		Expect(how(reported[len(reported)-1])).To(Equal(wire.EndStraggled))
	})

	It("are refused under an epoch that has been superseded", func() {
		f := newFixture().ready()
		f.heartbeat(8)
		f.take()
		f.order(7, ref(0, 1))
		e := f.take()
		Expect(e.Starts).To(BeEmpty())
		Expect(ends(e)).To(HaveLen(1))
		Expect(how(ends(e)[0])).To(Equal(wire.EndNotRun))
	})

	It("are refused while the backend server drains", func() {
		f := newFixture().ready()
		draining := identity
		draining.Ready = false
		f.table.Identify(f.now, draining)
		f.order(7, ref(0, 1))
		e := f.take()
		Expect(e.Starts).To(BeEmpty())
		Expect(ends(e)[0].Reason).To(Equal("not_ready"))
	})

	It("are refused after the owner's lease has expired, even if a delayed heartbeat arrives", func() {
		f := newFixture().ready()
		f.advance(f.cfg.OwnerLease.D() + time.Millisecond)
		f.heartbeatEchoing(7, 1) // delayed: it echoes an early stamp
		f.take()
		f.order(7, ref(0, 1))
		e := f.take()
		Expect(e.Starts).To(BeEmpty())
		Expect(ends(e)[0].Reason).To(Equal("no_lease"))
	})

	It("without an answer are resent under the same run number, then stopped; only then are they reported as not run", func() {
		f := newFixture().ready()
		f.order(7, ref(0, 1))
		first := f.take().Starts[0]
		f.table.StartAnswered(f.now, first, runtable.StartUnknown)
		again := f.take().Starts
		Expect(again).To(HaveLen(1))
		Expect(again[0].Ref).To(Equal(first.Ref))
		f.advanceRenewing(f.cfg.StartLimit.D() - time.Millisecond)
		Expect(f.take().Stops).To(BeEmpty())
		f.renewLease(nil)
		f.advance(2 * time.Millisecond)
		e := f.take()
		Expect(e.Stops).To(HaveLen(1))
		Expect(ends(e)).To(BeEmpty())
		earlier, ok := f.table.NextRenewal(f.now)
		Expect(ok).To(BeTrue())
		f.table.StopAnswered(f.now, e.Stops[0], true)
		f.table.RenewAnswered(f.now, earlier, runtable.RenewAnswer{Result: runtable.RenewOK, Clock: f.clock()})
		Expect(ends(f.take())).To(BeEmpty(), "a list from before the stop may not show the run yet")
		f.renewLease(nil)
		Expect(how(ends(f.take())[0])).To(Equal(wire.EndNotRun))
	})
})

var _ = Describe("an order that had no answer at first", func() {
	It("is stopped, and not reported as not run, when its duplicate is refused", func() {
		f := newFixture().ready()
		f.order(7, ref(0, 1))
		first := f.take().Starts[0]
		f.table.StartAnswered(f.now, first, runtable.StartUnknown)
		f.table.StartAnswered(f.now, f.take().Starts[0], runtable.StartUnhealthy)
		e := f.take()
		Expect(ends(e)).To(BeEmpty())
		Expect(e.Stops).To(HaveLen(1))
		f.table.StopAnswered(f.now, e.Stops[0], true)
		f.renewLease(nil)
		Expect(how(ends(f.take())[0])).To(Equal(wire.EndNotRun))
	})

	It("ends with the incarnation when connections to the backend server are refused", func() {
		f := newFixture().ready()
		f.order(7, ref(0, 1))
		call := f.take().Starts[0]
		f.table.StartAnswered(f.now, call, runtable.StartUnknown)
		f.take()
		f.table.StartAnswered(f.now, call, runtable.StartConnectionRefused)
		f.order(7, ref(1, 1))
		Expect(ends(f.take())).To(ConsistOf(HaveField("Reason", "not_ready")), "the earlier order may have arrived")
		f.table.Identify(f.now, nextIdentity())
		Expect(ends(f.take())).To(ConsistOf(And(
			HaveField("How", uint8(wire.EndCrashed)), HaveField("Begun", false), HaveField("Alone", false))))
	})
})

var _ = Describe("ends", func() {
	run := func(f *fixture, refs ...wire.RunRef) {
		f.order(7, refs...)
		for _, c := range f.take().Starts {
			f.table.StartAnswered(f.now, c, runtable.StartAccepted)
		}
	}

	It("of durable jobs are acknowledged only after their owners have stored them, in order", func() {
		f := newFixture().ready()
		run(f, ref(0, 1), ref(1, 1))
		f.renewLease(nil,
			runtable.ListedEnd{Number: 4, Ref: ref(0, 1), Valid: true, How: wire.EndDone},
			runtable.ListedEnd{Number: 5, Ref: ref(1, 1), Valid: true, How: wire.EndDone})
		Expect(ends(f.take())).To(HaveLen(2))
		f.table.AcknowledgeEnds(f.now, owner, &wire.EndsKept{Runs: []wire.RunRef{ref(1, 1)}})
		Expect(f.renewLease(nil).LastSeen).To(Equal(uint64(3)))
		f.table.AcknowledgeEnds(f.now, owner, &wire.EndsKept{Runs: []wire.RunRef{ref(0, 1)}})
		Expect(f.renewLease(nil).LastSeen).To(Equal(uint64(5)))
	})

	It("of best-effort jobs are acknowledged at once, and remembered for later queries", func() {
		f := newFixture().ready()
		r := ref(0, wire.BestEffortRun+1)
		run(f, r)
		f.renewLease(nil, runtable.ListedEnd{Number: 1, Ref: r, Valid: true, How: wire.EndDone})
		Expect(ends(f.take())).To(HaveLen(1))
		Expect(f.renewLease(nil).LastSeen).To(Equal(uint64(1)))
		f.table.QueryRuns(f.now, owner, &wire.RunsQuery{Runs: []wire.RunRef{r, ref(1, wire.BestEffortRun+1)}})
		var answer *wire.PartitionRuns
		for _, s := range f.take().Sends {
			if m, ok := s.Message.(*wire.PartitionRuns); ok {
				answer = m
			}
		}
		Expect(answer.Ended).To(HaveLen(1))
		Expect(answer.Running).To(BeEmpty())
	})

	It("are reported for all runs when the incarnation is over", func() {
		f := newFixture().ready()
		run(f, ref(0, 1))
		next := identity
		next.Instance = "i-2"
		f.table.Identify(f.now, next)
		Expect(how(ends(f.take())[0])).To(Equal(wire.EndCrashed))
	})

	It("of other connections of a coordinator leave the remaining one able to order runs", func() {
		f := newFixture().ready()
		f.table.OwnerUp(f.now, "older", member) // it is accepted after the newer one
		f.table.OwnerDown(f.now, "older")
		f.advanceRenewing(f.cfg.BestEffortLease.D() + 100*time.Millisecond)
		f.heartbeat(7) // on the connection that stays open
		f.order(0, ref(0, wire.BestEffortRun+1))
		Expect(f.take().Starts).To(HaveLen(1))
	})

	It("are acknowledged only if their owner has stored them", func() {
		f := newFixture().ready()
		run(f, ref(0, 1))
		f.renewLease(nil, runtable.ListedEnd{Number: 1, Ref: ref(0, 1), Valid: true, How: wire.EndDone})
		f.table.OwnerUp(f.now, "conn-2", "c1/1")
		f.table.AcknowledgeEnds(f.now, "conn-2", &wire.EndsKept{Runs: []wire.RunRef{ref(0, 1)}})
		Expect(f.renewLease(nil).LastSeen).To(BeZero())
		f.table.AcknowledgeEnds(f.now, owner, &wire.EndsKept{Runs: []wire.RunRef{ref(0, 1)}})
		Expect(f.renewLease(nil).LastSeen).To(BeEquivalentTo(1))
	})

	It("are reported to each new owner until they are stored", func() {
		f := newFixture().ready()
		run(f, ref(0, 1))
		f.renewLease(nil, runtable.ListedEnd{Number: 1, Ref: ref(0, 1), Valid: true, How: wire.EndDone})
		f.take()
		f.heartbeat(9)
		var reported *wire.PartitionRuns
		for _, s := range f.take().Sends {
			if m, ok := s.Message.(*wire.PartitionRuns); ok {
				reported = m
			}
		}
		Expect(reported.Epoch).To(Equal(uint64(9)))
		Expect(reported.Ended).To(HaveLen(1))
	})
})

var _ = Describe("an owner whose lease has expired", func() {
	It("has its runs stopped, and the backend server's lease lapses if that does not help", func() {
		f := newFixture().ready()
		f.order(7, ref(0, 1))
		f.table.StartAnswered(f.now, f.take().Starts[0], runtable.StartAccepted)
		f.advanceRenewing(f.cfg.OwnerLease.D() + time.Millisecond)
		Expect(f.take().Stops).To(HaveLen(1))
		f.renewLease(nil)
		f.advance(f.cfg.StopGrace.D())
		_, ok := f.table.NextRenewal(f.now)
		Expect(ok).To(BeFalse(), "the lease must not be renewed")
		f.order(7, ref(1, 1))
		Expect(f.take().Starts).To(BeEmpty())
		f.advance(f.cfg.BackendLease.D() + 100*time.Millisecond)
		Expect(how(ends(f.take())[0])).To(Equal(wire.EndLapsed))
		_, ok = f.table.NextRenewal(f.now)
		Expect(ok).To(BeTrue())
	})

	It("keeps no run of a best-effort job alive until its caller sends the job again", func() {
		f := newFixture().ready()
		r := ref(0, wire.BestEffortRun+1)
		f.order(0, r)
		f.table.StartAnswered(f.now, f.take().Starts[0], runtable.StartAccepted)
		f.table.OwnerDown(f.now, owner)
		f.advance(f.cfg.BestEffortLease.D() + time.Millisecond)
		Expect(f.take().Stops).To(HaveLen(1))
		const resend = 1300 * time.Millisecond
		Expect(f.cfg.BestEffortLease.D() + f.cfg.StopGrace.D()).To(BeNumerically("<", resend))
	})
})

var _ = Describe("a backend server that is silent", func() {
	// running returns a table with two runs, whose backend server has just answered.
	running := func() *fixture {
		f := newFixture().ready()
		f.order(7, ref(0, 1), ref(1, 1))
		for _, c := range f.take().Starts {
			f.table.StartAnswered(f.now, c, runtable.StartAccepted)
		}
		f.renewLease(nil)
		f.take()
		return f
	}
	silentAfter := func(f *fixture) time.Duration { return f.cfg.Core("dc").SilentAfter }

	It("gets no new tasks", func() {
		f := running()
		f.advance(silentAfter(f) + time.Millisecond)
		f.take()
		f.order(7, ref(3, 1))
		Expect(ends(f.take())[0].Reason).To(Equal("not_ready"))
		f.renewLease(nil, runtable.ListedEnd{Number: 1, Ref: ref(0, 1), Valid: true, How: wire.EndDone})
		f.heartbeat(7)
		f.take()
		f.order(7, ref(4, 1))
		e := f.take()
		Expect(ends(e)).To(BeEmpty(), "it answers again")
		Expect(e.Starts).To(HaveLen(1))
	})

	It("is sent no order again until it answers", func() {
		f := newFixture().ready()
		f.order(7, ref(0, 1))
		first := f.take().Starts[0]
		f.advance(silentAfter(f) + time.Millisecond)
		f.table.StartAnswered(f.now, first, runtable.StartUnknown)
		f.advance(f.cfg.StartLimit.D() - silentAfter(f))
		e := f.take()
		Expect(e.Starts).To(BeEmpty())
		Expect(e.Stops).To(BeEmpty())
		f.renewLease(nil)
		Expect(f.take().Starts).To(HaveLen(1))
	})

	It("has its lease no longer extended, and its runs end as soon as the lease is over", func() {
		f := running()
		last, ok := f.table.NextRenewal(f.now)
		Expect(ok).To(BeTrue())
		f.advance(silentAfter(f) + time.Millisecond)
		again, ok := f.table.NextRenewal(f.now)
		Expect(ok).To(BeTrue())
		Expect(again.Deadline).To(Equal(last.Deadline))
		f.take()
		f.advance(time.Duration(float64(f.cfg.BackendLease)*1.02) - silentAfter(f) - 10*time.Millisecond)
		Expect(ends(f.take())).To(BeEmpty(), "they may run until then")
		f.advance(100 * time.Millisecond)
		var lapsed []wire.End
		for _, e := range ends(f.take()) {
			lapsed = append(lapsed, how(e))
		}
		Expect(lapsed).To(Equal([]wire.End{wire.EndLapsed, wire.EndLapsed}))
	})
})

var _ = Describe("the outcomes of runs", func() {
	statusOf := func(f *fixture) *wire.WorkerStatus {
		f.heartbeat(7)
		var s *wire.WorkerStatus
		for _, m := range f.take().Sends {
			if status, ok := m.Message.(*wire.WorkerStatus); ok && m.Owner == owner {
				s = status
			}
		}
		return s
	}
	run := func(f *fixture, index uint32) {
		f.order(7, ref(index, 1))
		f.table.StartAnswered(f.now, f.take().Starts[0], runtable.StartAccepted)
	}

	It("give the slowness from run times over estimates, also of runs that have not ended", func() {
		f := newFixture().ready()
		f.estimate = 100
		Expect(statusOf(f).Slowness).To(BeEquivalentTo(100))
		run(f, 0)
		f.advanceRenewing(600 * time.Millisecond)
		Expect(statusOf(f).Slowness).To(BeEquivalentTo(112), "one run counts as at most four times its estimate, to the power of 0.08")
		f.renewLease(nil, runtable.ListedEnd{Number: 1, Ref: ref(0, 1), Valid: true, How: wire.EndDone})
		Expect(statusOf(f).Slowness).To(BeEquivalentTo(112))
		run(f, 1)
		f.advanceRenewing(100 * time.Millisecond)
		Expect(statusOf(f).Slowness).To(BeEquivalentTo(112), "a young run does not count")
	})

	It("show after a few runs that a server is as fast as before", func() {
		f := newFixture().ready()
		f.estimate = 100
		slowness := func() uint32 { return statusOf(f).Slowness }
		number := uint64(0)
		runFor := func(index uint32, d time.Duration) {
			f.heartbeat(7)
			run(f, index)
			f.advanceRenewing(d)
			f.heartbeat(7)
			number++
			f.renewLease(nil, runtable.ListedEnd{Number: number, Ref: ref(index, 1), Valid: true, How: wire.EndDone})
		}
		for i := range uint32(20) {
			runFor(i, 100*time.Millisecond)
		}
		for i := range uint32(12) {
			runFor(20+i, 600*time.Millisecond)
		}
		Expect(slowness()).To(BeNumerically(">", 220))
		for i := range uint32(3) {
			runFor(32+i, 100*time.Millisecond)
		}
		Expect(slowness()).To(BeNumerically("<", 160))
	})

	It("give the share of failed runs, which is dropped with the incarnation", func() {
		f := newFixture().ready()
		run(f, 0)
		f.renewLease(nil, runtable.ListedEnd{Number: 1, Ref: ref(0, 1), Valid: true, How: wire.EndFailed})
		Expect(statusOf(f).Failing).To(BeEquivalentTo(20))
		run(f, 1)
		f.renewLease(nil, runtable.ListedEnd{Number: 2, Ref: ref(1, 1), Valid: true, How: wire.EndDone})
		Expect(statusOf(f).Failing).To(BeEquivalentTo(16))
		next := identity
		next.Instance = "i-2"
		f.table.Identify(f.now, next)
		Expect(statusOf(f).Failing).To(BeZero())
	})
})

var _ = Describe("the progress of a run", func() {
	const estimate = 200
	// started returns a table with one run, which has an estimate of 200 ms and a limit of 750.
	started := func() *fixture {
		f := newFixture().ready()
		f.estimate, f.limit = estimate, 750
		f.order(7, ref(0, 1))
		f.table.StartAnswered(f.now, f.take().Starts[0], runtable.StartAccepted)
		return f
	}
	// list advances the time and then has the backend server list the run's progress.
	list := func(f *fixture, after time.Duration, percent int) runtable.Effects {
		f.advance(after)
		f.renewLease([]runtable.ListedRun{{Ref: ref(0, 1), Percent: percent}})
		f.advance(0)
		return f.take()
	}

	It("has it stopped as soon as its pace would exceed its limit", func() {
		f := started()
		Expect(list(f, 30*time.Millisecond, 2).Stops).To(BeEmpty(), "too soon to tell")
		Expect(list(f, 40*time.Millisecond, 5).Stops).To(HaveLen(1), "1,400 ms at that pace")
		f.renewLease(nil, runtable.ListedEnd{Number: 1, Ref: ref(0, 1), Valid: true, How: wire.EndStopped})
		Expect(how(ends(f.take())[0])).To(Equal(wire.EndStraggled))
	})

	It("has it stopped when it stalls, however far it has come", func() {
		f := started()
		Expect(list(f, 70*time.Millisecond, 35).Stops).To(BeEmpty())
		Expect(list(f, 70*time.Millisecond, 35).Stops).To(HaveLen(1))
	})

	It("lets it continue if it is no slower than its limit allows", func() {
		f := started()
		for i := range 6 {
			Expect(list(f, 70*time.Millisecond, 12*(i+1)).Stops).To(BeEmpty(), "583 ms at that pace")
		}
	})

	It("shows coordinators early that runs are slow", func() {
		f := started()
		f.heartbeat(7)
		list(f, 70*time.Millisecond, 10) // 700 ms in all, 3.5 times the estimate
		f.heartbeat(7)
		var slowness uint32
		for _, s := range f.take().Sends {
			if m, ok := s.Message.(*wire.WorkerStatus); ok {
				slowness = m.Slowness
			}
		}
		Expect(slowness).To(BeEquivalentTo(111), "3.5 to the power of 0.08")
	})

	It("is ignored if the backend server reports none, or an older list arrives later", func() {
		f := started()
		Expect(list(f, 70*time.Millisecond, 0).Stops).To(BeEmpty())
		Expect(list(f, 70*time.Millisecond, 0).Stops).To(BeEmpty())
		g := started()
		older, _ := g.table.NextRenewal(g.now)
		Expect(list(g, 70*time.Millisecond, 35).Stops).To(BeEmpty())
		g.advance(70 * time.Millisecond)
		g.table.RenewAnswered(g.now, older, runtable.RenewAnswer{Result: runtable.RenewOK, Clock: g.clock(), Running: []runtable.ListedRun{{Ref: ref(0, 1), Percent: 1}}})
		g.advance(0)
		Expect(g.take().Stops).To(BeEmpty())
	})
})

var _ = Describe("renewals", func() {
	unanswered := func(f *fixture) runtable.RenewCall {
		call, ok := f.table.NextRenewal(f.now)
		Expect(ok).To(BeTrue())
		f.table.RenewAnswered(f.now, call, runtable.RenewAnswer{Result: runtable.RenewUnanswered})
		return call
	}

	It("wait long for news, and less long while something runs and calls go unanswered", func() {
		f := newFixture().ready()
		f.order(7, ref(0, 1))
		start := f.take().Starts[0]
		Expect(f.renewLease([]runtable.ListedRun{{Ref: ref(0, 1)}}).Wait).To(Equal(f.cfg.LongRenewWait.D()))
		f.table.StartAnswered(f.now, start, runtable.StartUnknown)
		Expect(f.renewLease(nil).Wait).To(Equal(f.cfg.RenewWait.D()))
		for range 9 {
			f.advanceRenewing(500 * time.Millisecond)
			f.heartbeat(7)
			Expect(f.renewLease(nil).Wait).To(Equal(f.cfg.RenewWait.D()))
		}
		f.advanceRenewing(500 * time.Millisecond)
		f.heartbeat(7)
		Expect(f.renewLease(nil).Wait).To(Equal(f.cfg.LongRenewWait.D()), "all calls have been answered for long enough")
	})

	It("are followed by another when overdue, and count once as unanswered if they are lost", func() {
		f := newFixture().ready()
		first, _ := f.table.NextRenewal(f.now)
		Expect(first.OverdueAfter).To(Equal(f.cfg.RenewOverdue.D()))
		f.table.RenewOverdue(first)
		second, _ := f.table.NextRenewal(f.now)
		Expect(second.Wait).To(BeZero())
		Expect(second.Limit).To(Equal(2 * f.cfg.RenewLimit.D()))
		f.table.RenewAnswered(f.now, first, runtable.RenewAnswer{Result: runtable.RenewUnanswered})
		third, _ := f.table.NextRenewal(f.now)
		Expect(third.Limit).To(Equal(second.Limit), "it was counted when it became overdue")
		f.table.RenewAnswered(f.now, second, runtable.RenewAnswer{Result: runtable.RenewOK, Clock: f.clock()})
		Expect(f.renewLease(nil).Wait).NotTo(BeZero())
	})

	It("are not overdue if they have been answered", func() {
		f := newFixture().ready()
		call := f.renewLease(nil)
		f.table.RenewOverdue(call)
		next, _ := f.table.NextRenewal(f.now)
		Expect(next.Wait).To(Equal(f.cfg.LongRenewWait.D()))
		Expect(next.Limit).To(Equal(f.cfg.RenewLimit.D()))
	})

	It("may be answered in any order: an older list repeats no end and hides no run", func() {
		f := newFixture().ready()
		f.order(7, ref(0, 1), ref(1, 1))
		for _, c := range f.take().Starts {
			f.table.StartAnswered(f.now, c, runtable.StartAccepted)
		}
		older, _ := f.table.NextRenewal(f.now)
		f.table.RenewOverdue(older)
		end := runtable.ListedEnd{Number: 1, Ref: ref(0, 1), Valid: true, How: wire.EndDone}
		f.renewLease([]runtable.ListedRun{{Ref: ref(1, 1)}}, end)
		Expect(ends(f.take())).To(HaveLen(1))
		f.table.RenewAnswered(f.now, older, runtable.RenewAnswer{
			Result: runtable.RenewOK, Clock: f.clock() - time.Second, Ended: []runtable.ListedEnd{end},
			Running: []runtable.ListedRun{{Ref: ref(0, 1)}, {Ref: ref(1, 1)}},
		})
		e := f.take()
		Expect(ends(e)).To(BeEmpty())
		f.renewLease([]runtable.ListedRun{{Ref: ref(1, 1)}}, runtable.ListedEnd{Number: 2, Ref: ref(1, 1), Valid: true, How: wire.EndDone})
		Expect(ends(f.take())).To(HaveLen(1))
	})

	It("wait long while nothing runs, even after an unanswered call", func() {
		f := newFixture().ready()
		unanswered(f)
		f.renewLease(nil)
		Expect(f.renewLease(nil).Wait).To(Equal(f.cfg.LongRenewWait.D()))
	})

	It("do not wait after an unanswered one, and have more time to be answered", func() {
		f := newFixture().ready()
		Expect(unanswered(f).Limit).To(Equal(f.cfg.RenewLimit.D()))
		second := unanswered(f)
		Expect(second.Wait).To(BeZero())
		Expect(second.Limit).To(Equal(2 * f.cfg.RenewLimit.D()))
		Expect(unanswered(f).Limit).To(Equal(f.cfg.CallLimit.D()), "no more than the limit of any call")
		f.renewLease(nil)
		Expect(f.renewLease(nil).Limit).To(Equal(f.cfg.RenewLimit.D()))
	})
})

var _ = Describe("a process that replaces an earlier one", func() {
	It("uses a fencing token above that of the earlier one", func() {
		f := newFixture()
		f.table.Identify(f.now, identity)
		first := f.renewLease(nil)
		Expect(first.Token).To(BeZero())
		second := f.renewLease(nil)
		Expect(second.Token).To(Equal(uint64(f.clock().Milliseconds())))

		f.now = f.now.Add(time.Second)
		successor := newFixture()
		successor.now = f.now
		successor.table.Identify(f.now, identity)
		successor.renewLease(nil)
		Expect(successor.renewLease(nil).Token).To(BeNumerically(">", second.Token))
	})

	It("adopts the runs, and stops best-effort runs that nobody claims", func() {
		f := newFixture()
		f.table.Identify(f.now, identity)
		f.renewLease(nil)
		r := ref(0, wire.BestEffortRun+1)
		f.renewLease([]runtable.ListedRun{{Ref: r}})
		f.advance(f.cfg.AdoptionTimeout.D() + time.Millisecond)
		e := f.take()
		Expect(e.Stops).To(HaveLen(1))
		_, ok := f.table.NextRenewal(f.now)
		Expect(ok).To(BeTrue(), "other runs keep their lease")
	})
})
