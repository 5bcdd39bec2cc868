package runtable_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lichenfall/lichenfall/jobs/runtable"
	"github.com/lichenfall/lichenfall/wire"
)

var _ = Describe("a message on a connection that its coordinator has replaced", func() {
	const newer = "conn-2"
	stamp := func(f *fixture, to string) int64 {
		for _, s := range f.take().Sends {
			if m, ok := s.Message.(*wire.WorkerStatus); ok && s.Owner == to {
				return m.Stamp
			}
		}
		return 0
	}
	// replaced returns a table whose owner has opened a new connection while the earlier one is
	// still open here.
	replaced := func() *fixture {
		f := newFixture().ready()
		f.table.OwnerUp(f.now, newer, member)
		m := &wire.OwnerHeartbeat{Seq: 1, Echo: stamp(f, newer), Confirmed: true}
		m.Partitions = []wire.PartitionEpoch{{Partition: job.Partition(f.cfg.Partitions), Epoch: 7}}
		f.table.Heartbeat(f.now, newer, m)
		f.table.QueryRuns(f.now, newer, &wire.RunsQuery{})
		f.take()
		return f
	}

	DescribeTable("starts nothing, before or after a delayed heartbeat",
		func(ref wire.RunRef, heartbeat bool) {
			f := replaced()
			if heartbeat {
				f.heartbeatEchoing(7, 1)
			}
			f.order(7, ref)
			Expect(f.take().Starts).To(BeEmpty())
		},
		Entry("kept", ref(0, 1), false),
		Entry("kept, after a heartbeat", ref(0, 1), true),
		Entry("best-effort", ref(0, wire.BestEffortRun+1), false),
		Entry("best-effort, after a heartbeat", ref(0, wire.BestEffortRun+1), true),
	)

	It("does not prevent orders on the newer connection", func() {
		f := replaced()
		f.heartbeatEchoing(7, 1)
		f.start(newer, &wire.StartRuns{Seq: 1, Runs: []wire.RunOrder{{Ref: ref(0, wire.BestEffortRun+1), BestEffort: true}}})
		Expect(f.take().Starts).To(HaveLen(1))
	})

	It("neither queries nor stops runs", func() {
		f := replaced()
		f.start(newer, &wire.StartRuns{Seq: 1, Runs: []wire.RunOrder{{Ref: ref(0, wire.BestEffortRun+1), BestEffort: true}}})
		f.table.StartAnswered(f.now, f.take().Starts[0], runtable.StartAccepted)
		f.table.QueryRuns(f.now, owner, &wire.RunsQuery{})
		f.table.Stop(f.now, owner, &wire.StopRuns{Runs: []wire.RunRef{ref(0, wire.BestEffortRun+1)}})
		Expect(f.take().Stops).To(BeEmpty())
	})
})
