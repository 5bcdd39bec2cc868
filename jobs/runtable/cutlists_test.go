package runtable_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/jobs/runtable"
	"github.com/lichenfall/lichenfall/wire"
)

// renewCut makes a renewal that is answered with the given lists, beyond which there may be ends.
func (f *fixture) renewCut(running []runtable.ListedRun, ended ...runtable.ListedEnd) {
	call, ok := f.table.NextRenewal(f.now)
	Expect(ok).To(BeTrue())
	f.table.RenewAnswered(f.now, call, runtable.RenewAnswer{Result: runtable.RenewOK, Clock: f.clock(), Running: running, Ended: ended, MoreEnded: true})
}

// startRun starts a run of a task that takes 1,500 of the 4,000 thousandths of a core.
func (f *fixture) startRun(r wire.RunRef) {
	f.order(7, r)
	for _, c := range f.take().Starts {
		f.table.StartAnswered(f.now, c, runtable.StartAccepted)
	}
}

func doneEnd(number uint64, r wire.RunRef) runtable.ListedEnd {
	return runtable.ListedEnd{Number: number, Ref: r, Valid: true, How: wire.EndDone}
}

// reportsOf returns the reports of partitions that are sent, and how many notices that they are pending.
func reportsOf(e runtable.Effects) (reports []*wire.PartitionRuns, pending int) {
	for _, s := range e.Sends {
		switch m := s.Message.(type) {
		case *wire.PartitionRuns:
			reports = append(reports, m)
		case *wire.ReportPending:
			pending++
		}
	}
	return reports, pending
}

