package store_test

import (
	"errors"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lichenfall/lichenfall/jobs/store"
)

func TestStore(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "store")
}

var _ = Describe("an append", func() {
	lost := errors.New("no answer")

	It("is done with its answer, and the next has the next number", func() {
		a := store.NewAppendTracker()
		Expect(a.HandleResult(nil)).To(Equal(store.AppendDone))
		Expect(a.Number()).To(Equal(uint64(2)))
	})

	It("is refused only when no copy of it may still be carried out", func() {
		a := store.NewAppendTracker()
		Expect(a.HandleResult(store.ErrRefused)).To(Equal(store.AppendRefused))
		Expect(a.Number()).To(Equal(uint64(1)))

		Expect(a.HandleResult(lost)).To(Equal(store.AppendPending))
		Expect(a.HandleResult(store.ErrRefused)).To(Equal(store.AppendPending), "the first copy may land later")
		Expect(a.Number()).To(Equal(uint64(1)), "the same number makes the copies one")
		Expect(a.HandleResult(nil)).To(Equal(store.AppendDone))
	})

	It("that a newer owner overtook is lost when a copy had no answer", func() {
		a := store.NewAppendTracker()
		Expect(a.HandleResult(store.ErrFenced)).To(Equal(store.AppendFenced))
		Expect(a.HandleResult(lost)).To(Equal(store.AppendPending))
		Expect(a.HandleResult(store.ErrFenced)).To(Equal(store.AppendUncertain))
	})

	It("was carried out when the store wants a later number", func() {
		a := store.NewAppendTracker()
		Expect(a.HandleResult(lost)).To(Equal(store.AppendPending))
		Expect(a.HandleResult(&store.SequenceError{Wanted: 2})).To(Equal(store.AppendDone))
		Expect(a.Number()).To(Equal(uint64(2)))
	})

	It("takes the number that the store wants when no copy is open", func() {
		a := store.NewAppendTracker()
		Expect(a.HandleResult(&store.SequenceError{Wanted: 5})).To(Equal(store.AppendPending))
		Expect(a.Number()).To(Equal(uint64(5)))
	})
})
