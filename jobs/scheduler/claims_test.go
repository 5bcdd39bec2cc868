package scheduler_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lichenfall/lichenfall/jobs/scheduler"
	"github.com/lichenfall/lichenfall/lib/failure"
)

// These specs guard against a task that is ordered before it is known whether another coordinator runs
// its job.
var _ = Describe("an unclaimed job", func() {
	var f *fixture
	BeforeEach(func() {
		f = newFixture()
		f.worker("w")
	})

	It("is ordered once it is claimed", func() {
		f.core.SubmitUnclaimed(f.now, 1, bestEffort(2), 0)
		Expect(f.core.Unclaimed(id)).To(BeTrue())
		f.pass(20 * time.Millisecond)
		Expect(f.orders(f.core.Take(f.now))).To(BeEmpty())
		f.core.Claimed(f.now, id)
		Expect(f.core.Unclaimed(id)).To(BeFalse())
		Expect(f.orders(f.core.Take(f.now))).To(HaveLen(2))
	})

	It("is withdrawn with the calls of all who wait, and without a reply", func() {
		f.core.SubmitUnclaimed(f.now, 1, bestEffort(2), 0)
		f.core.SubmitUnclaimed(f.now, 2, bestEffort(2), 0)
		Expect(f.core.WithdrawUnclaimed(f.now, id)).To(Equal([]scheduler.Call{1, 2}))
		Expect(f.core.HasBestEffort(id)).To(BeFalse())
		f.core.Claimed(f.now, id)
		e := f.core.Take(f.now)
		Expect(f.orders(e)).To(BeEmpty())
		Expect(e.Replies).To(BeEmpty())
	})

	It("takes its capacity into account for those that come after it", func() {
		f.core.SubmitUnclaimed(f.now, 1, bestEffort(4), 0)
		first := f.core.Take(f.now)
		Expect(first.Replies).To(BeEmpty())
		late := bestEffort(4)
		late.ID = "5c0e7a21d94b36f9"
		late.Queue.TargetMS = 1
		late.Queue.Stretch = 1.1
		f.core.SubmitUnclaimed(f.now, 2, late, 0)
		Expect(f.core.Take(f.now).Replies).To(ContainElement(HaveField("Failure", failure.Overloaded)))
	})

	It("ends when its caller leaves", func() {
		f.core.SubmitUnclaimed(f.now, 1, bestEffort(1), 0)
		f.core.Abandon(f.now, 1, id)
		Expect(f.core.Unclaimed(id)).To(BeFalse())
		Expect(f.core.HasBestEffort(id)).To(BeFalse())
	})
})
