package room_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lichenfall/lichenfall/config"
	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/jobs/room"
	"github.com/lichenfall/lichenfall/wire"
)

func TestRoom(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "room")
}

// fixture is the table of a worker whose backend server has ten cores, with the time and the
// state of its coordinators.
type fixture struct {
	table *room.Table
	cfg   room.Settings
	now   time.Time
	free  durable.Resources
	seq   uint64           // of the last request
	seen  map[string]int64 // stamp of the newest status that each coordinator has handled
}

func newFixture() *fixture {
	defaults := config.DefaultRoom()
	f := &fixture{cfg: defaults.Core(), now: time.Unix(1000, 0), free: cores(10), seen: make(map[string]int64)}
	f.table = room.New(f.cfg)
	f.table.SetCapacity(cores(10))
	return f
}

func cores(n int64) durable.Resources { return durable.Resources{CPU: 1000 * n} }

// waits returns a row of a request for tasks of n cores each. Their virtual deadlines begin at
// first, in milliseconds from now, and are gap milliseconds apart.
func waits(tasks, n int, first, gap int64) wire.WaitingGroup {
	return wire.WaitingGroup{
		WaitingWork: wire.WaitingWork{FirstMS: first, LastMS: first + gap*int64(tasks-1), Work: int64(tasks*n) * 100},
		Need:        cores(int64(n)),
		Tasks:       uint32(tasks),
	}
}

// request sends a request of the owner and returns it.
func (f *fixture) request(owner string, rows ...wire.WaitingGroup) *wire.CapacityRequest {
	f.seq++
	m := &wire.CapacityRequest{Seq: f.seq, Seen: f.seen[owner], Waits: rows}
	f.table.Request(f.now, owner, m)
	return m
}

// allocate allocates the free capacity, sends a status to each owner that is granted some, and
// returns these owners.
func (f *fixture) allocate() []string {
	owners := f.table.Allocate(f.now, f.free)
	for _, owner := range owners {
		f.table.StatusSent(f.now, owner, f.stamp())
	}
	return owners
}

func (f *fixture) stamp() int64 { return f.now.UnixMicro() }

func (f *fixture) pass(d time.Duration) { f.now = f.now.Add(d) }

// use accepts an order of the owner for tasks of n cores. The owner has handled all statuses
// up to now.
func (f *fixture) use(owner string, n int64) {
	f.seen[owner] = f.stamp()
	f.table.OrderReceived(f.now, owner, f.seen[owner])
	f.free = f.free.Sub(cores(n))
	f.table.OrdersAccepted(owner, f.free)
}

// available returns how many cores the owner may use.
func (f *fixture) available(owner string) int64 { return f.table.Available(owner, f.free).CPU / 1000 }

