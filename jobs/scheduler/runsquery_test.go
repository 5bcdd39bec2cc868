package scheduler_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lichenfall/lichenfall/wire"
)

// querying returns a core that has ordered a best-effort run, has lost the connection to its
// worker, and queries the run over the next one.
func querying() (f *fixture, queried sent) {
	f = newFixture()
	f.worker("w1")
	f.core.Submit(f.now, 1, bestEffort(1), 0)
	queried = f.next("w1")
	f.core.WorkerDown(f.now, "w1")
	f.core.WorkerUp(f.now, "w1", "nadi")
	f.starts["w1"] = 0
	f.status("w1", 4000)
	return f, queried
}

// Guards against a task that ran twice at the same time on one worker, seen with suspended boxes
// and other faults: over a new connection the coordinator queried a run; the worker first reported
// the end of that run, the task was ordered there again, and then the reply to the query arrived,
// which could not list the new run. The reply was compared with the task's current run instead of
// the run that had been queried.
var _ = Describe("the reply to a query for runs", func() {
	It("does not cover a run that was ordered after the query", func() {
		f, queried := querying()
		Expect(f.core.Take(f.now).Sends).To(ContainElement(HaveField("Message", &wire.RunsQuery{Runs: []wire.RunRef{queried.order.Ref}})))
		f.end(queried, wire.EndNotRun)
		again := f.next("w1")
		Expect(again.order.Ref.Run).To(BeNumerically(">", queried.order.Ref.Run))
		f.core.Runs(f.now, "w1", &wire.PartitionRuns{Partition: wire.BestEffortRuns})
		f.status("w1", 4000)
		Expect(f.orders(f.core.Take(f.now))).To(BeEmpty(), "the second run goes on")
	})

	It("has a run stopped whose job was given up after the query", func() {
		f, queried := querying()
		f.core.Abandon(f.now, 1, id)
		f.core.Take(f.now)
		f.core.Runs(f.now, "w1", &wire.PartitionRuns{Partition: wire.BestEffortRuns, Running: []wire.RunRef{queried.order.Ref}})
		Expect(f.core.Take(f.now).Sends).To(ContainElement(HaveField("Message", &wire.StopRuns{Runs: []wire.RunRef{queried.order.Ref}})))
	})

	It("frees the task of a run that was queried and is not listed", func() {
		f, _ := querying()
		f.core.Take(f.now)
		f.core.Runs(f.now, "w1", &wire.PartitionRuns{Partition: wire.BestEffortRuns})
		f.next("w1")
	})
})
