package runtable_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lichenfall/lichenfall/jobs/runtable"
)

// These specs model long-tailed run times, where some runs take up to seven times their
// estimate.
var _ = Describe("a run in the tail of the run times", func() {
	const estimate = 200 // ms; the limit of the run is 750
	started := func() *fixture {
		f := newFixture().ready()
		f.estimate, f.limit = estimate, 750
		f.order(7, ref(0, 1))
		f.table.StartAnswered(f.now, f.take().Starts[0], runtable.StartAccepted)
		return f
	}
	// stoppedAfter simulates a run whose progress after some milliseconds is percent. It returns
	// after how many milliseconds the run is stopped, or 0 if it ends.
	stoppedAfter := func(percent func(ms int) int) int {
		f := started()
		const list = 20 // interval between two lists of the backend server, ms
		for ms := list; ms < 10*estimate; ms += list {
			at := percent(ms)
			if at >= 100 {
				return 0
			}
			f.advance(list * time.Millisecond)
			f.renewLease([]runtable.ListedRun{{Ref: ref(0, 1), Percent: at}})
			f.heartbeat(7)
			f.advance(0)
			if len(f.out.Stops)+len(f.take().Stops) > 0 {
				return ms
			}
		}
		return 10 * estimate
	}
	steady := func(x float64) func(int) int {
		return func(ms int) int { return int(100 * float64(ms) / (x * estimate)) }
	}

	It("is stopped early, at seven times its estimate", func() {
		Expect(stoppedAfter(steady(7))).To(And(BeNumerically(">", 0), BeNumerically("<=", 160)))
	})

	It("may end if it takes no more than its limit", func() {
		Expect(stoppedAfter(steady(3.5))).To(BeZero())
	})

	It("may end if it exceeds its limit and is nearly done", func() {
		Expect(stoppedAfter(func(ms int) int {
			if ms <= 630 {
				return ms / 7
			}
			return 90 + (ms-630)/16 // 790 ms in all
		})).To(BeZero())
	})

	It("is stopped when it stalls, however far it has come", func() {
		Expect(stoppedAfter(func(ms int) int { return min(95, ms/7) })).To(And(BeNumerically(">", 665), BeNumerically("<=", 850)))
		Expect(stoppedAfter(func(ms int) int { return min(30, ms/5) })).To(And(BeNumerically(">", 150), BeNumerically("<=", 300)))
	})

	It("is stopped when it slows down with much work left", func() {
		Expect(stoppedAfter(func(ms int) int { return min(ms, 120)/4 + max(0, ms-120)/40 })).To(And(BeNumerically(">", 120), BeNumerically("<=", 300)))
	})

	It("is stopped at its limit if no progress is reported", func() {
		Expect(stoppedAfter(func(int) int { return 0 })).To(BeNumerically("~", 750, 30))
	})
})
