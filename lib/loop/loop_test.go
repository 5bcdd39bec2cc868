package loop_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lichenfall/lichenfall/lib/loop"
)

func TestLoop(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "loop")
}

type event struct {
	n      int
	answer chan<- int
}

// resumedClock is the clock of a box that was suspended for a second.
type resumedClock struct{}

func (resumedClock) Now() time.Time           { return time.Unix(1000, 0) }
func (resumedClock) Suspended() time.Duration { return time.Second }

var _ = Describe("a control loop", func() {
	It("reports a suspension once, before the next event", func() {
		l := loop.New[event](10)
		stop := make(chan struct{})
		var seen []string
		go l.Run(stop, time.Hour, loop.Steps[event]{
			Clock:   resumedClock{},
			Resumed: func(_ time.Time, suspended time.Duration) { seen = append(seen, suspended.String()) },
			Handle: func(now time.Time, e event) {
				Expect(now).To(Equal(time.Unix(1000, 0)))
				seen = append(seen, "event")
				e.answer <- 0
			},
			Tick:    func(time.Time) {},
			Perform: func(time.Time) {},
		})
		for range 2 {
			loop.Call(l, func(answer chan<- int) event { return event{answer: answer} })
		}
		close(stop)
		<-l.Done()
		Expect(seen).To(Equal([]string{"1s", "event", "event"}))
	})

	It("reports a stall before the next event", func() {
		l := loop.New[event](10)
		stop := make(chan struct{})
		var seen []string
		go l.Run(stop, time.Millisecond, loop.Steps[event]{
			Stalled: func(_ time.Time, by time.Duration) {
				Expect(by).To(BeNumerically(">=", loop.MinStall))
				seen = append(seen, "late")
			},
			Handle: func(_ time.Time, e event) {
				seen = append(seen, "event")
				time.Sleep(time.Duration(e.n) * time.Millisecond)
				e.answer <- 0
			},
			Tick:    func(time.Time) {},
			Perform: func(time.Time) {},
		})
		hold := 2 * int(loop.MinStall.Milliseconds())
		for _, ms := range []int{hold, 0} {
			loop.Call(l, func(answer chan<- int) event { return event{n: ms, answer: answer} })
		}
		close(stop)
		<-l.Done()
		Expect(seen[:3]).To(Equal([]string{"event", "late", "event"}))
	})

	It("handles all events in order, ticks, answers calls, and ends", func() {
		l := loop.New[event](10)
		stop := make(chan struct{})
		var seen []int
		ticks, performed := 0, 0
		go l.Run(stop, time.Millisecond, loop.Steps[event]{
			Handle: func(_ time.Time, e event) {
				if e.answer != nil {
					e.answer <- len(seen)
					return
				}
				seen = append(seen, e.n)
			},
			Tick:    func(time.Time) { ticks++ },
			Perform: func(time.Time) { performed++ },
		})
		for i := range 100 {
			l.Post(event{n: i})
		}
		request := func(answer chan<- int) event { return event{answer: answer} }
		n, ok := loop.Call(l, request)
		Expect(ok).To(BeTrue())
		Expect(n).To(Equal(100))
		close(stop)
		<-l.Done()
		Expect(seen).To(HaveLen(100))
		Expect(seen[99]).To(Equal(99))
		Expect(performed).To(BeNumerically(">=", max(1, ticks)))
		_, ok = loop.Call(l, request)
		Expect(ok).To(BeFalse())
		for range 100 {
			l.Post(event{}) // does not block
		}
	})
})
