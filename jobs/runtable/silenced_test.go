package runtable_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lichenfall/lichenfall/jobs/runtable"
	"github.com/lichenfall/lichenfall/wire"
)

var _ = Describe("a backend server that stays silent", func() {
	// silentUntilLapse has the backend server answer nothing until its lease is over. It returns
	// the ends that are reported.
	silentUntilLapse := func(f *fixture) []wire.RunEnd {
		f.orderSuspects(1, 0)
		var reported []wire.RunEnd
		for range 60 {
			f.advance(f.cfg.RenewWait.D())
			f.heartbeatEchoing(7, f.now.Sub(time.Unix(1000, 0)).Microseconds())
			reported = append(reported, ends(f.take())...)
		}
		return reported
	}

	It("may have crashed: the end of the lapsed run names the incarnation", func() {
		Expect(silentUntilLapse(newFixture().ready())).To(ConsistOf(And(HaveField("How", uint8(wire.EndLapsed)), HaveField("Instance", "i-1"))))
	})

	It("has crashed if another incarnation is in force and it had not announced its end", func() {
		f := newFixture().ready()
		silentUntilLapse(f)
		f.heartbeat(7)
		f.nextIncarnation()
		Expect(ends(f.out)).To(BeEmpty())
		Expect(ends(f.take())).To(ConsistOf(And(HaveField("How", uint8(wire.EndCrashed)), HaveField("Instance", "i-1"), HaveField("Begun", true))))
		Expect(f.partitionReport("conn-2", 8)).To(ConsistOf(HaveField("How", uint8(wire.EndCrashed))))
	})

	It("has not crashed if it answers again", func() {
		f := newFixture().ready()
		silentUntilLapse(f)
		f.renewLease(nil, runtable.ListedEnd{Number: 1, Ref: ref(0, 1), Valid: true, How: wire.EndLapsed})
		f.take()
		f.nextIncarnation()
		Expect(ends(f.take())).To(BeEmpty())
	})

	It("has not crashed if it had announced its end", func() {
		f := newFixture().ready()
		leaving := identity
		leaving.Ready = false
		silentUntilLapse(f)
		f.table.Identify(f.now, leaving) // its last announcement arrived late
		f.take()
		f.nextIncarnation()
		Expect(ends(f.take())).To(BeEmpty())
	})
})
