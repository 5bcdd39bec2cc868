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

// box is a box with the clocks of Linux.
type box struct {
	steady, timeOfDay, suspended time.Duration
	unseen                       time.Duration // of suspended, which the next answers leave out
	asked                        int
	err                          error
}

func (b *box) Read() (steady, timeOfDay time.Duration) { return b.steady, b.timeOfDay }

func (b *box) Suspended() (time.Duration, error) {
	b.asked++
	return b.suspended - b.unseen, b.err
}

func (b *box) pass(d time.Duration) {
	b.steady += d
	b.timeOfDay += d
}

func (b *box) suspend(d time.Duration) {
	b.timeOfDay += d
	b.suspended += d
}

var _ = Describe("a clock", func() {
	origin := time.Unix(1000, 0)
	begin := func() (*box, *clock.Clock) {
		b := &box{steady: time.Hour, timeOfDay: 300 * time.Hour, suspended: time.Minute}
		c, err := clock.New(origin, b)
		Expect(err).NotTo(HaveOccurred())
		return b, c
	}

	It("counts what passes, and none of what the box was suspended for before", func() {
		b, c := begin()
		Expect(c.Now()).To(Equal(origin))
		b.pass(time.Second)
		Expect(c.Now()).To(Equal(origin.Add(time.Second)))
		Expect(c.Suspended()).To(BeZero())
	})

	It("counts the time of a suspension, with the first look after it", func() {
		b, c := begin()
		b.pass(time.Second)
		b.suspend(5 * time.Second)
		Expect(c.Now()).To(Equal(origin.Add(6 * time.Second)))
		Expect(c.Suspended()).To(Equal(5 * time.Second))
		b.suspend(2 * time.Second)
		Expect(c.Now()).To(Equal(origin.Add(8 * time.Second)))
	})

	It("counts no step of the time of day", func() {
		b, c := begin()
		b.timeOfDay += time.Hour
		Expect(c.Now()).To(Equal(origin))
		b.timeOfDay -= 2 * time.Hour
		b.pass(time.Second)
		Expect(c.Now()).To(Equal(origin.Add(time.Second)))
	})

	It("finds soon a suspension that a step of the time of day has hidden", func() {
		b, c := begin()
		b.suspend(3 * time.Second)
		b.timeOfDay -= 3 * time.Second
		Expect(c.Now()).To(Equal(origin))
		b.pass(250 * time.Millisecond)
		Expect(c.Now()).To(Equal(origin.Add(3250 * time.Millisecond)))
	})

	It("does not go back where an answer tells less than one before, or none comes", func() {
		b, c := begin()
		b.suspend(time.Second)
		c.Now()
		b.unseen = 10 * time.Millisecond
		b.pass(time.Second)
		Expect(c.Now()).To(Equal(origin.Add(2 * time.Second)))
		b.err = errors.New("none")
		b.pass(time.Second)
		Expect(c.Now()).To(Equal(origin.Add(3 * time.Second)))
	})

	It("asks for suspensions now and then only", func() {
		b, c := begin()
		asked := b.asked
		for range 1000 {
			b.pass(time.Millisecond)
			c.Now()
		}
		Expect(b.asked - asked).To(Equal(4))
	})

	It("cannot be made where suspensions cannot be told", func() {
		_, err := clock.New(origin, &box{err: errors.New("none")})
		Expect(err).To(HaveOccurred())
	})

	It("goes on by the clocks of the operating system", func() {
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