var _ = Describe("room", func() {
	It("is available to all while nobody requests it", func() {
		f := newFixture()
		Expect(f.allocate()).To(BeEmpty())
		Expect(f.available("a")).To(Equal(int64(10)))
		Expect(f.table.Sharing()).To(BeFalse())
		Expect(f.table.WaitingElsewhere(f.now, "a")).To(BeEmpty())
	})

	It("is granted by virtual deadline, not by the order of requests", func() {
		f := newFixture()
		f.free = cores(4)
		f.request("a", waits(3, 2, 30, 20))
		f.request("b", waits(3, 2, 20, 20))
		Expect(f.allocate()).To(Equal([]string{"a", "b"}))
		Expect(f.available("a")).To(Equal(int64(2)))
		Expect(f.available("b")).To(Equal(int64(2)))
		Expect(f.available("c")).To(BeZero())
	})

	It("is granted by deadlines interpolated between the first and the last of each request", func() {
		f := newFixture()
		f.free = cores(6)
		f.request("a", waits(11, 1, 0, 10)) // 0, 10, 20 ...
		f.request("b", waits(2, 1, 25, 40))
		f.allocate()
		Expect(f.available("a")).To(Equal(int64(5)))
		Expect(f.available("b")).To(Equal(int64(1)))
	})

	It("is granted by deadlines that are relative to the arrival of the request", func() {
		f := newFixture()
		f.free = cores(1)
		f.request("a", waits(1, 1, 40, 0))
		f.pass(20 * time.Millisecond)
		f.request("b", waits(1, 1, 30, 0))
		Expect(f.allocate()).To(Equal([]string{"a"}))
	})

	It("that is left over is available to all", func() {
		f := newFixture()
		f.free = cores(5)
		f.request("a", waits(1, 3, 0, 0))
		f.request("b", waits(1, 3, 10, 0))
		f.allocate()
		Expect(f.available("a")).To(Equal(int64(5)))
		Expect(f.available("c")).To(Equal(int64(2)))
	})

	It("goes to the next owner once the first has used what it could", func() {
		f := newFixture()
		f.free = cores(4)
		f.request("a", waits(2, 2, 0, 0))
		f.request("b", waits(2, 2, 10, 0))
		Expect(f.allocate()).To(Equal([]string{"a"}))
		f.use("a", 2)
		Expect(f.allocate()).To(Equal([]string{"b"}))
		Expect(f.available("a")).To(BeZero())
	})

	It("is reported to others with the work that waits for it, by priority", func() {
		f := newFixture()
		f.free = cores(2)
		f.request("a", waits(4, 1, 10, 10))
		second := waits(2, 1, 5, 10)
		second.Priority = 1
		f.request("b", waits(2, 1, 100, 50), second)
		f.allocate()
		Expect(f.table.WaitingElsewhere(f.now, "b")).To(Equal([]wire.WaitingWork{{FirstMS: 20, LastMS: 40, Work: 300}}))
		Expect(f.table.WaitingElsewhere(f.now, "c")).To(Equal([]wire.WaitingWork{
			{FirstMS: 20, LastMS: 150, Work: 500}, {Priority: 1, FirstMS: 15, LastMS: 15, Work: 100},
		}))
	})
})

var _ = Describe("a grant", func() {
	// granted returns a table whose two free cores are granted to a, while b waits behind it.
	granted := func() *fixture {
		f := newFixture()
		f.free = cores(2)
		f.request("a", waits(9, 2, 0, 1))
		f.request("b", waits(9, 2, 500, 1))
		Expect(f.allocate()).To(Equal([]string{"a"}))
		return f
	}

	It("reports started and overdue work apart from work on time", func() {
		f := newFixture()
		const far = 20 * 60 * 1000
		for _, first := range []int64{-far, 30, 40, far} {
			f.request(fmt.Sprint("of ", first), waits(1, 1, first, 0))
		}
		Expect(f.table.WaitingElsewhere(f.now, "a")).To(HaveExactElements(
			HaveField("FirstMS", int64(-far)),
			And(HaveField("FirstMS", int64(30)), HaveField("LastMS", int64(40))),
			HaveField("FirstMS", int64(far))))
	})

	It("ends when the connection of its owner is lost", func() {
		f := granted()
		f.table.RemoveOwner("a")
		Expect(f.allocate()).To(Equal([]string{"b"}))
	})

	It("expires when the status that advertises it is lost", func() {
		f := granted()
		f.pass(f.cfg.GrantTTL - time.Millisecond)
		Expect(f.allocate()).To(BeEmpty())
		f.pass(time.Millisecond)
		f.request("a")
		Expect(f.allocate()).To(Equal([]string{"b"}))
	})

	It("ends when its owner has seen it and sends another request", func() {
		f := granted()
		f.seen["a"] = f.stamp()
		f.request("a", waits(1, 2, 900, 0))
		Expect(f.allocate()).To(Equal([]string{"b"}))
	})

	It("ends when its owner withdraws the request, even without having seen the grant", func() {
		f := granted()
		f.request("a")
		Expect(f.allocate()).To(Equal([]string{"b"}))
	})

	It("is not ended by an order that acknowledges an earlier status, late or twice", func() {
		f := granted()
		f.table.OrderReceived(f.now, "a", f.stamp()-1)
		f.table.OrderReceived(f.now, "a", f.stamp()-1)
		f.table.OrderReceived(f.now, "b", f.stamp())
		Expect(f.allocate()).To(BeEmpty())
		Expect(f.available("b")).To(BeZero())
	})

	It("is not ended by an acknowledged status from before it was advertised", func() {
		f := newFixture()
		f.request("a", waits(5, 2, 0, 0))
		f.table.Allocate(f.now, f.free)
		f.table.OrderReceived(f.now, "a", f.stamp()-1)
		Expect(f.available("b")).To(BeZero())
	})

	It("that its owner has not seen counts against its next request", func() {
		f := granted()
		f.free = cores(6)
		f.request("a", waits(2, 2, 0, 1))
		f.allocate()
		Expect(f.available("a")).To(Equal(int64(4)))
		Expect(f.available("b")).To(Equal(int64(2)))
	})

	It("is used up by an order that its owner had already sent, and by no other owner's", func() {
		f := newFixture()
		f.free = cores(4)
		f.request("a", waits(1, 2, 0, 0))
		f.request("b", waits(1, 2, 10, 0))
		f.allocate()
		f.free = cores(2)
		f.table.OrdersAccepted("a", f.free)
		f.allocate()
		Expect(f.available("a")).To(BeZero())
		Expect(f.available("b")).To(Equal(int64(2)))
	})

	It("of the latest deadline is revoked first when capacity shrinks, and all when there is none", func() {
		f := newFixture()
		f.request("a", waits(2, 3, 10, 30))
		f.request("b", waits(1, 3, 20, 0))
		f.allocate()
		f.free = cores(7)
		f.allocate()
		Expect(f.available("a")).To(Equal(int64(4)))
		Expect(f.available("b")).To(Equal(int64(4)))
		f.allocate()
		f.free = durable.Resources{}
		Expect(f.allocate()).To(BeEmpty())
		Expect(f.table.Available("a", cores(7))).To(Equal(cores(7)))
	})
})

