package runtable_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lichenfall/lichenfall/jobs/runtable"
	"github.com/lichenfall/lichenfall/wire"
)

// A coordinator that gives up a best-effort job while its connection is lost cannot send a stop,
// and does not query the run later. Its heartbeats on the next connection would keep the run
// alive until its end, so a query stops the runs that it does not name.
var _ = Describe("a query about best-effort runs", func() {
	It("stops the runs that it does not name", func() {
		f := newFixture().ready()
		wanted, given := ref(0, wire.BestEffortRun+1), ref(1, wire.BestEffortRun+1)
		f.order(7, wanted, given)
		for _, c := range f.take().Starts {
			f.table.StartAnswered(f.now, c, runtable.StartAccepted)
		}
		f.table.OwnerDown(f.now, owner)
		f.table.OwnerUp(f.now, "conn-2", member)
		f.table.QueryRuns(f.now, "conn-2", &wire.RunsQuery{Runs: []wire.RunRef{wanted}})
		Expect(f.take().Stops).To(ConsistOf(HaveField("Ref", given)))
	})

	It("stops all best-effort runs if it names none", func() {
		f := newFixture().ready()
		f.order(7, ref(0, wire.BestEffortRun+1), ref(1, 3))
		for _, c := range f.take().Starts {
			f.table.StartAnswered(f.now, c, runtable.StartAccepted)
		}
		f.table.OwnerDown(f.now, owner)
		f.table.OwnerUp(f.now, "conn-2", member)
		f.table.QueryRuns(f.now, "conn-2", &wire.RunsQuery{})
		Expect(f.take().Stops).To(ConsistOf(HaveField("Ref", ref(0, wire.BestEffortRun+1))), "the other run is of a durable job")
	})
})
