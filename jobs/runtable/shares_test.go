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

// neighbours are a worker's three coordinators of best-effort jobs; the server has room for
// two of their runs, and the worker knows all that is free.
type neighbours struct {
	*fixture
	runs uint32
	said map[string]*wire.WorkerStatus // to each, the latest
	told []string                      // whom the last Effects have a status for
	ends []wire.RunEnd                 // in the last Effects
	held []wire.RunRef                 // what runs, in its order
}

func newNeighbours() *neighbours {
	n := &neighbours{fixture: newFixture(), said: make(map[string]*wire.WorkerStatus)}
	n.table.Identify(n.now, identity)
	n.hold(nil)
	n.hold(nil)
	for _, name := range []string{"a", "b", "c"} {
		n.table.OwnerUp(n.now, name, "member-"+name)
	}
	n.perform()
	n.renew()
	return n
}

// renew has all coordinators renew their leases.
func (n *neighbours) renew() {
	for _, name := range []string{"a", "b", "c"} {
		n.beat(name)
	}
	n.perform()
}

func (n *neighbours) beat(name string) {
	n.seq++
	n.table.Heartbeat(n.now, name, &wire.OwnerHeartbeat{Seq: n.seq, Echo: n.said[name].Stamp})
}

// perform takes the Effects a millisecond later, and has the backend server take the starts.
func (n *neighbours) perform() {
	n.pass(time.Millisecond)
	e := n.take()
	n.told = nil
	for _, s := range e.Sends {
		if m, ok := s.Message.(*wire.WorkerStatus); ok {
			n.said[s.Owner] = m
			n.told = append(n.told, s.Owner)
		}
	}
	n.ends = ends(e)
	for _, c := range e.Starts {
		n.table.StartAnswered(n.now, c, runtable.StartAccepted)
		n.held = append(n.held, c.Ref)
	}
}

// asks has the coordinator ask for so many runs of 1,500 thousandths of a core.
func (n *neighbours) asks(name string, tasks uint32, turn int64) {
	n.seq++
	m := &wire.CapacityRequest{Seq: n.seq, Seen: n.said[name].Stamp}
	if tasks > 0 {
		m.Waits = []wire.RoomWait{{WaitingWork: wire.WaitingWork{FirstMS: turn, LastMS: turn, Work: 90}, Need: durable.Resources{CPU: 1500}, Tasks: tasks}}
	}
	n.table.RequestCapacity(n.now, name, m)
}

// orders has the coordinator order a run, having handled all that it was told.
func (n *neighbours) orders(name string) {
	n.runs++
	n.seq++
	n.table.Start(n.now, name, &wire.StartRuns{Seq: n.seq, Seen: n.said[name].Stamp, Runs: []wire.RunOrder{{
		Ref: ref(n.runs, wire.BestEffortRun+n.runs), BestEffort: true, Need: durable.Resources{CPU: 1500},
	}}})
}

// ended has the backend server end the run that is there longest.
func (n *neighbours) ended() {
	n.seq++
	n.hold(nil, runtable.ListedEnd{Number: n.seq, Ref: n.held[0], Valid: true, How: wire.EndDone})
	n.held = n.held[1:]
}

// full is a worker all of whose room a uses, and for which b and c ask, c first.
func full() *neighbours {
	n := newNeighbours()
	n.orders("a")
	n.orders("a")
	n.perform()
	n.asks("b", 1, 40)
	n.asks("c", 1, 30)
	n.perform()
	return n
}

