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
	settings = dedup.Settings{ResendAfter: 1300 * time.Millisecond, RunsEnd: 2120 * time.Millisecond, Greeting: 400 * time.Millisecond}
	start    = time.Unix(1000, 0)
	first    = dedup.Peer{Address: "10.0.0.1:7720", Process: "a"}
	again    = dedup.Peer{Address: "10.0.0.1:7720", Process: "b"}
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
		t.Heard(start, first, []durable.JobID{job})
		address, held := t.Holder(start, job)
		Expect(address).To(Equal(first.Address))
		Expect(held).To(BeTrue())
		Expect(t.HeldBy(first.Address, job)).To(BeTrue())
		t.Heard(after(100), first, nil)
		Expect(holds(t, 100)).To(BeFalse())
	})

	It("is nobody's to run when its coordinator is lost, until its runs are over", func() {
		t.Heard(start, first, []durable.JobID{job})
		t.Lost(after(100), first.Address)
		address, held := t.Holder(after(1300), job)
		Expect(address).To(BeEmpty())
		Expect(held).To(BeTrue(), "a copy comes while its runs may still be at work")
		Expect(holds(t, 2219)).To(BeTrue())
		Expect(holds(t, 2221)).To(BeFalse())
		t.Forget(after(2221))
		Expect(t.HeldBy(first.Address, job)).To(BeFalse())
	})

	It("counts from when its coordinator last spoke where its loss was noticed late", func() {
		t.Heard(start, first, []durable.JobID{job})
		t.Lost(after(2500), first.Address)
		Expect(holds(t, 3119)).To(BeTrue())
		Expect(holds(t, 3121)).To(BeFalse())
	})

	It("is not forgotten for the word of the next process at the address", func() {
		t.Heard(start, first, []durable.JobID{job})
		t.Heard(after(300), again, nil)
		Expect(holds(t, 1300)).To(BeTrue())
		Expect(holds(t, 2421)).To(BeFalse())
	})

	It("is not held for ever by a word that is read after the loss", func() {
		t.Lost(start, first.Address)
		t.Heard(after(1), first, []durable.JobID{job})
		for ms := 0; ms < 3000; ms += 100 {
			t.Forget(after(ms))
			Expect(holds(t, ms+1)).To(BeTrue())
		}
		t.Forget(after(3001))
		t.Forget(after(3122))
		Expect(holds(t, 3122)).To(BeFalse())
	})

	It("is there again when its coordinator is", func() {
		t.Heard(start, first, []durable.JobID{job})
		t.Lost(after(100), first.Address)
		t.Heard(after(300), first, []durable.JobID{job})
		address, _ := t.Holder(after(5000), job)
		Expect(address).To(Equal(first.Address))
	})
})

var _ = Describe("a coordinator that has just begun", func() {
	It("waits for the words of those that were there before, for a while", func() {
		t := dedup.New(settings)
		Expect(t.Greeted(after(5000))).To(BeFalse(), "nobody has been read of")
		t.Known(start, []string{first.Address, "10.0.0.2:7720"})
		t.Heard(after(100), first, nil)
		Expect(t.Greeted(after(100))).To(BeFalse())
		Expect(t.Greeted(after(400))).To(BeTrue())
		t.Heard(after(200), dedup.Peer{Address: "10.0.0.2:7720"}, nil)
		Expect(t.Greeted(after(200))).To(BeTrue())
	})

	It("waits for nobody where it is alone, or who has spoken already", func() {
		t := dedup.New(settings)
		t.Heard(start, first, nil)
		t.Known(start, []string{first.Address})
		Expect(t.Greeted(start)).To(BeTrue())
		t.Known(start, []string{"10.0.0.2:7720"})
		Expect(t.Greeted(start)).To(BeTrue(), "one that came later has nothing of before")
	})
})

var _ = Describe("a job of ours", func() {
	It("is given up when others were not told of it in time", func() {
		Expect(settings.TellAfter()).To(BeNumerically("<", settings.TooLate()))
		Expect(settings.TooLate()).To(BeNumerically("<", settings.ResendAfter))
		old := []durable.JobID{"1", "2", "3"}
		Expect(dedup.Late(old, []durable.JobID{"1", "3", "4"})).To(Equal([]durable.JobID{"2"}))
		Expect(dedup.Late(nil, old)).To(BeEmpty())
	})
})
