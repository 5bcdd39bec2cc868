package clock_test

import (
	"errors"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lichenfall/lichenfall/lib/clock"
)

func TestClock(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "clock")
}

// box simulates the clocks of a box.
type box struct {
	monotonic, wall, suspended time.Duration
	missed                     time.Duration // part of suspended that the next results leave out
	calls                      int
	err                        error
}

func (b *box) Read() (monotonic, wall time.Duration) { return b.monotonic, b.wall }

func (b *box) Suspended() (time.Duration, error) {
	b.calls++
	return b.suspended - b.missed, b.err
}

func (b *box) pass(d time.Duration) {
	b.monotonic += d
	b.wall += d
}

func (b *box) suspend(d time.Duration) {
	b.wall += d
	b.suspended += d
}

var _ = Describe("a clock", func() {
	origin := time.Unix(1000, 0)
	begin := func() (*box, *clock.Clock) {
		b := &box{monotonic: time.Hour, wall: 300 * time.Hour, suspended: time.Minute}
		c, err := clock.New(origin, b)
		Expect(err).NotTo(HaveOccurred())
		return b, c
	}

	It("counts elapsed time, without suspensions before its creation", func() {
		b, c := begin()
		Expect(c.Now()).To(Equal(origin))
		b.pass(time.Second)
		Expect(c.Now()).To(Equal(origin.Add(time.Second)))
		Expect(c.Suspended()).To(BeZero())
	})

	It("includes the time of a suspension from the first reading after it", func() {
		b, c := begin()
		b.pass(time.Second)
		b.suspend(5 * time.Second)
		Expect(c.Now()).To(Equal(origin.Add(6 * time.Second)))
		Expect(c.Suspended()).To(Equal(5 * time.Second))
		b.suspend(2 * time.Second)
		Expect(c.Now()).To(Equal(origin.Add(8 * time.Second)))
	})

	It("ignores steps of the wall clock", func() {
		b, c := begin()
		b.wall += time.Hour
		Expect(c.Now()).To(Equal(origin))
		b.wall -= 2 * time.Hour
		b.pass(time.Second)
		Expect(c.Now()).To(Equal(origin.Add(time.Second)))
	})

	It("detects a suspension that a step of the wall clock has hidden at the next check", func() {
		b, c := begin()
		b.suspend(3 * time.Second)
		b.wall -= 3 * time.Second
		Expect(c.Now()).To(Equal(origin))
		b.pass(250 * time.Millisecond)
		Expect(c.Now()).To(Equal(origin.Add(3250 * time.Millisecond)))
	})

	It("does not go back if a source returns less than before, or fails", func() {
		b, c := begin()
		b.suspend(time.Second)
		c.Now()
		b.missed = 10 * time.Millisecond
		b.pass(time.Second)
		Expect(c.Now()).To(Equal(origin.Add(2 * time.Second)))
		b.err = errors.New("none")
		b.pass(time.Second)
		Expect(c.Now()).To(Equal(origin.Add(3 * time.Second)))
	})

	It("reads the time of suspensions at intervals only", func() {
		b, c := begin()
		calls := b.calls
		for range 1000 {
			b.pass(time.Millisecond)
			c.Now()
		}
		Expect(b.calls - calls).To(Equal(4))
	})

	It("is not created if the time of suspensions cannot be read", func() {
		_, err := clock.New(origin, &box{err: errors.New("none")})
		Expect(err).To(HaveOccurred())
	})

	It("advances with the clocks of the operating system", func() {
		c, err := clock.System()
		Expect(err).NotTo(HaveOccurred())
		before := c.Now()
		time.Sleep(time.Millisecond)
		Expect(c.Now()).To(BeTemporally(">", before))
	})
})

func BenchmarkNow(b *testing.B) {
	c, err := clock.System()
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		c.Now()
	}
}

func BenchmarkNowOfPackageTime(b *testing.B) {
	for b.Loop() {
		_ = time.Now()
	}
}