var _ = Describe("a coordinator that pauses", func() {
	// lapse lets the grants of a lapse, while b answers its own, and sends requests of both
	// again. It returns the owners that had been granted capacity.
	lapse := func(f *fixture) []string {
		owners := f.allocate()
		f.use("b", 0)
		f.pass(f.cfg.GrantTTL)
		f.request("a", waits(1, 2, -100, 0))
		f.request("b", waits(1, 2, 500, 0))
		return owners
	}

	It("ranks last for a while, longer each time, until it answers in time", func() {
		f := newFixture()
		f.free = cores(2)
		f.request("a", waits(1, 2, -100, 0))
		f.request("b", waits(1, 2, 500, 0))
		for range 3 {
			Expect(lapse(f)).To(Equal([]string{"a"}))
		}
		var times []int
		for range 7 {
			n := 0
			for owners := lapse(f); owners[0] == "b"; owners = lapse(f) {
				n++
			}
			times = append(times, n)
		}
		Expect(times).To(Equal([]int{7, 14, 27, 54, 107, 107, 107}), "grants to b between two grants to a")
		for owners := f.allocate(); owners[0] == "b"; owners = f.allocate() {
			f.use("b", 0)
			f.pass(f.cfg.GrantTTL)
			f.request("a", waits(1, 2, -100, 0))
			f.request("b", waits(1, 2, 500, 0))
		}
		f.use("a", 0)
		f.pass(time.Millisecond)
		f.request("a", waits(1, 2, -100, 0))
		for range 3 {
			Expect(lapse(f)).To(Equal([]string{"a"}))
		}
		Expect(lapse(f)).To(Equal([]string{"b"}))
	})

	It("does not rank last for a single pause, however many grants lapse in it", func() {
		f := newFixture()
		f.request("a", waits(10, 2, 0, 0))
		f.allocate()
		for range 4 {
			f.free = f.free.Add(cores(1))
			f.pass(4 * time.Millisecond)
			f.allocate()
		}
		f.seen["a"] = f.stamp()
		f.request("a", waits(1, 2, 0, 0))
		Expect(f.allocate()).To(ContainElement("a"))
	})

	It("has no standing request once its request has expired", func() {
		f := newFixture()
		f.request("a", waits(1, 11, 0, 0))
		Expect(f.table.Sharing()).To(BeTrue())
		f.pass(f.cfg.RequestTTL)
		f.allocate()
		Expect(f.table.Sharing()).To(BeFalse())
	})
})

