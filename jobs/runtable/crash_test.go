package runtable_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/jobs/runtable"
	"github.com/lichenfall/lichenfall/wire"
)

// orderSuspects orders runs, each of a task with so many crashes, and has the first ones
// answered.
func (f *fixture) orderSuspects(answered int, crashes ...uint32) {
	m := &wire.StartRuns{Seq: f.seq}
	for i, n := range crashes {
		m.Runs = append(m.Runs, wire.RunOrder{Ref: ref(uint32(i), 1), Epoch: 7, Need: durable.Resources{CPU: 500}, Crashes: n})
	}
	f.table.Start(f.now, owner, m)
	for i, c := range f.take().Starts {
		if i < answered {
			f.table.StartAnswered(f.now, c, runtable.StartAccepted)
		}
	}
}

// crash ends the life of the backend server: nothing listens there, and then another answers.
func (f *fixture) crash() {
	f.refused()
	f.table.Identify(f.now, nextIdentity())
}

func nextIdentity() runtable.Identity {
	next := identity
	next.Instance = "i-2"
	return next
}

// reports returns all that a new owner of the partition is told of it.
func (f *fixture) reports(name string, epoch uint64) []wire.RunEnd {
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

// nextLife brings the table to where the next life of the backend server takes orders.
func (f *fixture) nextLife() {
	f.table.Identify(f.now, nextIdentity())
	f.hold(nil)
	f.hold(nil)
}

var _ = Describe("a crash of the backend server", func() {
	It("is told of each run there: whether it was at work, and which was the only suspect", func() {
		f := newFixture().ready()
		f.orderSuspects(2, 0, 1, 0)
		f.crash()
		Expect(ends(f.take())).To(ConsistOf(
			And(HaveField("Ref", ref(0, 1)), HaveField("How", uint8(wire.EndCrashed)), HaveField("Instance", "i-1"), HaveField("Begun", true), HaveField("Alone", false)),
			And(HaveField("Ref", ref(1, 1)), HaveField("Begun", true), HaveField("Alone", true)),
			And(HaveField("Ref", ref(2, 1)), HaveField("Begun", false), HaveField("Alone", false)),
		))
	})

	It("accuses no suspect alone where there were two", func() {
		f := newFixture()
		f.table.Identify(f.now, identity)
		f.hold(nil)
		f.table.OwnerUp(f.now, owner, member)
		f.heartbeat(7)
		f.hold([]runtable.ListedRun{{Ref: ref(0, 1)}, {Ref: ref(1, 1)}}) // of an earlier process: of unknown crashes
		f.take()
		f.crash()
		Expect(ends(f.take())).To(And(HaveLen(2), HaveEach(HaveField("Alone", false))))
	})

	It("finds one suspect at a time: the next is handed back while one is there", func() {
		f := newFixture().ready()
		f.orderSuspects(1, 1, 2, 0)
		Expect(ends(f.out)).To(ConsistOf(And(HaveField("Ref", ref(1, 1)), HaveField("How", uint8(wire.EndNotRun)), HaveField("Reason", "suspect_there"))))
		f.crash()
		Expect(ends(f.take())).To(ContainElement(And(HaveField("Ref", ref(0, 1)), HaveField("Alone", true))))
	})

	It("is none where the backend server had said that it would leave", func() {
		f := newFixture().ready()
		f.orderSuspects(1, 1)
		leaving := identity
		leaving.Ready = false
		f.table.Identify(f.now, leaving)
		f.crash()
		told := ends(f.take())
		Expect(how(told[0])).To(Equal(wire.EndLost))
	})

	It("is one where only the name of the life is known: it has said nothing", func() {
		f := newFixture()
		f.table.Identify(f.now, runtable.Identity{Instance: "i-1"})
		f.hold(nil)
		f.table.OwnerUp(f.now, owner, member)
		f.heartbeat(7)
		f.hold([]runtable.ListedRun{{Ref: ref(0, 1)}})
		f.take()
		f.crash()
		Expect(ends(f.take())).To(ConsistOf(And(HaveField("How", uint8(wire.EndCrashed)), HaveField("Begun", true), HaveField("Alone", true))))
	})

	It("is told to a later owner of the partition, until one has kept it", func() {
		f := newFixture().ready()
		f.orderSuspects(1, 0)
		f.table.OwnerDown(f.now, owner)
		f.crash()
		f.nextLife()
		Expect(f.reports("conn-2", 8)).To(ConsistOf(HaveField("How", uint8(wire.EndCrashed))))
		Expect(f.reports("conn-3", 9)).To(HaveLen(1))
		f.table.AcknowledgeEnds(f.now, "conn-3", &wire.EndsKept{Runs: []wire.RunRef{ref(0, 1)}})
		Expect(f.reports("conn-4", 10)).To(BeEmpty())
	})

	It("is forgotten when no owner has asked for long", func() {
		f := newFixture().ready()
		f.orderSuspects(1, 0)
		f.crash()
		f.nextLife()
		f.passHolding(40 * time.Second)
		Expect(f.reports("conn-2", 8)).To(BeEmpty())
	})

	It("is told to a coordinator that asks for a best-effort run over a new connection", func() {
		f := newFixture().ready()
		r := ref(0, wire.BestEffortRun+1)
		f.order(7, r)
		f.table.StartAnswered(f.now, f.take().Starts[0], runtable.StartAccepted)
		f.table.OwnerDown(f.now, owner)
		f.crash()
		f.nextLife()
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

	It("is not under a run whose order could not be sent", func() {
		f := newFixture().ready()
		f.order(7, ref(0, 1))
		f.table.StartAnswered(f.now, f.take().Starts[0], runtable.StartConnectionRefused)
		Expect(how(ends(f.take())[0])).To(Equal(wire.EndNotRun))
	})
})
