package runtable_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/jobs/runtable"
	"github.com/lichenfall/lichenfall/wire"
)

// Guards against tasks that start on a backend server of another kind than they require: an order that was
// held on its way was carried out by the next incarnation, which the coordinator did not know.
var _ = Describe("an order that was decided before the coordinator knew of the identity in force", func() {
	labelled := identity
	labelled.Labels = []string{"b"}
	// knowing returns a table whose owner has handled all statuses, and knows the server by its labels.
	knowing := func() *fixture {
		f := newFixture().ready()
		f.table.Identify(f.now, labelled)
		f.take()
		return f
	}
	orderOf := func(bestEffort bool) *wire.StartRuns {
		o := wire.RunOrder{Ref: ref(0, 1), Epoch: 7, Need: durable.Resources{CPU: 500}}
		if bestEffort {
			o.Ref, o.Epoch, o.BestEffort = bestEffortRef, 0, true
		}
		return &wire.StartRuns{Seq: 1, Runs: []wire.RunOrder{o}}
	}
	// change puts another identity in force, whose lists have been read.
	change := func(f *fixture, id runtable.Identity) {
		f.table.Identify(f.now, id)
		f.renewLease(nil)
		f.renewLease(nil)
	}
	handedBack := func(e runtable.Effects) string {
		ExpectWithOffset(1, e.Starts).To(BeEmpty())
		ExpectWithOffset(1, ends(e)).To(HaveLen(1))
		ExpectWithOffset(1, how(ends(e)[0])).To(Equal(wire.EndNotRun))
		return ends(e)[0].Reason
	}

	DescribeTable("is handed back after", func(alter func(id *runtable.Identity)) {
		for _, bestEffort := range []bool{false, true} {
			f := knowing()
			seen := f.seen[owner]
			next := labelled
			alter(&next)
			change(f, next)
			for _, told := range []bool{false, true} { // the status is queued, or on its way
				m := orderOf(bestEffort)
				m.Seen = seen
				f.table.Start(f.now, owner, m)
				Expect(handedBack(f.take())).To(Equal("stale_view"), "told %t", told)
			}
			f.start(owner, orderOf(bestEffort))
			Expect(f.take().Starts).To(HaveLen(1), "decided with the identity in force")
		}
	},
		Entry("a restart with other labels", func(id *runtable.Identity) { id.Instance, id.Labels = "i-2", []string{"a"} }),
		Entry("a restart under the same ID", func(id *runtable.Identity) { id.Born, id.Labels = 2000, []string{"a"} }),
		Entry("a restart as a smaller server", func(id *runtable.Identity) { id.Instance, id.Capacity.CPU = "i-2", 600 }),
		Entry("a restart as the same kind", func(id *runtable.Identity) { id.Instance = "i-2" }),
		Entry("a change of labels", func(id *runtable.Identity) { id.Labels = []string{"a"} }),
		Entry("a change of capacity", func(id *runtable.Identity) { id.Capacity.CPU = 600 }),
		Entry("a change of service", func(id *runtable.Identity) { id.Service = "t" }),
	)

	It("is handed back although the status with the identity was sent in the same microsecond", func() {
		f := knowing()
		seen := f.seen[owner]
		change(f, nextIdentity())
		f.take()
		Expect(f.seen[owner]).To(BeNumerically(">", seen))
	})

	It("is handed back with all others of its message, and of later ones of the same round", func() {
		f := knowing()
		seen := f.seen[owner]
		change(f, nextIdentity())
		for n := range uint32(2) {
			f.table.Start(f.now, owner, &wire.StartRuns{Seq: uint64(n) + 1, Seen: seen, Runs: []wire.RunOrder{
				{Ref: ref(2*n, 1), Epoch: 7}, {Ref: ref(2*n+1, 1), Epoch: 7},
			}})
		}
		e := f.take()
		Expect(e.Starts).To(BeEmpty())
		Expect(ends(e)).To(HaveLen(4))
	})

	It("is handed back on a connection on which the identity has not been sent", func() {
		f := knowing()
		f.table.OwnerUp(f.now, "conn-3", member)
		f.sendHeartbeat("conn-3")
		m := orderOf(true)
		m.Seen = f.seen[owner]
		f.table.Start(f.now, "conn-3", m)
		Expect(handedBack(f.take())).To(Equal("stale_view"))
	})

	It("stays valid over statuses that tell of no other identity", func() {
		f := knowing()
		seen := f.seen[owner]
		f.now = f.now.Add(time.Millisecond)
		f.heartbeat(7)
		f.table.Reported(f.now, runtable.Report{Identity: labelled, Number: 1})
		f.take()
		Expect(f.seen[owner]).To(BeNumerically(">", seen))
		m := orderOf(false)
		m.Seen = seen
		f.table.Start(f.now, owner, m)
		Expect(f.take().Starts).To(HaveLen(1))
	})

	It("leaves no pause and no crash behind", func() {
		f := knowing()
		seen := f.seen[owner]
		change(f, nextIdentity())
		m := orderOf(false)
		m.Seen = seen
		f.table.Start(f.now, owner, m)
		f.take()
		f.start(owner, &wire.StartRuns{Seq: 2, Runs: []wire.RunOrder{{Ref: ref(0, 2), Epoch: 7, Need: durable.Resources{CPU: 500}}}})
		Expect(f.take().Starts).To(HaveLen(1), "the same worker takes the task at once")
	})
})

// Guards against a new incarnation that counts as of the previous one's kind, because a report without a
// capacity kept what was known.
var _ = It("an incarnation that reports no capacity has nothing of the previous one", func() {
	f := newFixture().ready()
	before := identity
	before.Labels = []string{"b"}
	f.table.Identify(f.now, before)
	f.table.Identify(f.now, runtable.Identity{Instance: "i-2", Service: "s", Ready: true, Labels: []string{"a"}})
	Expect(f.table.Identity().Labels).To(Equal([]string{"a"}))
	Expect(f.table.Identity().Capacity).To(Equal(durable.Resources{}))
})
