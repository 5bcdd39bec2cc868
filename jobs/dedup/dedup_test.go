package dedup_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lichenfall/lichenfall/jobs/dedup"
	"github.com/lichenfall/lichenfall/jobs/durable"
)

func TestDedup(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "dedup")
}

const job durable.JobID = "00000000000000aa"

var (
	settings = dedup.Settings{ResendAfter: 1300 * time.Millisecond, RunsEndWithin: 2120 * time.Millisecond, StartupWait: 400 * time.Millisecond}
	start    = time.Unix(1000, 0)
	first    = dedup.Peer{Address: "10.0.0.1:7720", Incarnation: "a"}
	next     = dedup.Peer{Address: "10.0.0.1:7720", Incarnation: "b"}
)

// after returns the time ms milliseconds after start.
func after(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func isHeld(t *dedup.Table, ms int) bool {
	_, held := t.Holder(after(ms), job)
	return held
}

var _ = Describe("a job of another coordinator", func() {
	var t *dedup.Table
	BeforeEach(func() { t = dedup.New(settings) })

	It("is held by the coordinator whose last announcement lists it", func() {
		Expect(isHeld(t, 0)).To(BeFalse())
		t.Update(start, first, []durable.JobID{job})
		address, held := t.Holder(start, job)
		Expect(address).To(Equal(first.Address))
		Expect(held).To(BeTrue())
		Expect(t.HeldBy(first.Address, job)).To(BeTrue())
		t.Update(after(100), first, nil)
		Expect(isHeld(t, 100)).To(BeFalse())
	})

	It("is held without an address after its coordinator is lost, until its runs must have ended", func() {
		t.Update(start, first, []durable.JobID{job})
		t.LinkLost(after(100), first.Address)
		address, held := t.Holder(after(1300), job)
		Expect(address).To(BeEmpty())
		Expect(held).To(BeTrue(), "a resent call arrives while runs of the job may still last")
		Expect(isHeld(t, 2219)).To(BeTrue())
		Expect(isHeld(t, 2221)).To(BeFalse())
		t.Expire(after(2221))
		Expect(t.HeldBy(first.Address, job)).To(BeFalse())
	})

	It("is held for a time that counts from the last announcement where the loss is noticed late", func() {
		t.Update(start, first, []durable.JobID{job})
		t.LinkLost(after(2500), first.Address)
		Expect(isHeld(t, 3119)).To(BeTrue())
		Expect(isHeld(t, 3121)).To(BeFalse())
	})

	It("is still held when the next process at the address announces its jobs", func() {
		t.Update(start, first, []durable.JobID{job})
		t.Update(after(300), next, nil)
		Expect(isHeld(t, 1300)).To(BeTrue())
		Expect(isHeld(t, 2421)).To(BeFalse())
	})

	It("is not held for ever by an announcement that is read after the loss", func() {
		t.LinkLost(start, first.Address)
		t.Update(after(1), first, []durable.JobID{job})
		for ms := 0; ms < 3000; ms += 100 {
			t.Expire(after(ms))
			Expect(isHeld(t, ms+1)).To(BeTrue())
		}
		t.Expire(after(3001))
		t.Expire(after(3122))
		Expect(isHeld(t, 3122)).To(BeFalse())
	})

	It("is held with an address again when its coordinator announces it again", func() {
		t.Update(start, first, []durable.JobID{job})
		t.LinkLost(after(100), first.Address)
		t.Update(after(300), first, []durable.JobID{job})
		address, _ := t.Holder(after(5000), job)
		Expect(address).To(Equal(first.Address))
	})
})

var _ = Describe("a coordinator that has just started", func() {
	It("waits a limited time for the announcements of coordinators that were registered before it", func() {
		t := dedup.New(settings)
		Expect(t.Ready(after(5000))).To(BeFalse(), "the initial peers are not known yet")
		t.SetInitialPeers(start, []string{first.Address, "10.0.0.2:7720"})
		t.Update(after(100), first, nil)
		Expect(t.Ready(after(100))).To(BeFalse())
		Expect(t.Ready(after(400))).To(BeTrue())
		t.Update(after(200), dedup.Peer{Address: "10.0.0.2:7720"}, nil)
		Expect(t.Ready(after(200))).To(BeTrue())
	})

	It("waits for no coordinator if there is none, or all have announced already", func() {
		t := dedup.New(settings)
		t.Update(start, first, nil)
		t.SetInitialPeers(start, []string{first.Address})
		Expect(t.Ready(start)).To(BeTrue())
		t.SetInitialPeers(start, []string{"10.0.0.2:7720"})
		Expect(t.Ready(start)).To(BeTrue(), "a coordinator that registered later holds no earlier job")
	})
})

var _ = Describe("a job of this coordinator", func() {
	It("is given up when it was not announced in time", func() {
		Expect(settings.AnnounceAfter()).To(BeNumerically("<", settings.AnnounceDeadline()))
		Expect(settings.AnnounceDeadline()).To(BeNumerically("<", settings.ResendAfter))
		old := []durable.JobID{"1", "2", "3"}
		Expect(dedup.Unannounced(old, []durable.JobID{"1", "3", "4"})).To(Equal([]durable.JobID{"2"}))
		Expect(dedup.Unannounced(nil, old)).To(BeEmpty())
	})
})
