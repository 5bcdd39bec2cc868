package runtable_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/jobs/routing"
	"github.com/lichenfall/lichenfall/jobs/runtable"
	"github.com/lichenfall/lichenfall/wire"
)

// sharedWorker is a worker with three coordinators of best-effort jobs, a, b and c. The backend
// server has capacity for two of their runs.
type sharedWorker struct {
	*fixture
	runs       uint32
	lastStatus map[string]*wire.WorkerStatus // the latest to each coordinator
	statusTo   []string                      // the recipients of statuses in the last Effects
	ends       []wire.RunEnd                 // in the last Effects
	running    []wire.RunRef                 // in the order of their starts
}

func newSharedWorker() *sharedWorker {
	n := &sharedWorker{fixture: newFixture(), lastStatus: make(map[string]*wire.WorkerStatus)}
	n.table.Identify(n.now, identity)
	n.renewLease(nil)
	n.renewLease(nil)
	for _, name := range []string{"a", "b", "c"} {
		n.table.OwnerUp(n.now, name, "member-"+name)
	}
	n.perform()
	n.heartbeats()
	return n
}

// heartbeats has all coordinators renew their leases.
func (n *sharedWorker) heartbeats() {
	for _, name := range []string{"a", "b", "c"} {
		n.sendHeartbeat(name)
	}
	n.perform()
}

func (n *sharedWorker) sendHeartbeat(name string) {
	n.seq++
	n.table.Heartbeat(n.now, name, &wire.OwnerHeartbeat{Seq: n.seq, Echo: n.lastStatus[name].Stamp})
}

// perform takes the Effects a millisecond later, and has the backend server accept the starts.
func (n *sharedWorker) perform() {
	n.advance(time.Millisecond)
	e := n.take()
	n.statusTo = nil
	for _, s := range e.Sends {
		if m, ok := s.Message.(*wire.WorkerStatus); ok {
			n.lastStatus[s.Owner] = m
			n.statusTo = append(n.statusTo, s.Owner)
		}
	}
	n.ends = ends(e)
	for _, c := range e.Starts {
		n.table.StartAnswered(n.now, c, runtable.StartAccepted)
		n.running = append(n.running, c.Ref)
	}
}

// request has the coordinator request capacity for runs of 1,500 thousandths of a core.
func (n *sharedWorker) request(name string, tasks uint32, virtualDeadline int64) {
	n.seq++
	m := &wire.CapacityRequest{Seq: n.seq, Seen: n.lastStatus[name].Stamp}
	if tasks > 0 {
		m.Waits = []wire.WaitingGroup{{WaitingWork: wire.WaitingWork{FirstMS: virtualDeadline, LastMS: virtualDeadline, Work: 90}, Need: durable.Resources{CPU: 1500}, Tasks: tasks}}
	}
	n.table.RequestCapacity(n.now, name, m)
}

// orderRun has the coordinator order a run after it has handled all statuses that it was sent.
func (n *sharedWorker) orderRun(name string) {
	n.runs++
	n.seq++
	n.table.Start(n.now, name, &wire.StartRuns{Seq: n.seq, Seen: n.lastStatus[name].Stamp, Runs: []wire.RunOrder{{
		Ref: ref(n.runs, wire.BestEffortRun+n.runs), BestEffort: true, Need: durable.Resources{CPU: 1500},
	}}})
}

// endOldest has the backend server end the run that started first.
func (n *sharedWorker) endOldest() {
	n.seq++
	n.renewLease(nil, runtable.ListedEnd{Number: n.seq, Ref: n.running[0], Valid: true, How: wire.EndDone})
	n.running = n.running[1:]
}

// fullWorker returns a worker whose capacity is used by a, and requested by b and c, of which c
// comes first.
func fullWorker() *sharedWorker {
	n := newSharedWorker()
	n.orderRun("a")
	n.orderRun("a")
	n.perform()
	n.request("b", 1, 40)
	n.request("c", 1, 30)
	n.perform()
	return n
}

