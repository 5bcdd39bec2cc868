package retry_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lichenfall/lichenfall/lib/retry"
)

func TestRetry(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "retry")
}

var _ = Describe("retries (hazard 17)", func() {
	It("are limited to a share of the work plus a burst", func() {
		b := retry.Budget{Ratio: 0.1, Burst: 5}
		spent := 0
		for range 1000 {
			b.Earn(1)
			for b.Spend() {
				spent++
			}
		}
		Expect(spent).To(BeNumerically("~", 1000*0.1+5, 1))
		Expect(b.Left()).To(BeNumerically("<", 1))
	})

	It("are not allowed without a budget", func() {
		var b retry.Budget
		b.Earn(100)
		Expect(b.Spend()).To(BeFalse())
	})

	It("have a delay that doubles up to a maximum, with jitter", func() {
		b := retry.Backoff{Base: 10 * time.Millisecond, Max: 50 * time.Millisecond}
		Expect(b.Delay(0, 0)).To(Equal(5 * time.Millisecond))
		Expect(b.Delay(0, 1)).To(Equal(10 * time.Millisecond))
		Expect(b.Delay(1, 1)).To(Equal(20 * time.Millisecond))
		Expect(b.Delay(60, 1)).To(Equal(50 * time.Millisecond))
	})
})
