package scheduler_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/wire"
)

var _ = Describe("a best-effort job that is over", func() {
	It("is reported to other coordinators until its runs have ended or been written off", func() {
		for _, reported := range []bool{true, false} {
			f := newFixture()
			f.worker("w1")
			s := bestEffort(1)
			f.core.Submit(f.now, 1, s, 0)
			ordered := f.orders(f.core.Take(f.now))
			Expect(ordered).To(HaveLen(1))
			f.core.Abandon(f.now, 1, s.ID)
			Expect(f.core.HasBestEffort(s.ID)).To(BeFalse())
			Expect(f.core.HasOutstandingRuns(s.ID)).To(BeTrue())
			Expect(f.core.BestEffortOlderThan(f.now, 0)).To(Equal([]durable.JobID{s.ID}))
			if reported {
				f.end(ordered[0], wire.EndStopped)
			} else {
				f.pass(f.cfg.Core("dc").BestEffortWriteOff)
			}
			Expect(f.core.HasOutstandingRuns(s.ID)).To(BeFalse())
			Expect(f.core.BestEffortOlderThan(f.now, 0)).To(BeEmpty())
		}
	})
})
