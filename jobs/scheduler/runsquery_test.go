package scheduler_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lichenfall/lichenfall/wire"
)

// asking is a core that has ordered a best-effort run, lost the worker's connection, and asks
// about the run over the next one.
func asking() (f *fixture, asked sent) {
	f = newFixture()
	f.worker("w1")
	f.core.Submit(f.now, 1, bestEffort(1), 0)
	asked = f.next("w1")
	f.core.WorkerDown(f.now, "w1")
	f.core.WorkerUp(f.now, "w1", "nadi")
	f.starts["w1"] = 0
	f.status("w1", 4000)
	return f, asked
}

// Seen: among suspended boxes and other faults a task ran twice at once on one worker. How:
// its worker was asked, over a new connection, what became of the run; it told the end of
// the run first, the task was ordered there anew, and then came the answer to the question,
// in which the new run could not be. Cause: the answer was held against the task's present
// run and not against the one that was asked about.
var _ = Describe("the answer to a question about runs", func() {
	It("says nothing of a run that was ordered after the question", func() {
		f, asked := asking()
		Expect(f.core.Take(f.now).Sends).To(ContainElement(HaveField("Message", &wire.RunsQuery{Runs: []wire.RunRef{asked.order.Ref}})))
		f.end(asked, wire.EndNotRun)
		again := f.next("w1")
		Expect(again.order.Ref.Run).To(BeNumerically(">", asked.order.Ref.Run))
		f.core.Runs(f.now, "w1", &wire.PartitionRuns{Partition: wire.BestEffortRuns})
		f.status("w1", 4000)
		Expect(f.orders(f.core.Take(f.now))).To(BeEmpty(), "the second run is at work")
	})

	It("has a run stopped whose job was given up after the question", func() {
		f, asked := asking()
		f.core.Abandon(f.now, 1, id)
		f.core.Take(f.now)
		f.core.Runs(f.now, "w1", &wire.PartitionRuns{Partition: wire.BestEffortRuns, Running: []wire.RunRef{asked.order.Ref}})
		Expect(f.core.Take(f.now).Sends).To(ContainElement(HaveField("Message", &wire.StopRuns{Runs: []wire.RunRef{asked.order.Ref}})))
	})

	It("ends a run that was asked about and is not in it", func() {
		f, _ := asking()
		f.core.Take(f.now)
		f.core.Runs(f.now, "w1", &wire.PartitionRuns{Partition: wire.BestEffortRuns})
		f.next("w1")
	})
})
