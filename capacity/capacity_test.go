package capacity_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lichenfall/lichenfall/capacity"
)

func TestCapacity(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "capacity")
}

var _ = Describe("a slope", func() {
	It("is the line through exact points, with no residual", func() {
		s := capacity.Fit([]capacity.Point{{Size: 10, Cost: 25}, {Size: 20, Cost: 45}, {Size: 40, Cost: 85}})
		Expect(s.Per).To(BeNumerically("~", 2, 1e-9))
		Expect(s.Base).To(BeNumerically("~", 5, 1e-9))
		Expect(s.Residual).To(BeNumerically("~", 0, 1e-9))
		Expect(s.At(960)).To(BeNumerically("~", 1925, 1e-6))
		Expect([]float64{s.Low, s.High}).To(Equal([]float64{10, 40}))
	})

	It("says how far the points are from the line", func() {
		s := capacity.Fit([]capacity.Point{{Size: 1, Cost: 10}, {Size: 2, Cost: 0}, {Size: 3, Cost: 10}})
		Expect(s.Residual).To(BeNumerically(">", 0.3))
	})
})

var _ = Describe("the page", func() {
	It("has its tables replaced between the marks, and figures past a limit shown as such", func() {
		page := []byte("head\n<!-- capacity: measured tables begin -->\nold\n<!-- capacity: measured tables end -->\ntail\n")
		r := &capacity.Results{Claim: capacity.Slope{Per: 1e6}}
		out, err := capacity.Rewrite(page, capacity.LetterOne(), r)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(out)).To(And(HavePrefix("head\n"), HaveSuffix("tail\n"), Not(ContainSubstring("old"))))
		Expect(string(out)).To(ContainSubstring("**past the limit**"))
		again, err := capacity.Rewrite(out, capacity.LetterOne(), r)
		Expect(err).NotTo(HaveOccurred())
		Expect(again).To(Equal(out))
		_, err = capacity.Rewrite([]byte("no marks"), capacity.LetterOne(), r)
		Expect(err).To(HaveOccurred())
	})
})
