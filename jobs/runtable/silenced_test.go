package runtable_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lichenfall/lichenfall/jobs/runtable"
	"github.com/lichenfall/lichenfall/wire"
)

var _ = Describe("a backend server that falls silent for good", func() {
	// silenced is a table whose backend server answers nothing until its lease is over.
	silenced := func(f *fixture) []wire.RunEnd {
		f.orderSuspects(1, 0)
		var told []wire.RunEnd
		for range 60 {
			f.pass(f.cfg.RenewWait.D())
			f.heartbeatOf(7, f.now.Sub(time.Unix(1000, 0)).Microseconds())
			told = append(told, ends(f.take())...)
		}
		return told
	}

	It("may have crashed: the lapsed run is told with the life that it was on", func() {
		Expect(silenced(newFixture().ready())).To(ConsistOf(And(HaveField("How", uint8(wire.EndLapsed)), HaveField("Instance", "i-1"))))
	})

	It("has crashed when another life is there that it had not announced", func() {
		f := newFixture().ready()
		silenced(f)
		f.heartbeat(7)
		f.nextLife()
		Expect(ends(f.out)).To(BeEmpty())
		Expect(ends(f.take())).To(ConsistOf(And(HaveField("How", uint8(wire.EndCrashed)), HaveField("Instance", "i-1"), HaveField("Begun", true))))
		Expect(f.reports("conn-2", 8)).To(ConsistOf(HaveField("How", uint8(wire.EndCrashed))))
	})

	It("has not crashed when it answers again", func() {
		f := newFixture().ready()
		silenced(f)
		f.hold(nil, runtable.ListedEnd{Number: 1, Ref: ref(0, 1), Valid: true, How: wire.EndLapsed})
		f.take()
		f.nextLife()
		Expect(ends(f.take())).To(BeEmpty())
	})

	It("had not crashed when it had said that it would leave", func() {
		f := newFixture().ready()
		leaving := identity
		leaving.Ready = false
		silenced(f)
		f.table.Identify(f.now, leaving) // its last word came late
		f.take()
		f.nextLife()
		Expect(ends(f.take())).To(BeEmpty())
	})
})