var _ = Describe("a worker that is asked for room", func() {
	It("tells it to who comes first, and of an end only to whom it concerns", func() {
		n := full()
		Expect(n.told).To(BeEmpty())
		n.ended()
		n.perform()
		Expect(n.told).To(Equal([]string{"a", "c"}))
		Expect(n.said["c"].Free.CPU).To(Equal(int64(2500)))
		Expect(n.said["c"].Waiting).To(Equal([]wire.WaitingWork{{FirstMS: 38, LastMS: 38, Work: 90}}))
		Expect(n.said["a"].Free.CPU).To(Equal(int64(1000)))
		n.beat("b")
		n.perform()
		Expect(n.said["b"].Free.CPU).To(Equal(int64(1000)))
	})

	It("hands back orders of others, and takes that of the owner of the grant", func() {
		n := full()
		n.ended()
		n.orders("b")
		n.orders("a")
		n.perform()
		Expect(n.ends).To(ContainElements(
			And(HaveField("How", uint8(wire.EndNotRun)), HaveField("Reason", "granted")),
			And(HaveField("How", uint8(wire.EndNotRun)), HaveField("Reason", "granted"))))
		n.orders("c")
		n.perform()
		Expect(n.held).To(HaveLen(2))
		n.orders("b")
		n.perform()
		Expect(n.ends[0].Reason).To(Equal("busy"))
	})

	It("takes orders as ever once a grant is lost: it ends by itself", func() {
		n := full()
		n.ended()
		n.perform()
		n.pass(n.cfg.Room.GrantTTL.D())
		n.perform()
		Expect(n.told).To(Equal([]string{"b"}))
		n.orders("b")
		n.perform()
		Expect(n.held).To(HaveLen(2))
		n.orders("c")
		n.perform()
		Expect(n.ends[0].Reason).To(Equal("busy"))
	})

	It("takes an order that was on its way out of the room of its own sender", func() {
		n := newNeighbours()
		n.asks("c", 1, 0)
		n.asks("b", 1, 10)
		n.perform()
		n.said["c"] = &wire.WorkerStatus{Stamp: 1} // it has not handled the grant
		n.orders("c")
		n.perform()
		n.orders("b")
		n.perform()
		Expect(n.held).To(HaveLen(2))
	})

	It("keeps nothing for what it could never run", func() {
		n := newNeighbours()
		for range 30 {
			n.seq++
			n.table.RequestCapacity(n.now, "b", &wire.CapacityRequest{Seq: n.seq, Waits: []wire.RoomWait{{Need: durable.Resources{CPU: 4001}, Tasks: 1}}})
			n.hold(nil)
			n.pass(10 * time.Millisecond)
			n.perform()
		}
		n.beat("c")
		n.perform()
		Expect(n.said["c"].Free.CPU).To(Equal(int64(4000)))
	})

	It("gives the room on when its owner's connection is lost, or replaced", func() {
		n := full()
		n.ended()
		n.perform()
		n.table.OwnerDown(n.now, "c")
		n.perform()
		Expect(n.told).To(Equal([]string{"b"}))
		n.table.OwnerUp(n.now, "b2", "member-b")
		n.perform()
		n.beat("b2")
		n.perform()
		Expect(n.said["a"].Free.CPU).To(Equal(int64(2500)))
		n.asks("b", 1, 0)
		n.perform()
		Expect(n.said["a"].Waiting).To(BeEmpty(), "nothing counts that comes over a replaced connection")
	})

	It("tells all of all that is free once nobody asks any more", func() {
		n := full()
		n.asks("b", 0, 0)
		n.ended()
		n.asks("c", 0, 0)
		n.perform()
		Expect(n.told).To(Equal([]string{"a", "b", "c"}))
		Expect(n.said["b"].Free.CPU).To(Equal(int64(2500)))
		n.ended()
		n.perform()
		Expect(n.told).To(Equal([]string{"a", "b", "c"}))
	})

	It("tells all of an end between an ask and its withdrawal", func() {
		n := newNeighbours()
		n.orders("a")
		n.perform()
		n.asks("b", 1, 0)
		n.ended()
		n.asks("b", 0, 0)
		n.perform()
		Expect(n.told).To(Equal([]string{"a", "b", "c"}))
	})

	It("forgets asks that are not repeated", func() {
		n := full()
		n.pass(n.cfg.Room.RequestTTL.D())
		n.perform()
		Expect(n.told).To(Equal([]string{"a", "b", "c"}))
	})

	It("grants nothing where it takes nothing, and again when it does", func() {
		for name, stop := range map[string]func(n *neighbours){
			"evacuated": func(n *neighbours) {
				n.table.SetEvacuations(n.now, routing.Evacuations{Offset: 3, DataCentres: []string{"dc"}})
			},
			"draining": func(n *neighbours) {
				id := identity
				id.Ready = false
				n.table.Identify(n.now, id)
			},
			"its life is over": func(n *neighbours) {
				call, _ := n.table.NextRenewal(n.now)
				n.table.RenewAnswered(n.now, call, runtable.RenewAnswer{Result: runtable.RenewConnectionRefused})
			},
			"silent": func(n *neighbours) { n.pass(n.cfg.SilentAfter.D() + time.Millisecond) },
		} {
			n := full()
			n.ended()
			n.perform()
			stop(n)
			n.perform()
			n.asks("b", 2, 0)
			n.asks("c", 2, 0)
			n.perform()
			Expect(n.said["c"].Ready).To(BeFalse(), name)
			Expect(n.out.Notes).NotTo(ContainElement(HaveField("What", runtable.GrantMade)), name)
			n.orders("c")
			n.perform()
			Expect(n.ends).To(ContainElement(HaveField("How", uint8(wire.EndNotRun))), name)
			Expect(n.held).To(HaveLen(1), name)
		}
	})

	It("grants the room of the next life to asks that stand", func() {
		n := full()
		next := identity
		next.Instance = "i-2"
		n.table.Identify(n.now, next)
		n.perform()
		n.hold(nil)
		n.hold(nil)
		n.perform()
		Expect(n.said["a"].Free.CPU).To(Equal(int64(1000)))
		Expect(n.said["b"].Free.CPU).To(Equal(int64(2500)))
		Expect(n.said["c"].Free.CPU).To(Equal(int64(2500)))
	})

	It("hands back what was granted before it shrank", func() {
		n := full()
		n.ended()
		n.perform()
		small := identity
		small.Capacity.CPU = 2000
		n.table.Identify(n.now, small)
		n.orders("c")
		n.perform()
		Expect(n.ends[0].Reason).To(Equal("busy"))
		Expect(n.said["c"].Free.CPU).To(Equal(int64(500)))
	})

	It("grants nothing for a while after the backend server had less room than was thought", func() {
		n := newNeighbours()
		n.orders("a")
		n.table.StartAnswered(n.now, n.take().Starts[0], runtable.StartNoRoom)
		n.asks("b", 1, 0)
		n.perform()
		Expect(n.told).NotTo(ContainElement("b"))
		n.hold(nil)
		n.pass(20 * time.Millisecond)
		n.perform()
		Expect(n.told).To(ContainElement("b"))
	})

	It("whose process is new holds nothing back until it is asked anew", func() {
		n := newNeighbours()
		n.orders("a")
		n.orders("b")
		n.perform()
		Expect(n.held).To(HaveLen(2))
	})

	It("shows operators who asks for what, and to whom room is granted", func() {
		n := full()
		n.ended()
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

	It("says for the log what it granted, and what became of it", func() {
		n := full()
		n.ended()
		n.perform()
		Expect(n.out.Notes).To(ContainElement(runtable.Note{What: runtable.GrantMade, Reason: "member-c", Frequent: true}))
		n.orders("c")
		n.perform()
		Expect(n.out.Notes).To(ContainElement(runtable.Note{What: runtable.GrantUsed, Reason: "member-c", Frequent: true}))
	})
})
