package scheduler_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lichenfall/lichenfall/jobs/scheduler"
	"github.com/lichenfall/lichenfall/wire"
)

var _ = Describe("the number of workers wanted", func() {
	wanted := func(f *fixture) int {
		n, all := f.core.WorkersWanted(f.now, "s")
		Expect(all).To(BeFalse())
		return n
	}
	// busy returns a core with four workers, on which one job of three tasks runs.
	busy := func() (*fixture, []sent) {
		f := newFixture()
		for _, name := range []string{"w1", "w2", "w3", "w4"} {
			f.worker(name)
		}
		f.core.Take(f.now)
		f.core.Submit(f.now, 1, bestEffort(3), 0)
		return f, f.orders(f.core.Take(f.now))
	}

	It("is as many as possible while no capacity is known", func() {
		_, all := newFixture().core.WorkersWanted(time.Unix(1000, 0), "s")
		Expect(all).To(BeTrue())
	})

	It("is four times the workers that recent tasks filled, and drops when they have ended", func() {
		f, runs := busy()
		Expect(wanted(f)).To(Equal(3), "4 x 3,000 of 4,000 each")
		for _, r := range runs {
			f.core.Ends(f.now, r.worker, &wire.RunEnds{Ends: []wire.RunEnd{{Ref: r.order.Ref, How: uint8(wire.EndDone)}}})
		}
		Expect(wanted(f)).To(Equal(3))
		f.now = f.now.Add(11 * time.Second)
		Expect(wanted(f)).To(Equal(3), "by the peak of the span before")
		f.now = f.now.Add(11 * time.Second)
		Expect(wanted(f)).To(BeZero())
	})

	It("is as many as possible once a task fits at no worker, until all have fitted for a while", func() {
		f, _ := busy()
		before := f.now
		Expect(f.core.ShortageSince(before)).To(BeFalse())
		f.now = f.now.Add(time.Millisecond)
		big := bestEffort(1)
		big.ID = "00000000000000aa"
		big.Steps[0].Need.CPU = 5000
		f.core.SetPreference("w1", scheduler.Preferred)
		f.core.Submit(f.now, 2, big, 0)
		f.core.Take(f.now)
		Expect(f.core.ShortageSince(before)).To(BeTrue())
		_, all := f.core.WorkersWanted(f.now, "s")
		Expect(all).To(BeTrue())
		began := f.now
		f.now = f.now.Add(time.Millisecond)
		f.core.Take(f.now)
		Expect(f.core.ShortageSince(began)).To(BeFalse(), "the same shortage goes on")
		f.now = f.now.Add(11 * time.Second)
		Expect(wanted(f)).To(Equal(3))
	})
})
