package runtable_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/jobs/runtable"
	"github.com/lichenfall/lichenfall/wire"
)

// orderSuspects orders one run for each entry of crashes, the number of earlier crashes under its
// task, and accepts the first starts, answered in number.
func (f *fixture) orderSuspects(answered int, crashes ...uint32) {
	m := &wire.StartRuns{Seq: f.seq}
	for i, n := range crashes {
		m.Runs = append(m.Runs, wire.RunOrder{Ref: ref(uint32(i), 1), Epoch: 7, Need: durable.Resources{CPU: 500}, Crashes: n})
	}
	f.start(owner, m)
	for i, c := range f.take().Starts {
		if i < answered {
			f.table.StartAnswered(f.now, c, runtable.StartAccepted)
		}
	}
}

// crash ends the incarnation: a connection is refused, and then another incarnation is in force.
func (f *fixture) crash() {
	f.refuseRenewal()
	f.table.Identify(f.now, nextIdentity())
}

func nextIdentity() runtable.Identity {
	next := identity
	next.Instance = "i-2"
	return next
}

// partitionReport returns the ends that a new owner of the partition is sent.
func (f *fixture) partitionReport(name string, epoch uint64) []wire.RunEnd {
	f.table.OwnerUp(f.now, name, name)
	var stamp int64
	for _, s := range f.take().Sends {
		if m, ok := s.Message.(*wire.WorkerStatus); ok {
			stamp = m.Stamp
		}
	}
	f.table.Heartbeat(f.now, name, &wire.OwnerHeartbeat{
		Echo: stamp, Confirmed: true,
		Partitions: []wire.PartitionEpoch{{Partition: job.Partition(f.cfg.Partitions), Epoch: epoch}},
	})
	var out []wire.RunEnd
	for _, s := range f.take().Sends {
		if m, ok := s.Message.(*wire.PartitionRuns); ok {
			out = append(out, m.Ended...)
		}
	}
	return out
}

// nextIncarnation makes the next incarnation of the backend server ready for orders.
func (f *fixture) nextIncarnation() {
	f.table.Identify(f.now, nextIdentity())
	f.renewLease(nil)
	f.renewLease(nil)
}

var _ = Describe("a crash of the backend server", func() {
	It("is reported for each run: whether it had started, and whether it was the only suspect", func() {
		f := newFixture().ready()
		f.orderSuspects(2, 0, 1, 0)
		f.crash()
		Expect(ends(f.take())).To(ConsistOf(
			And(HaveField("Ref", ref(0, 1)), HaveField("How", uint8(wire.EndCrashed)), HaveField("Instance", "i-1"), HaveField("Begun", true), HaveField("Alone", false)),
			And(HaveField("Ref", ref(1, 1)), HaveField("Begun", true), HaveField("Alone", true)),
			And(HaveField("Ref", ref(2, 1)), HaveField("Begun", false), HaveField("Alone", false)),
		))
	})

	It("marks no run as the only suspect if there were two", func() {
		f := newFixture()
		f.table.Identify(f.now, identity)
		f.renewLease(nil)
		f.table.OwnerUp(f.now, owner, member)
		f.heartbeat(7)
		f.renewLease([]runtable.ListedRun{{Ref: ref(0, 1)}, {Ref: ref(1, 1)}}) // adopted: their crashes are unknown
		f.take()
		f.crash()
		Expect(ends(f.take())).To(And(HaveLen(2), HaveEach(HaveField("Alone", false))))
	})

	It("finds one suspect at a time, since a second one is handed back", func() {
		f := newFixture().ready()
		f.orderSuspects(1, 1, 2, 0)
		Expect(ends(f.out)).To(ConsistOf(And(HaveField("Ref", ref(1, 1)), HaveField("How", uint8(wire.EndNotRun)), HaveField("Reason", "suspect_there"))))
		f.crash()
		Expect(ends(f.take())).To(ContainElement(And(HaveField("Ref", ref(0, 1)), HaveField("Alone", true))))
	})

	It("is none if the backend server had announced its end", func() {
		f := newFixture().ready()
		f.orderSuspects(1, 1)
		leaving := identity
		leaving.Ready = false
		f.table.Identify(f.now, leaving)
		f.crash()
		reported := ends(f.take())
		Expect(how(reported[0])).To(Equal(wire.EndLost))
	})

	It("is one if only the ID of the incarnation is known, since it has announced nothing", func() {
		f := newFixture()
		f.table.Identify(f.now, runtable.Identity{Instance: "i-1"})
		f.renewLease(nil)
		f.table.OwnerUp(f.now, owner, member)
		f.heartbeat(7)
		f.renewLease([]runtable.ListedRun{{Ref: ref(0, 1)}})
		f.take()
		f.crash()
		Expect(ends(f.take())).To(ConsistOf(And(HaveField("How", uint8(wire.EndCrashed)), HaveField("Begun", true), HaveField("Alone", true))))
	})

	It("is reported to later owners of the partition until one has stored it", func() {
		f := newFixture().ready()
		f.orderSuspects(1, 0)
		f.table.OwnerDown(f.now, owner)
		f.crash()
		f.nextIncarnation()
		Expect(f.partitionReport("conn-2", 8)).To(ConsistOf(HaveField("How", uint8(wire.EndCrashed))))
		Expect(f.partitionReport("conn-3", 9)).To(HaveLen(1))
		f.table.AcknowledgeEnds(f.now, "conn-3", &wire.EndsKept{Runs: []wire.RunRef{ref(0, 1)}})
		Expect(f.partitionReport("conn-4", 10)).To(BeEmpty())
	})

	It("is forgotten if no owner has asked for long", func() {
		f := newFixture().ready()
		f.orderSuspects(1, 0)
		f.crash()
		f.nextIncarnation()
		f.advanceRenewing(40 * time.Second)
		Expect(f.partitionReport("conn-2", 8)).To(BeEmpty())
	})

	It("is reported to a coordinator that asks about a best-effort run on a new connection", func() {
		f := newFixture().ready()
		r := ref(0, wire.BestEffortRun+1)
		f.order(7, r)
		f.table.StartAnswered(f.now, f.take().Starts[0], runtable.StartAccepted)
		f.table.OwnerDown(f.now, owner)
		f.crash()
		f.nextIncarnation()
		f.table.OwnerUp(f.now, "conn-2", member)
		f.table.QueryRuns(f.now, "conn-2", &wire.RunsQuery{Runs: []wire.RunRef{r}})
		var ended []wire.RunEnd
		for _, s := range f.take().Sends {
			if m, ok := s.Message.(*wire.PartitionRuns); ok {
				ended = append(ended, m.Ended...)
			}
		}
		Expect(ended).To(ConsistOf(HaveField("How", uint8(wire.EndCrashed))))
	})

	It("is not blamed on a run whose order could not be sent", func() {
		f := newFixture().ready()
		f.order(7, ref(0, 1))
		f.table.StartAnswered(f.now, f.take().Starts[0], runtable.StartConnectionRefused)
		Expect(how(ends(f.take())[0])).To(Equal(wire.EndNotRun))
	})
})