var _ = Describe("a coordinator that does not use its grants", func() {
	It("ranks last for a moment, so that others get the capacity too", func() {
		f := newFixture()
		f.free = cores(2)
		var granted []string
		for range 20 {
			f.request("a", waits(9, 2, -100, 0))
			f.request("b", waits(9, 2, 500, 0))
			owners := f.allocate()
			granted = append(granted, owners...)
			if owners[0] == "b" {
				f.use("b", 0)
			}
			f.seen[owners[0]] = f.stamp()
			f.pass(4 * time.Millisecond)
		}
		Expect(granted[:8]).To(Equal([]string{"a", "b", "b", "b", "b", "a", "b", "b"}))
	})

	It("is not recorded as having used it when it orders later", func() {
		f := newFixture()
		f.request("a", waits(1, 2, 0, 0))
		f.allocate()
		f.table.OrderReceived(f.now, "a", f.stamp())
		f.pass(f.cfg.GrantTTL)
		f.use("a", 2)
		Expect(f.table.Events()).To(Equal([]room.Event{{What: room.Granted, Owner: "a"}}))
	})

	It("is still granted it when nobody else requests any", func() {
		f := newFixture()
		f.free = cores(2)
		for range 20 {
			f.request("a", waits(1, 2, 0, 0))
			Expect(f.allocate()).To(Equal([]string{"a"}))
			f.seen["a"] = f.stamp()
			f.pass(4 * time.Millisecond)
		}
	})
})

var _ = Describe("a request", func() {
	It("that arrives twice changes nothing", func() {
		f := newFixture()
		f.free = cores(1)
		m := f.request("a", waits(2, 1, 0, 0))
		f.allocate()
		f.use("a", 1)
		f.table.Request(f.now, "a", m)
		f.free = cores(10)
		f.allocate()
		Expect(f.available("b")).To(Equal(int64(9)))
	})

	It("that arrives after a newer one or after its withdrawal changes nothing", func() {
		f := newFixture()
		older := f.request("a", waits(3, 2, 0, 0))
		f.request("a", waits(1, 1, 0, 0))
		f.table.Request(f.now, "a", older)
		f.allocate()
		Expect(f.available("b")).To(Equal(int64(9)))
		f.request("a")
		f.table.Request(f.now, "a", older)
		Expect(f.table.Sharing()).To(BeFalse())
	})

	It("for more than the backend server has blocks nobody", func() {
		f := newFixture()
		f.request("a", waits(1, 11, -500, 0))
		f.request("b", waits(10, 1, 0, 0))
		for range 20 {
			f.pass(10 * time.Millisecond)
			f.request("a", waits(1, 11, -500, 0))
			f.allocate()
		}
		Expect(f.available("b")).To(Equal(int64(10)))
	})

	It("for much capacity is not bypassed forever", func() {
		f := newFixture()
		f.free = cores(2)
		granted := 0
		for ; granted == 0 && f.now.Before(time.Unix(1001, 0)); f.pass(10 * time.Millisecond) {
			f.request("a", waits(1, 8, -100, 0))
			f.request("b", waits(9, 1, 0, 0))
			for _, owner := range f.allocate() {
				if owner == "a" {
					granted++
				}
			}
			if f.table.Available("b", f.free).CPU > 0 {
				f.use("b", 1)
			}
			f.free = f.free.Add(cores(1)) // a run has ended
		}
		Expect(granted).To(Equal(1))
		Expect(f.now.Sub(time.Unix(1000, 0))).To(BeNumerically("<", 250*time.Millisecond))
	})

	It("with values out of range is bounded", func() {
		f := newFixture()
		odd := wire.WaitingGroup{WaitingWork: wire.WaitingWork{FirstMS: -1 << 62, LastMS: 1 << 62, Work: -5}, Tasks: 1 << 31}
		negative := odd
		negative.Need = durable.Resources{CPU: -1000, Memory: 1}
		f.free.Memory = 1 << 40
		f.request("a", odd, negative)
		f.table.SetCapacity(f.free)
		f.allocate()
		Expect(f.available("b")).To(Equal(int64(10)))
		Expect(f.table.WaitingElsewhere(f.now, "b")).To(BeEmpty())
	})
})