var _ = Describe("a worker from which capacity is requested", func() {
	It("grants it to the coordinator that comes first, and sends statuses only to those concerned", func() {
		n := fullWorker()
		Expect(n.statusTo).To(BeEmpty())
		n.endOldest()
		n.perform()
		Expect(n.statusTo).To(Equal([]string{"a", "c"}))
		Expect(n.lastStatus["c"].Free.CPU).To(Equal(int64(2500)))
		Expect(n.lastStatus["c"].Waiting).To(Equal([]wire.WaitingWork{{FirstMS: 38, LastMS: 38, Work: 90}}))
		Expect(n.lastStatus["a"].Free.CPU).To(Equal(int64(1000)))
		n.sendHeartbeat("b")
		n.perform()
		Expect(n.lastStatus["b"].Free.CPU).To(Equal(int64(1000)))
	})

	It("hands back the orders of others, and takes the order of the grant's owner", func() {
		n := fullWorker()
		n.endOldest()
		n.orderRun("b")
		n.orderRun("a")
		n.perform()
		Expect(n.ends).To(ContainElements(
			And(HaveField("How", uint8(wire.EndNotRun)), HaveField("Reason", "granted")),
			And(HaveField("How", uint8(wire.EndNotRun)), HaveField("Reason", "granted"))))
		n.orderRun("c")
		n.perform()
		Expect(n.running).To(HaveLen(2))
		n.orderRun("b")
		n.perform()
		Expect(n.ends[0].Reason).To(Equal("busy"))
	})

	It("takes all orders again after a grant has been lost, since it expires", func() {
		n := fullWorker()
		n.endOldest()
		n.perform()
		n.advance(n.cfg.Room.GrantTTL.D())
		n.perform()
		Expect(n.statusTo).To(Equal([]string{"b"}))
		n.orderRun("b")
		n.perform()
		Expect(n.running).To(HaveLen(2))
		n.orderRun("c")
		n.perform()
		Expect(n.ends[0].Reason).To(Equal("busy"))
	})

	It("takes an order that was in transit out of the share of its sender", func() {
		n := newSharedWorker()
		beforeGrant := n.lastStatus["c"]
		n.request("c", 1, 0)
		n.request("b", 1, 10)
		n.perform()
		n.lastStatus["c"] = beforeGrant // the grant has not reached c
		n.orderRun("c")
		n.perform()
		n.orderRun("b")
		n.perform()
		Expect(n.running).To(HaveLen(2))
	})

	It("reserves nothing for tasks that can never fit", func() {
		n := newSharedWorker()
		for range 30 {
			n.seq++
			n.table.RequestCapacity(n.now, "b", &wire.CapacityRequest{Seq: n.seq, Waits: []wire.WaitingGroup{{Need: durable.Resources{CPU: 4001}, Tasks: 1}}})
			n.renewLease(nil)
			n.advance(10 * time.Millisecond)
			n.perform()
		}
		n.sendHeartbeat("c")
		n.perform()
		Expect(n.lastStatus["c"].Free.CPU).To(Equal(int64(4000)))
	})

	It("grants the capacity to another when the owner's connection is lost or replaced", func() {
		n := fullWorker()
		n.endOldest()
		n.perform()
		n.table.OwnerDown(n.now, "c")
		n.perform()
		Expect(n.statusTo).To(Equal([]string{"b"}))
		n.table.OwnerUp(n.now, "b2", "member-b")
		n.perform()
		n.sendHeartbeat("b2")
		n.perform()
		Expect(n.lastStatus["a"].Free.CPU).To(Equal(int64(2500)))
		n.request("b", 1, 0)
		n.perform()
		Expect(n.lastStatus["a"].Waiting).To(BeEmpty(), "requests on a replaced connection do not count")
	})

	It("advertises all free capacity to all once nobody requests any", func() {
		n := fullWorker()
		n.request("b", 0, 0)
		n.endOldest()
		n.request("c", 0, 0)
		n.perform()
		Expect(n.statusTo).To(Equal([]string{"a", "b", "c"}))
		Expect(n.lastStatus["b"].Free.CPU).To(Equal(int64(2500)))
		n.endOldest()
		n.perform()
		Expect(n.statusTo).To(Equal([]string{"a", "b", "c"}))
	})

	It("sends statuses to all for an end between a request and its withdrawal", func() {
		n := newSharedWorker()
		n.orderRun("a")
		n.perform()
		n.request("b", 1, 0)
		n.endOldest()
		n.request("b", 0, 0)
		n.perform()
		Expect(n.statusTo).To(Equal([]string{"a", "b", "c"}))
	})

	It("drops requests that are not repeated", func() {
		n := fullWorker()
		n.advance(n.cfg.Room.RequestTTL.D())
		n.perform()
		Expect(n.statusTo).To(Equal([]string{"a", "b", "c"}))
	})

	It("grants nothing while it takes no orders", func() {
		for name, stop := range map[string]func(n *sharedWorker){
			"evacuated": func(n *sharedWorker) {
				n.table.SetEvacuations(n.now, routing.Evacuations{Offset: 3, DataCentres: []string{"dc"}})
			},
			"draining": func(n *sharedWorker) {
				id := identity
				id.Ready = false
				n.table.Identify(n.now, id)
			},
			"its incarnation is over": func(n *sharedWorker) {
				call, _ := n.table.NextRenewal(n.now)
				n.table.RenewAnswered(n.now, call, runtable.RenewAnswer{Result: runtable.RenewConnectionRefused})
			},
			"silent": func(n *sharedWorker) { n.advance(n.cfg.SilentAfter.D() + time.Millisecond) },
		} {
			n := fullWorker()
			n.endOldest()
			n.perform()
			stop(n)
			n.perform()
			n.request("b", 2, 0)
			n.request("c", 2, 0)
			n.perform()
			Expect(n.lastStatus["c"].Ready).To(BeFalse(), name)
			Expect(n.out.Notes).NotTo(ContainElement(HaveField("What", runtable.GrantMade)), name)
			n.orderRun("c")
			n.perform()
			Expect(n.ends).To(ContainElement(HaveField("How", uint8(wire.EndNotRun))), name)
			Expect(n.running).To(HaveLen(1), name)
		}
	})

	It("grants the capacity of the next incarnation to pending requests", func() {
		n := fullWorker()
		next := identity
		next.Instance = "i-2"
		n.table.Identify(n.now, next)
		n.perform()
		n.renewLease(nil)
		n.renewLease(nil)
		n.perform()
		Expect(n.lastStatus["a"].Free.CPU).To(Equal(int64(1000)))
		Expect(n.lastStatus["b"].Free.CPU).To(Equal(int64(2500)))
		Expect(n.lastStatus["c"].Free.CPU).To(Equal(int64(2500)))
	})

	It("hands back orders under grants from before the capacity shrank", func() {
		n := fullWorker()
		n.endOldest()
		n.perform()
		small := identity
		small.Capacity.CPU = 2000
		n.table.Identify(n.now, small)
		n.orderRun("c")
		n.perform()
		Expect(n.ends[0].Reason).To(Equal("stale_view"))
		n.orderRun("c")
		n.perform()
		Expect(n.ends[0].Reason).To(Equal("busy"))
		Expect(n.lastStatus["c"].Free.CPU).To(Equal(int64(500)))
	})

	It("grants nothing for a while after the backend server had less capacity than assumed", func() {
		n := newSharedWorker()
		n.orderRun("a")
		n.table.StartAnswered(n.now, n.take().Starts[0], runtable.StartNoRoom)
		n.request("b", 1, 0)
		n.perform()
		Expect(n.statusTo).NotTo(ContainElement("b"))
		n.renewLease(nil)
		n.advance(20 * time.Millisecond)
		n.perform()
		Expect(n.statusTo).To(ContainElement("b"))
	})

	It("reserves nothing in a new process until capacity is requested again", func() {
		n := newSharedWorker()
		n.orderRun("a")
		n.orderRun("b")
		n.perform()
		Expect(n.running).To(HaveLen(2))
	})

	It("shows operators the requests and the grants", func() {
		n := fullWorker()
		n.endOldest()
		n.perform()
		v := n.table.View(n.now)
		Expect(v.Incarnation).To(Equal(identity.Instance))
		Expect(v.Ready).To(BeTrue())
		Expect([]int64{v.Capacity, v.Free}).To(Equal([]int64{4000, 2500}))
		Expect(v.Coordinators).To(HaveKeyWithValue("c", "member-c"))
		Expect(v.Asks).To(ConsistOf(
			And(HaveField("Owner", "b"), HaveField("Tasks", 1), HaveField("Need", int64(1500))),
			And(HaveField("Owner", "c"), HaveField("Tasks", 0))))
		Expect(v.Grants).To(ConsistOf(And(HaveField("Owner", "c"), HaveField("Advertised", true))))
	})

	It("logs the grants and what became of them", func() {
		n := fullWorker()
		n.endOldest()
		n.perform()
		Expect(n.out.Notes).To(ContainElement(runtable.Note{What: runtable.GrantMade, Reason: "member-c", Frequent: true}))
		n.orderRun("c")
		n.perform()
		Expect(n.out.Notes).To(ContainElement(runtable.Note{What: runtable.GrantUsed, Reason: "member-c", Frequent: true}))
	})
})
