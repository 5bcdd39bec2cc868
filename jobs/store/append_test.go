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
	noAnswer := errors.New("no answer")

	It("is done when it is answered, and the next has the next number", func() {
		a := store.NewAppendTracker(1)
		Expect(a.HandleResult(nil)).To(Equal(store.AppendDone))
		Expect(a.Number()).To(Equal(uint64(2)))
	})

	It("is refused only when no attempt may still be carried out", func() {
		a := store.NewAppendTracker(1)
		Expect(a.HandleResult(store.ErrRefused)).To(Equal(store.AppendRefused))
		Expect(a.Number()).To(Equal(uint64(1)))

		Expect(a.HandleResult(noAnswer)).To(Equal(store.AppendPending))
		Expect(a.HandleResult(store.ErrRefused)).To(Equal(store.AppendPending), "the first attempt may be carried out later")
		Expect(a.Number()).To(Equal(uint64(1)), "of attempts with the same number only one is carried out")
		Expect(a.HandleResult(nil)).To(Equal(store.AppendDone))
	})

	It("is uncertain when a newer owner exists and an attempt was not answered", func() {
		a := store.NewAppendTracker(1)
		Expect(a.HandleResult(store.ErrFenced)).To(Equal(store.AppendFenced))
		Expect(a.HandleResult(noAnswer)).To(Equal(store.AppendPending))
		Expect(a.HandleResult(store.ErrFenced)).To(Equal(store.AppendUncertain))
	})

	It("was carried out when an attempt was not answered and the store expects a later number", func() {
		a := store.NewAppendTracker(1)
		Expect(a.HandleResult(noAnswer)).To(Equal(store.AppendPending))
		Expect(a.HandleResult(&store.SequenceError{Wanted: 2})).To(Equal(store.AppendDone))
		Expect(a.Number()).To(Equal(uint64(2)))
	})

	It("takes the number that the store expects when every attempt was answered", func() {
		a := store.NewAppendTracker(1)
		Expect(a.HandleResult(&store.SequenceError{Wanted: 5})).To(Equal(store.AppendPending))
		Expect(a.Number()).To(Equal(uint64(5)))
	})
})
