package failure_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lichenfall/lichenfall/lib/failure"
)

func TestFailure(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "failure")
}

var _ = Describe("the table of kinds", func() {
	It("has a complete row for each kind, and unique names", func() {
		names := make(map[string]bool)
		for i, r := range failure.Table() {
			Expect(int(r.Kind)).To(Equal(i), "row %d is out of order", i)
			Expect(r.Name).To(MatchRegexp(`^[a-z_]+$`))
			Expect(names).NotTo(HaveKey(r.Name))
			names[r.Name] = true
			Expect(r.Meaning).To(HaveSuffix("."))
			if r.Kind != failure.None {
				Expect(r.Status).To(And(BeNumerically(">=", 400), BeNumerically("<", 600)), r.Name)
			}
			parsed, ok := failure.Parse(r.Name)
			Expect(ok).To(BeTrue())
			Expect(parsed).To(Equal(r.Kind))
		}
	})

	It("treats an unknown kind as an internal error", func() {
		Expect(failure.Kind(250).Row().Kind).To(Equal(failure.Internal))
		_, ok := failure.Parse("no such kind")
		Expect(ok).To(BeFalse())
	})

	It("advises to retry with the same ID only where the outcome is not known", func() {
		for _, r := range failure.Table() {
			if r.Retry == failure.RetrySameID {
				Expect(r.Ran).NotTo(Equal(failure.DidRun), r.Name)
				Expect(r.Ran).NotTo(Equal(failure.NotRun), r.Name)
			}
		}
	})

	It("finds the error in a wrapped one and prints the field", func() {
		err := failure.InField(failure.BadRequest, "tasks", "empty", "1 to 150")
		Expect(failure.From(fmt.Errorf("reading: %w", err))).To(Equal(err))
		Expect(err.Error()).To(Equal("bad_request: tasks: empty (allowed: 1 to 150)"))
		Expect(failure.From(fmt.Errorf("other")).Kind).To(Equal(failure.Internal))
	})
})
