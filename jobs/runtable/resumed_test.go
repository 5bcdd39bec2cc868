package runtable_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lichenfall/lichenfall/jobs/runtable"
	"github.com/lichenfall/lichenfall/wire"
)

var _ = Describe("a worker whose box was suspended", func() {
	const suspended = 5 * time.Second
	resume := func(f *fixture) {
		f.now = f.now.Add(suspended)
		f.table.Resumed(f.now, suspended)
	}

	It("hands back the orders that arrived before, since their owner's lease has expired", func() {
		f := newFixture().ready()
		resume(f)
		f.order(7, ref(0, 1))
		Expect(ends(f.take())[0].Reason).To(Equal("no_lease"))
	})

	It("reports no end while the backend server's lease may last on a clock that stood still", func() {
		f := newFixture().ready()
		f.order(7, ref(0, 1))
		f.table.StartAnswered(f.now, f.take().Starts[0], runtable.StartAccepted)
		resume(f)
		f.advance(f.cfg.StopGrace.D())
		f.advance(f.cfg.StopGrace.D())
		Expect(ends(f.take())).To(BeEmpty(), "it was suspended with the backend server")
		f.advance(1200 * time.Millisecond)
		Expect(how(ends(f.take())[0])).To(Equal(wire.EndLapsed))
	})
})
