package dedup_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lichenfall/lichenfall/jobs/dedup"
	"github.com/lichenfall/lichenfall/jobs/durable"
)

func TestCopies(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "dedup")
}

const job durable.JobID = "00000000000000aa"

var (
	settings = dedup.Settings{ResendAfter: 1300 * time.Millisecond, RunsEndWithin: 2120 * time.Millisecond, StartupWait: 400 * time.Millisecond}
	start    = time.Unix(1000, 0)
	first    = dedup.Peer{Address: "10.0.0.1:7720", Incarnation: "a"}
	again    = dedup.Peer{Address: "10.0.0.1:7720", Incarnation: "b"}
)

// after returns the time so many milliseconds from the start.
func after(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func holds(t *dedup.Table, ms int) bool {
	_, held := t.Holder(after(ms), job)
	return held
}

var _ = Describe("a job of another coordinator", func() {
	var t *dedup.Table
	BeforeEach(func() { t = dedup.New(settings) })

	It("is with whoever has said last that it has it", func() {
		Expect(holds(t, 0)).To(BeFalse())
		t.Update(start, first, []durable.JobID{job})
		address, held := t.Holder(start, job)
		Expect(address).To(Equal(first.Address))
		Expect(held).To(BeTrue())
		Expect(t.HeldBy(first.Address, job)).To(BeTrue())
		t.Update(after(100), first, nil)
		Expect(holds(t, 100)).To(BeFalse())
	})

	It("is nobody's to run when its coordinator is lost, until its runs are over", func() {
		t.Update(start, first, []durable.JobID{job})
		t.LinkLost(after(100), first.Address)
		address, held := t.Holder(after(1300), job)
		Expect(address).To(BeEmpty())
		Expect(held).To(BeTrue(), "a copy comes while its runs may still be at work")
		Expect(holds(t, 2219)).To(BeTrue())
		Expect(holds(t, 2221)).To(BeFalse())
		t.Expire(after(2221))
		Expect(t.HeldBy(first.Address, job)).To(BeFalse())
	})

	It("counts from when its coordinator last spoke where its loss was noticed late", func() {
		t.Update(start, first, []durable.JobID{job})
		t.LinkLost(after(2500), first.Address)
		Expect(holds(t, 3119)).To(BeTrue())
		Expect(holds(t, 3121)).To(BeFalse())
	})

	It("is not forgotten for the word of the next process at the address", func() {
		t.Update(start, first, []durable.JobID{job})
		t.Update(after(300), again, nil)
		Expect(holds(t, 1300)).To(BeTrue())
		Expect(holds(t, 2421)).To(BeFalse())
	})

	It("is not held for ever by a word that is read after the loss", func() {
		t.LinkLost(start, first.Address)
		t.Update(after(1), first, []durable.JobID{job})
		for ms := 0; ms < 3000; ms += 100 {
			t.Expire(after(ms))
			Expect(holds(t, ms+1)).To(BeTrue())
		}
		t.Expire(after(3001))
		t.Expire(after(3122))
		Expect(holds(t, 3122)).To(BeFalse())
	})

	It("is there again when its coordinator is", func() {
		t.Update(start, first, []durable.JobID{job})
		t.LinkLost(after(100), first.Address)
		t.Update(after(300), first, []durable.JobID{job})
		address, _ := t.Holder(after(5000), job)
		Expect(address).To(Equal(first.Address))
	})
})

var _ = Describe("a coordinator that has just begun", func() {
	It("waits for the words of those that were there before, for a while", func() {
		t := dedup.New(settings)
		Expect(t.Ready(after(5000))).To(BeFalse(), "nobody has been read of")
		t.SetInitialPeers(start, []string{first.Address, "10.0.0.2:7720"})
		t.Update(after(100), first, nil)
		Expect(t.Ready(after(100))).To(BeFalse())
		Expect(t.Ready(after(400))).To(BeTrue())
		t.Update(after(200), dedup.Peer{Address: "10.0.0.2:7720"}, nil)
		Expect(t.Ready(after(200))).To(BeTrue())
	})

	It("waits for nobody where it is alone, or who has spoken already", func() {
		t := dedup.New(settings)
		t.Update(start, first, nil)
		t.SetInitialPeers(start, []string{first.Address})
		Expect(t.Ready(start)).To(BeTrue())
		t.SetInitialPeers(start, []string{"10.0.0.2:7720"})
		Expect(t.Ready(start)).To(BeTrue(), "one that came later has nothing of before")
	})
})

var _ = Describe("a job of ours", func() {
	It("is given up when others were not told of it in time", func() {
		Expect(settings.AnnounceAfter()).To(BeNumerically("<", settings.AnnounceDeadline()))
		Expect(settings.AnnounceDeadline()).To(BeNumerically("<", settings.ResendAfter))
		old := []durable.JobID{"1", "2", "3"}
		Expect(dedup.Unannounced(old, []durable.JobID{"1", "3", "4"})).To(Equal([]durable.JobID{"2"}))
		Expect(dedup.Unannounced(nil, old)).To(BeEmpty())
	})
})
