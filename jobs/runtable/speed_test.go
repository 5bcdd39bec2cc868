package runtable_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lichenfall/lichenfall/jobs/runtable"
	"github.com/lichenfall/lichenfall/wire"
)

// speedFixture is a table that runs tasks of 100 ms by their estimates one after the other.
type speedFixture struct {
	*fixture
	index  uint32
	number uint64
	notes  []runtable.Note // on the speed
}

func newSpeedFixture() *speedFixture {
	f := &speedFixture{fixture: newFixture().ready()}
	f.estimate = 100
	return f
}

// said returns what coordinators are told.
func (f *speedFixture) said() *wire.WorkerStatus {
	f.heartbeat(7)
	var said *wire.WorkerStatus
	for _, m := range f.take().Sends {
		if status, ok := m.Message.(*wire.WorkerStatus); ok && m.Owner == owner {
			said = status
		}
	}
	return said
}

// runs has so many runs take so long each.
func (f *speedFixture) runs(n int, took time.Duration) {
	for range n {
		f.heartbeat(7)
		f.index++
		f.order(7, ref(f.index, 1))
		f.table.StartAnswered(f.now, f.take().Starts[0], runtable.StartAccepted)
		f.passHolding(took)
		f.heartbeat(7)
		f.end(ref(f.index, 1))
	}
}

func (f *speedFixture) end(r wire.RunRef) {
	f.number++
	f.hold(nil, runtable.ListedEnd{Number: f.number, Ref: r, Valid: true, How: wire.EndDone})
	for _, n := range f.take().Notes {
		if n.What == runtable.SpeedKnown || n.What == runtable.SpeedChanged {
			f.notes = append(f.notes, n)
		}
	}
}

var _ = Describe("the usual speed of a backend server", func() {
	It("is told once it is known, and is not the speed of a sickness", func() {
		f := newSpeedFixture()
		f.runs(15, 160*time.Millisecond)
		Expect(f.said().TimeFactor).To(BeZero())
		f.runs(1, 160*time.Millisecond)
		Expect(f.said()).To(SatisfyAll(HaveField("TimeFactor", BeEquivalentTo(160)), HaveField("Slowness", BeEquivalentTo(100))))
		f.runs(14, 640*time.Millisecond)
		Expect(f.said()).To(SatisfyAll(HaveField("TimeFactor", BeNumerically("~", 160, 30)), HaveField("Slowness", BeNumerically(">", 220))))
		f.runs(30, 160*time.Millisecond)
		Expect(f.said()).To(SatisfyAll(HaveField("TimeFactor", BeNumerically("~", 160, 16)), HaveField("Slowness", BeNumerically("~", 100, 15))))
	})

	It("is in the log when it is first known and when it has changed, every ten seconds at most", func() {
		f := newSpeedFixture()
		f.runs(400, 100*time.Millisecond)
		Expect(f.notes).To(Equal([]runtable.Note{{What: runtable.SpeedKnown, Factor: 100}}))
		began := f.now
		f.runs(300, 400*time.Millisecond)
		Expect(f.notes[1]).To(Equal(runtable.Note{What: runtable.SpeedChanged, Factor: 400, FactorBefore: 100}))
		f.runs(300, 100*time.Millisecond)
		Expect(len(f.notes)).To(BeNumerically("<=", 2+int(f.now.Sub(began)/(10*time.Second))))
		Expect(f.notes[len(f.notes)-1].Factor).To(BeEquivalentTo(100))
	})

	DescribeTable("is not known of a new life", func(next runtable.Identity) {
		f := newSpeedFixture()
		f.runs(40, 160*time.Millisecond)
		f.table.Identify(f.now, next)
		Expect(f.said()).To(SatisfyAll(HaveField("TimeFactor", BeZero()), HaveField("Slowness", BeEquivalentTo(100))))
		f.hold(nil)
		f.hold(nil)
		f.number = 0
		f.runs(16, 60*time.Millisecond)
		Expect(f.said().TimeFactor).To(BeEquivalentTo(60), "another kind of machine")
	},
		Entry("of another ID", func() runtable.Identity { id := identity; id.Instance = "i-2"; return id }()),
		Entry("that returns under its ID", func() runtable.Identity { id := identity; id.Born = 2000; return id }()),
	)

	It("is not learned from runs that an earlier process here had started", func() {
		f := newSpeedFixture()
		f.table = runtable.New(f.cfg.Core("dc"), f.now)
		f.table.Identify(f.now, identity)
		f.hold(nil)
		var adopted []runtable.ListedRun
		for i := range uint32(30) {
			adopted = append(adopted, runtable.ListedRun{Ref: ref(i, 1)})
		}
		f.hold(adopted)
		f.table.OwnerUp(f.now, owner, member)
		f.heartbeat(7)
		f.pass(time.Millisecond)
		for _, a := range adopted {
			f.table.SetNeeds(f.now, owner, &wire.RunNeeds{Runs: []wire.RunNeed{{Ref: a.Ref}}})
			f.end(a.Ref)
		}
		Expect(f.said()).To(SatisfyAll(HaveField("TimeFactor", BeZero()), HaveField("Slowness", BeEquivalentTo(100))))
		f.index = 100
		f.runs(16, 160*time.Millisecond)
		Expect(f.said().TimeFactor).To(BeEquivalentTo(160))
	})
})
