package runtable_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lichenfall/lichenfall/jobs/runtable"
	"github.com/lichenfall/lichenfall/wire"
)

// speedFixture is a table that runs tasks with an estimate of 100 ms one after the other.
type speedFixture struct {
	*fixture
	index  uint32
	number uint64
	notes  []runtable.Note // about the speed
}

func newSpeedFixture() *speedFixture {
	f := &speedFixture{fixture: newFixture().ready()}
	f.estimate = 100
	return f
}

// status returns the latest status of the owner.
func (f *speedFixture) status() *wire.WorkerStatus {
	f.heartbeat(7)
	var status *wire.WorkerStatus
	for _, m := range f.take().Sends {
		if s, ok := m.Message.(*wire.WorkerStatus); ok && m.Owner == owner {
			status = s
		}
	}
	return status
}

// runTasks runs n tasks, each of which takes the given time.
func (f *speedFixture) runTasks(n int, took time.Duration) {
	for range n {
		f.heartbeat(7)
		f.index++
		f.order(7, ref(f.index, 1))
		f.table.StartAnswered(f.now, f.take().Starts[0], runtable.StartAccepted)
		f.advanceRenewing(took)
		f.heartbeat(7)
		f.end(ref(f.index, 1))
	}
}

func (f *speedFixture) end(r wire.RunRef) {
	f.number++
	f.renewLease(nil, runtable.ListedEnd{Number: f.number, Ref: r, Valid: true, How: wire.EndDone})
	for _, n := range f.take().Notes {
		if n.What == runtable.SpeedKnown || n.What == runtable.SpeedChanged {
			f.notes = append(f.notes, n)
		}
	}
}

var _ = Describe("the speed baseline of a backend server", func() {
	It("is reported once it is known, and is not changed by a temporary slowdown", func() {
		f := newSpeedFixture()
		f.runTasks(15, 160*time.Millisecond)
		Expect(f.status().TimeFactor).To(BeZero())
		f.runTasks(1, 160*time.Millisecond)
		Expect(f.status()).To(SatisfyAll(HaveField("TimeFactor", BeEquivalentTo(160)), HaveField("Slowness", BeEquivalentTo(100))))
		f.runTasks(14, 640*time.Millisecond)
		Expect(f.status()).To(SatisfyAll(HaveField("TimeFactor", BeNumerically("~", 160, 30)), HaveField("Slowness", BeNumerically(">", 220))))
		f.runTasks(30, 160*time.Millisecond)
		Expect(f.status()).To(SatisfyAll(HaveField("TimeFactor", BeNumerically("~", 160, 16)), HaveField("Slowness", BeNumerically("~", 100, 15))))
	})

	It("is logged when it is first known and when it has changed, at most every ten seconds", func() {
		f := newSpeedFixture()
		f.runTasks(400, 100*time.Millisecond)
		Expect(f.notes).To(Equal([]runtable.Note{{What: runtable.SpeedKnown, Factor: 100}}))
		began := f.now
		f.runTasks(300, 400*time.Millisecond)
		Expect(f.notes[1]).To(Equal(runtable.Note{What: runtable.SpeedChanged, Factor: 400, FactorBefore: 100}))
		f.runTasks(300, 100*time.Millisecond)
		Expect(len(f.notes)).To(BeNumerically("<=", 2+int(f.now.Sub(began)/(10*time.Second))))
		Expect(f.notes[len(f.notes)-1].Factor).To(BeEquivalentTo(100))
	})

	DescribeTable("is not carried over to a new incarnation", func(next runtable.Identity) {
		f := newSpeedFixture()
		f.runTasks(40, 160*time.Millisecond)
		f.table.Identify(f.now, next)
		Expect(f.status()).To(SatisfyAll(HaveField("TimeFactor", BeZero()), HaveField("Slowness", BeEquivalentTo(100))))
		f.renewLease(nil)
		f.renewLease(nil)
		f.number = 0
		f.runTasks(16, 60*time.Millisecond)
		Expect(f.status().TimeFactor).To(BeEquivalentTo(60), "the new incarnation may be on another kind of box")
	},
		Entry("with another instance ID", func() runtable.Identity { id := identity; id.Instance = "i-2"; return id }()),
		Entry("with the same instance ID", func() runtable.Identity { id := identity; id.Born = 2000; return id }()),
	)

	It("is not measured on runs that an earlier process of this worker has started", func() {
		f := newSpeedFixture()
		f.table = runtable.New(f.cfg.Core("dc"), f.now)
		f.table.Identify(f.now, identity)
		f.renewLease(nil)
		var adopted []runtable.ListedRun
		for i := range uint32(30) {
			adopted = append(adopted, runtable.ListedRun{Ref: ref(i, 1)})
		}
		f.renewLease(adopted)
		f.table.OwnerUp(f.now, owner, member)
		f.heartbeat(7)
		f.advance(time.Millisecond)
		for _, a := range adopted {
			f.table.SetNeeds(f.now, owner, &wire.RunNeeds{Runs: []wire.RunNeed{{Ref: a.Ref}}})
			f.end(a.Ref)
		}
		Expect(f.status()).To(SatisfyAll(HaveField("TimeFactor", BeZero()), HaveField("Slowness", BeEquivalentTo(100))))
		f.index = 100
		f.runTasks(16, 160*time.Millisecond)
		Expect(f.status().TimeFactor).To(BeEquivalentTo(160))
	})
})
