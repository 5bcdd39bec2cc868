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
		a := store.NewAppending()
		Expect(a.Answered(nil)).To(Equal(store.Done))
		Expect(a.Number()).To(Equal(uint64(2)))
	})

	It("is refused only when no copy of it may still be carried out", func() {
		a := store.NewAppending()
		Expect(a.Answered(store.ErrRefused)).To(Equal(store.Refused))
		Expect(a.Number()).To(Equal(uint64(1)))

		Expect(a.Answered(lost)).To(Equal(store.Open))
		Expect(a.Answered(store.ErrRefused)).To(Equal(store.Open), "the first copy may land later")
		Expect(a.Number()).To(Equal(uint64(1)), "the same number makes the copies one")
		Expect(a.Answered(nil)).To(Equal(store.Done))
	})

	It("that a newer owner overtook is lost when a copy had no answer", func() {
		a := store.NewAppending()
		Expect(a.Answered(store.ErrFenced)).To(Equal(store.Fenced))
		Expect(a.Answered(lost)).To(Equal(store.Open))
		Expect(a.Answered(store.ErrFenced)).To(Equal(store.Lost))
	})

	It("was carried out when the store wants a later number", func() {
		a := store.NewAppending()
		Expect(a.Answered(lost)).To(Equal(store.Open))
		Expect(a.Answered(&store.SequenceError{Wanted: 2})).To(Equal(store.Done))
		Expect(a.Number()).To(Equal(uint64(2)))
	})

	It("takes the number that the store wants when no copy is open", func() {
		a := store.NewAppending()
		Expect(a.Answered(&store.SequenceError{Wanted: 5})).To(Equal(store.Open))
		Expect(a.Number()).To(Equal(uint64(5)))
	})
})
