package ownership_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lichenfall/lichenfall/jobs/ownership"
	"github.com/lichenfall/lichenfall/jobs/store"
)

func TestOwnership(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ownership")
}

var _ = Describe("a member's partitions", func() {
	const ttl = time.Second
	start := time.Unix(1000, 0)
	var table *ownership.Table

	BeforeEach(func() { table = ownership.New(ttl) })

	join := func(sent, now time.Duration, generation uint64, partitions ...uint32) ownership.Change {
		return table.Joined(start.Add(sent), start.Add(now), store.Assignment{Generation: generation, Partitions: partitions})
	}

	It("are acquired and released as the assignment changes", func() {
		c := join(0, 0, 3, 1, 2)
		Expect(c.Acquired).To(ConsistOf(ownership.Term{Partition: 1, Epoch: 3}, ownership.Term{Partition: 2, Epoch: 3}))
		c = join(200*time.Millisecond, 200*time.Millisecond, 4, 2, 5)
		Expect(c.Acquired).To(ConsistOf(ownership.Term{Partition: 5, Epoch: 4}))
		Expect(c.Released).To(ConsistOf(ownership.Term{Partition: 1, Epoch: 3}))
	})

	It("are leased from the time at which the join was sent, not from its answer", func() {
		join(0, 900*time.Millisecond, 1, 1)
		Expect(table.Valid(start.Add(999 * time.Millisecond))).To(BeTrue())
		Expect(table.Valid(start.Add(time.Second))).To(BeFalse())
	})

	It("are kept after the lease has expired if the generation is the same", func() {
		join(0, 0, 1, 1)
		c := join(5*time.Second, 5*time.Second, 1, 1)
		Expect(c.Acquired).To(BeEmpty())
		Expect(c.Released).To(BeEmpty())
	})

	It("are acquired again if the generation has changed since the lease expired", func() {
		join(0, 0, 1, 1)
		c := join(5*time.Second, 5*time.Second, 3, 1)
		Expect(c.Released).To(ConsistOf(ownership.Term{Partition: 1, Epoch: 1}))
		Expect(c.Acquired).To(ConsistOf(ownership.Term{Partition: 1, Epoch: 3}))
	})

	It("are acquired again after more than one change of the generation, since another member may have owned them in between", func() {
		join(0, 0, 1, 1, 2)
		c := join(100*time.Millisecond, 100*time.Millisecond, 2, 1)
		Expect(c.Released).To(ConsistOf(ownership.Term{Partition: 2, Epoch: 1}))
		c = join(200*time.Millisecond, 200*time.Millisecond, 4, 1)
		Expect(c.Released).To(ConsistOf(ownership.Term{Partition: 1, Epoch: 1}))
		Expect(c.Acquired).To(ConsistOf(ownership.Term{Partition: 1, Epoch: 4}))
	})

	It("are acquired again after another owner was seen, under a higher epoch only", func() {
		join(0, 0, 1, 1)
		table.Lost(ownership.Term{Partition: 1, Epoch: 1})
		c := join(50*time.Millisecond, 50*time.Millisecond, 1, 1)
		Expect(c.Acquired).To(BeEmpty())
		c = join(100*time.Millisecond, 100*time.Millisecond, 2, 1)
		Expect(c.Acquired).To(ConsistOf(ownership.Term{Partition: 1, Epoch: 2}))
	})

	It("are kept when an earlier term of theirs is lost", func() {
		join(0, 0, 1, 1)
		join(100*time.Millisecond, 100*time.Millisecond, 3, 1)
		table.Lost(ownership.Term{Partition: 1, Epoch: 1})
		c := join(200*time.Millisecond, 200*time.Millisecond, 3, 1)
		Expect(c.Acquired).To(BeEmpty())
		Expect(c.Released).To(BeEmpty())
	})

	It("are not changed by the late answer to an earlier join", func() {
		join(0, 0, 5, 1)
		c := join(100*time.Millisecond, 100*time.Millisecond, 4, 2)
		Expect(c.Late).To(BeTrue())
		Expect(c.Acquired).To(BeEmpty())
		Expect(c.Released).To(BeEmpty())
		Expect(table.Generation()).To(Equal(uint64(5)))
	})
})