var _ = Describe("lists that may lack ends", func() {
	// Guards against done tasks that start again, since their ends were not among the first 500.
	It("do not show that a stopped run never started", func() {
		f := newFixture().ready()
		f.startRun(ref(0, 1))
		f.table.Stop(f.now, owner, &wire.StopRuns{Runs: []wire.RunRef{ref(0, 1)}})
		f.table.StopAnswered(f.now, f.take().Stops[0], true)
		other := doneEnd(1, ref(9, 1))
		f.renewCut(nil, other)
		Expect(ends(f.take())).To(ConsistOf(HaveField("Ref", other.Ref)), "the end that is listed, and no other")
		f.renewLease(nil, doneEnd(2, ref(0, 1)))
		Expect(ends(f.take())).To(ConsistOf(And(HaveField("Ref", ref(0, 1)), HaveField("How", uint8(wire.EndDone)))))
	})

	It("show that runs are over that do not run any more: their capacity is free, and they are no stragglers", func() {
		f := newFixture().ready()
		f.limit, f.estimate = 300, 100
		f.startRun(ref(0, 1))
		f.startRun(ref(1, 1))
		f.advance(100 * time.Millisecond)
		f.heartbeat(7)
		f.renewCut([]runtable.ListedRun{{Ref: ref(1, 1)}}, doneEnd(1, ref(9, 1)))
		f.order(7, ref(2, 1), ref(3, 1))
		Expect(f.take().Starts).To(HaveLen(1), "one fits beside the run that goes on")
		f.advance(250 * time.Millisecond)
		Expect(f.take().Stops).To(ConsistOf(HaveField("Ref", ref(1, 1))), "the other one has ended")
		f.renewLease([]runtable.ListedRun{{Ref: ref(1, 1)}}, doneEnd(2, ref(0, 1)))
		Expect(ends(f.take())).To(ContainElement(And(HaveField("Ref", ref(0, 1)), HaveField("RunMS", int64(100)))), "it lasted until it was seen to be over")
	})

	It("show nothing of a run whose start was accepted after they were requested", func() {
		f := newFixture().ready()
		f.order(7, ref(0, 1))
		call, _ := f.table.NextRenewal(f.now)
		f.table.StartAnswered(f.now, f.take().Starts[0], runtable.StartAccepted)
		f.table.RenewAnswered(f.now, call, runtable.RenewAnswer{Result: runtable.RenewOK, Clock: f.clock(), MoreEnded: true})
		f.order(7, ref(1, 1), ref(2, 1))
		Expect(f.take().Starts).To(HaveLen(1), "the run takes its capacity")
	})

	// Guards against done tasks that start again after a takeover: the new process of a worker did not
	// know their ends, and its report counted as complete.
	It("let a new process report the ends that it knows, and the rest once it knows all", func() {
		f := newFixture()
		f.table.Identify(f.now, identity)
		f.renewLease(nil)
		f.renewCut([]runtable.ListedRun{{Ref: ref(5, 1)}}, doneEnd(1, ref(0, 1)), doneEnd(2, ref(1, 1)))
		f.table.OwnerUp(f.now, owner, member)
		f.heartbeat(7)
		e := f.take()
		Expect(ends(e)).To(ConsistOf(HaveField("Ref", ref(0, 1)), HaveField("Ref", ref(1, 1))))
		reports, pending := reportsOf(e)
		Expect(reports).To(BeEmpty())
		Expect(pending).To(Equal(1))
		f.order(7, ref(6, 1))
		Expect(ends(f.take())).To(ConsistOf(HaveField("Reason", "no_lease")), "the owner does not know all yet")

		f.table.AcknowledgeEnds(f.now, owner, &wire.EndsKept{Runs: []wire.RunRef{ref(0, 1), ref(1, 1)}})
		call, _ := f.table.NextRenewal(f.now)
		Expect(call.LastSeen).To(Equal(uint64(2)))
		f.table.RenewAnswered(f.now, call, runtable.RenewAnswer{
			Result: runtable.RenewOK, Clock: f.clock(),
			Running: []runtable.ListedRun{{Ref: ref(5, 1)}}, Ended: []runtable.ListedEnd{doneEnd(3, ref(2, 1))},
		})
		reports, _ = reportsOf(f.take())
		Expect(reports).To(HaveLen(1))
		Expect(reports[0].Running).To(ConsistOf(ref(5, 1)))
		Expect(reports[0].Ended).To(ConsistOf(HaveField("Ref", ref(2, 1))))
	})

	It("let a query for best-effort runs wait, while those that are there are claimed", func() {
		f := newFixture()
		f.table.Identify(f.now, identity)
		f.renewLease(nil)
		here, gone := ref(0, wire.BestEffortRun+1), ref(1, wire.BestEffortRun+1)
		f.renewCut([]runtable.ListedRun{{Ref: here}}, doneEnd(1, ref(9, 1)))
		f.table.OwnerUp(f.now, owner, member)
		f.heartbeat(7)
		f.table.QueryRuns(f.now, owner, &wire.RunsQuery{Runs: []wire.RunRef{here, gone}})
		reports, _ := reportsOf(f.take())
		Expect(reports).To(BeEmpty(), "the end of the other one may not be listed yet")
		f.advance(f.cfg.AdoptionTimeout.D() - f.cfg.BestEffortLease.D())
		f.heartbeat(7)
		f.advance(f.cfg.BestEffortLease.D() / 2)
		f.renewLease([]runtable.ListedRun{{Ref: here}}, doneEnd(1, ref(9, 1)), doneEnd(2, gone))
		e := f.take()
		Expect(e.Stops).To(BeEmpty())
		reports, _ = reportsOf(e)
		Expect(reports).To(ContainElement(And(
			HaveField("Running", ConsistOf(here)),
			HaveField("Ended", ConsistOf(HaveField("Ref", gone))),
		)))
	})

	// Guards against a task that is blamed for a crash that came after its run had ended.
	It("end with a backend server that fell silent: of a run that was over, nothing says that it crashed it", func() {
		f := newFixture().ready()
		f.startRun(ref(0, 1))
		f.renewCut(nil, doneEnd(1, ref(9, 1)))
		f.take()
		f.advance(f.cfg.SilentAfter.D() + time.Millisecond)
		f.advance(2 * f.cfg.BackendLease.D())
		f.table.Identify(f.now, runtable.Identity{Instance: "i-2", Service: "s", Ready: true, Capacity: durable.Resources{CPU: 4000, Memory: 1000}})
		Expect(ends(f.take())).To(ConsistOf(And(HaveField("Ref", ref(0, 1)), HaveField("How", uint8(wire.EndLost)))))
	})

	It("end with the backend server: of a run that was over, nothing says that it crashed it", func() {
		f := newFixture().ready()
		f.startRun(ref(0, 1))
		f.renewCut(nil, doneEnd(1, ref(9, 1)))
		f.take()
		f.table.Identify(f.now, runtable.Identity{Instance: "i-2", Service: "s", Ready: true, Capacity: durable.Resources{CPU: 4000, Memory: 1000}})
		Expect(ends(f.take())).To(ConsistOf(And(HaveField("Ref", ref(0, 1)), HaveField("How", uint8(wire.EndLost)))))
	})
})
