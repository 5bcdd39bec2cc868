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

// fixture is the table of a worker of ten cores, with the time and the asks of its
// coordinators.
type fixture struct {
	table *room.Table
	cfg   room.Settings
	now   time.Time
	free  durable.Resources
	seq   uint64
	seen  map[string]int64
}

func newFixture() *fixture {
	defaults := config.DefaultRoom()
	f := &fixture{cfg: defaults.Core(), now: time.Unix(1000, 0), free: cores(10), seen: make(map[string]int64)}
	f.table = room.New(f.cfg)
	f.table.SetCapacity(cores(10))
	return f
}

func cores(n int64) durable.Resources { return durable.Resources{CPU: 1000 * n} }

// waits describes tasks of one size whose turns come from first on, gap milliseconds apart.
func waits(tasks, n int, first, gap int64) wire.RoomWait {
	return wire.RoomWait{
		WaitingWork: wire.WaitingWork{FirstMS: first, LastMS: first + gap*int64(tasks-1), Work: int64(tasks*n) * 100},
		Need:        cores(int64(n)),
		Tasks:       uint32(tasks),
	}
}

// ask sends an ask of the owner's, which has handled what it was told.
func (f *fixture) ask(owner string, rows ...wire.RoomWait) *wire.CapacityRequest {
	f.seq++
	m := &wire.CapacityRequest{Seq: f.seq, Seen: f.seen[owner], Waits: rows}
	f.table.Request(f.now, owner, m)
	return m
}

// share shares what is free, and tells those who are granted some.
func (f *fixture) share() []string {
	told := f.table.Allocate(f.now, f.free)
	for _, owner := range told {
		f.table.StatusSent(f.now, owner, f.stamp())
	}
	return told
}

func (f *fixture) stamp() int64 { return f.now.UnixMicro() }

func (f *fixture) pass(d time.Duration) { f.now = f.now.Add(d) }

// use has the owner order tasks of so many cores with what it was told by now; they are taken.
func (f *fixture) use(owner string, n int64) {
	f.seen[owner] = f.stamp()
	f.table.OrderReceived(f.now, owner, f.seen[owner])
	f.free = f.free.Sub(cores(n))
	f.table.OrdersAccepted(owner, f.free)
}

// room returns how many cores the owner may use.
func (f *fixture) room(owner string) int64 { return f.table.Available(owner, f.free).CPU / 1000 }

var _ = Describe("room", func() {
	It("is everybody's while nobody asks", func() {
		f := newFixture()
		Expect(f.share()).To(BeEmpty())
		Expect(f.room("a")).To(Equal(int64(10)))
		Expect(f.table.Sharing()).To(BeFalse())
		Expect(f.table.WaitingElsewhere(f.now, "a")).To(BeEmpty())
	})

	It("is granted by turn, whoever asks first", func() {
		f := newFixture()
		f.free = cores(4)
		f.ask("a", waits(3, 2, 30, 20))
		f.ask("b", waits(3, 2, 20, 20))
		Expect(f.share()).To(Equal([]string{"a", "b"}))
		Expect(f.room("a")).To(Equal(int64(2)))
		Expect(f.room("b")).To(Equal(int64(2)))
		Expect(f.room("c")).To(BeZero())
	})

	It("is granted by the turns between the first and the last of each", func() {
		f := newFixture()
		f.free = cores(6)
		f.ask("a", waits(11, 1, 0, 10)) // 0, 10, 20 ...
		f.ask("b", waits(2, 1, 25, 40))
		f.share()
		Expect(f.room("a")).To(Equal(int64(5)))
		Expect(f.room("b")).To(Equal(int64(1)))
	})

	It("is granted by turns that move with the time", func() {
		f := newFixture()
		f.free = cores(1)
		f.ask("a", waits(1, 1, 40, 0))
		f.pass(20 * time.Millisecond)
		f.ask("b", waits(1, 1, 30, 0))
		Expect(f.share()).To(Equal([]string{"a"}))
	})

	It("that is left over is open to all", func() {
		f := newFixture()
		f.free = cores(5)
		f.ask("a", waits(1, 3, 0, 0))
		f.ask("b", waits(1, 3, 10, 0))
		f.share()
		Expect(f.room("a")).To(Equal(int64(5)))
		Expect(f.room("c")).To(Equal(int64(2)))
	})

	It("goes to the next once its owner has used what it could", func() {
		f := newFixture()
		f.free = cores(4)
		f.ask("a", waits(2, 2, 0, 0))
		f.ask("b", waits(2, 2, 10, 0))
		Expect(f.share()).To(Equal([]string{"a"}))
		f.use("a", 2)
		Expect(f.share()).To(Equal([]string{"b"}))
		Expect(f.room("a")).To(BeZero())
	})

	It("is told to others as work that waits, by priority", func() {
		f := newFixture()
		f.free = cores(2)
		f.ask("a", waits(4, 1, 10, 10))
		second := waits(2, 1, 5, 10)
		second.Priority = 1
		f.ask("b", waits(2, 1, 100, 50), second)
		f.share()
		Expect(f.table.WaitingElsewhere(f.now, "b")).To(Equal([]wire.WaitingWork{{FirstMS: 20, LastMS: 40, Work: 300}}))
		Expect(f.table.WaitingElsewhere(f.now, "c")).To(Equal([]wire.WaitingWork{
			{FirstMS: 20, LastMS: 150, Work: 500}, {Priority: 1, FirstMS: 15, LastMS: 15, Work: 100},
		}))
	})
})

var _ = Describe("a grant", func() {
	// held is a table whose two cores are granted to a, while b waits behind.
	held := func() *fixture {
		f := newFixture()
		f.free = cores(2)
		f.ask("a", waits(9, 2, 0, 1))
		f.ask("b", waits(9, 2, 500, 1))
		Expect(f.share()).To(Equal([]string{"a"}))
		return f
	}

	It("tells what has begun and what is overdue apart from what is on time", func() {
		f := newFixture()
		const far = 20 * 60 * 1000
		for _, first := range []int64{-far, 30, 40, far} {
			f.ask(fmt.Sprint("of ", first), waits(1, 1, first, 0))
		}
		Expect(f.table.WaitingElsewhere(f.now, "a")).To(HaveExactElements(
			HaveField("FirstMS", int64(-far)),
			And(HaveField("FirstMS", int64(30)), HaveField("LastMS", int64(40))),
			HaveField("FirstMS", int64(far))))
	})

	It("ends with the connection of its owner", func() {
		f := held()
		f.table.RemoveOwner("a")
		Expect(f.share()).To(Equal([]string{"b"}))
	})

	It("that is lost ends by itself", func() {
		f := held()
		f.pass(f.cfg.GrantTTL - time.Millisecond)
		Expect(f.share()).To(BeEmpty())
		f.pass(time.Millisecond)
		f.ask("a")
		Expect(f.share()).To(Equal([]string{"b"}))
	})

	It("ends when its owner asks anew, having seen it", func() {
		f := held()
		f.seen["a"] = f.stamp()
		f.ask("a", waits(1, 2, 900, 0))
		Expect(f.share()).To(Equal([]string{"b"}))
	})

	It("ends with the withdrawal of its ask, also unseen", func() {
		f := held()
		f.ask("a")
		Expect(f.share()).To(Equal([]string{"b"}))
	})

	It("is not ended by word of an earlier status, late or twice", func() {
		f := held()
		f.table.OrderReceived(f.now, "a", f.stamp()-1)
		f.table.OrderReceived(f.now, "a", f.stamp()-1)
		f.table.OrderReceived(f.now, "b", f.stamp())
		Expect(f.share()).To(BeEmpty())
		Expect(f.room("b")).To(BeZero())
	})

	It("is not ended by word of a status that came before it was told", func() {
		f := newFixture()
		f.ask("a", waits(5, 2, 0, 0))
		f.table.Allocate(f.now, f.free)
		f.table.OrderReceived(f.now, "a", f.stamp()-1)
		Expect(f.room("b")).To(BeZero())
	})

	It("that its owner has not seen counts against its next ask", func() {
		f := held()
		f.free = cores(6)
		f.ask("a", waits(2, 2, 0, 1))
		f.share()
		Expect(f.room("a")).To(Equal(int64(4)))
		Expect(f.room("b")).To(Equal(int64(2)))
	})

	It("is used by an order of its owner's that was on its way, and by no other's", func() {
		f := newFixture()
		f.free = cores(4)
		f.ask("a", waits(1, 2, 0, 0))
		f.ask("b", waits(1, 2, 10, 0))
		f.share()
		f.free = cores(2)
		f.table.OrdersAccepted("a", f.free)
		f.share()
		Expect(f.room("a")).To(BeZero())
		Expect(f.room("b")).To(Equal(int64(2)))
	})

	It("of the latest turn goes first when there is less room, and all when there is none", func() {
		f := newFixture()
		f.ask("a", waits(2, 3, 10, 30))
		f.ask("b", waits(1, 3, 20, 0))
		f.share()
		f.free = cores(7)
		f.share()
		Expect(f.room("a")).To(Equal(int64(4)))
		Expect(f.room("b")).To(Equal(int64(4)))
		f.share()
		f.free = durable.Resources{}
		Expect(f.share()).To(BeEmpty())
		Expect(f.table.Available("a", cores(7))).To(Equal(cores(7)))
	})
})

var _ = Describe("a coordinator that pauses", func() {
	// lapses lets what a was granted lapse, while b answers, and has both ask again.
	lapses := func(f *fixture) []string {
		told := f.share()
		f.use("b", 0)
		f.pass(f.cfg.GrantTTL)
		f.ask("a", waits(1, 2, -100, 0))
		f.ask("b", waits(1, 2, 500, 0))
		return told
	}

	It("comes last for a while, each time for longer, until it answers in time", func() {
		f := newFixture()
		f.free = cores(2)
		f.ask("a", waits(1, 2, -100, 0))
		f.ask("b", waits(1, 2, 500, 0))
		for range 3 {
			Expect(lapses(f)).To(Equal([]string{"a"}))
		}
		var times []int
		for range 7 {
			n := 0
			for told := lapses(f); told[0] == "b"; told = lapses(f) {
				n++
			}
			times = append(times, n)
		}
		Expect(times).To(Equal([]int{7, 14, 27, 54, 107, 107, 107}), "grants to b between two tries of a")
		for told := f.share(); told[0] == "b"; told = f.share() {
			f.use("b", 0)
			f.pass(f.cfg.GrantTTL)
			f.ask("a", waits(1, 2, -100, 0))
			f.ask("b", waits(1, 2, 500, 0))
		}
		f.use("a", 0)
		f.pass(time.Millisecond)
		f.ask("a", waits(1, 2, -100, 0))
		for range 3 {
			Expect(lapses(f)).To(Equal([]string{"a"}))
		}
		Expect(lapses(f)).To(Equal([]string{"b"}))
	})

	It("does not come last for one pause, of whatever many grants", func() {
		f := newFixture()
		f.ask("a", waits(10, 2, 0, 0))
		f.share()
		for range 4 {
			f.free = f.free.Add(cores(1))
			f.pass(4 * time.Millisecond)
			f.share()
		}
		f.seen["a"] = f.stamp()
		f.ask("a", waits(1, 2, 0, 0))
		Expect(f.share()).To(ContainElement("a"))
	})

	It("asks for nothing after its ask is over", func() {
		f := newFixture()
		f.ask("a", waits(1, 11, 0, 0))
		Expect(f.table.Sharing()).To(BeTrue())
		f.pass(f.cfg.RequestTTL)
		f.share()
		Expect(f.table.Sharing()).To(BeFalse())
	})
})

var _ = Describe("a coordinator that uses nothing of what it is granted", func() {
	It("comes last for a moment, so that the room is not its own for ever", func() {
		f := newFixture()
		f.free = cores(2)
		var granted []string
		for range 20 {
			f.ask("a", waits(9, 2, -100, 0))
			f.ask("b", waits(9, 2, 500, 0))
			told := f.share()
			granted = append(granted, told...)
			if told[0] == "b" {
				f.use("b", 0)
			}
			f.seen[told[0]] = f.stamp()
			f.pass(4 * time.Millisecond)
		}
		Expect(granted[:8]).To(Equal([]string{"a", "b", "b", "b", "b", "a", "b", "b"}))
	})

	It("is not said to have used it by an order that comes later", func() {
		f := newFixture()
		f.ask("a", waits(1, 2, 0, 0))
		f.share()
		f.table.OrderReceived(f.now, "a", f.stamp())
		f.pass(f.cfg.GrantTTL)
		f.use("a", 2)
		Expect(f.table.Events()).To(Equal([]room.Event{{What: room.Granted, Owner: "a"}}))
	})

	It("is told of it still where nobody else asks", func() {
		f := newFixture()
		f.free = cores(2)
		for range 20 {
			f.ask("a", waits(1, 2, 0, 0))
			Expect(f.share()).To(Equal([]string{"a"}))
			f.seen["a"] = f.stamp()
			f.pass(4 * time.Millisecond)
		}
	})
})

var _ = Describe("an ask", func() {
	It("that comes twice changes nothing", func() {
		f := newFixture()
		f.free = cores(1)
		m := f.ask("a", waits(2, 1, 0, 0))
		f.share()
		f.use("a", 1)
		f.table.Request(f.now, "a", m)
		f.free = cores(10)
		f.share()
		Expect(f.room("b")).To(Equal(int64(9)))
	})

	It("that is late, behind a newer one or its withdrawal, changes nothing", func() {
		f := newFixture()
		late := f.ask("a", waits(3, 2, 0, 0))
		f.ask("a", waits(1, 1, 0, 0))
		f.table.Request(f.now, "a", late)
		f.share()
		Expect(f.room("b")).To(Equal(int64(9)))
		f.ask("a")
		f.table.Request(f.now, "a", late)
		Expect(f.table.Sharing()).To(BeFalse())
	})

	It("for more than the whole server blocks nobody", func() {
		f := newFixture()
		f.ask("a", waits(1, 11, -500, 0))
		f.ask("b", waits(10, 1, 0, 0))
		for range 20 {
			f.pass(10 * time.Millisecond)
			f.ask("a", waits(1, 11, -500, 0))
			f.share()
		}
		Expect(f.room("b")).To(Equal(int64(10)))
	})

	It("for much is not passed over for ever", func() {
		f := newFixture()
		f.free = cores(2)
		granted := 0
		for ; granted == 0 && f.now.Before(time.Unix(1001, 0)); f.pass(10 * time.Millisecond) {
			f.ask("a", waits(1, 8, -100, 0))
			f.ask("b", waits(9, 1, 0, 0))
			for _, owner := range f.share() {
				if owner == "a" {
					granted++
				}
			}
			if f.table.Available("b", f.free).CPU > 0 {
				f.use("b", 1)
			}
			f.free = f.free.Add(cores(1)) // an end
		}
		Expect(granted).To(Equal(1))
		Expect(f.now.Sub(time.Unix(1000, 0))).To(BeNumerically("<", 250*time.Millisecond))
	})

	It("of odd figures is bounded", func() {
		f := newFixture()
		odd := wire.RoomWait{WaitingWork: wire.WaitingWork{FirstMS: -1 << 62, LastMS: 1 << 62, Work: -5}, Tasks: 1 << 31}
		negative := odd
		negative.Need = durable.Resources{CPU: -1000, Memory: 1}
		f.free.Memory = 1 << 40
		f.ask("a", odd, negative)
		f.table.SetCapacity(f.free)
		f.share()
		Expect(f.room("b")).To(Equal(int64(10)))
		Expect(f.table.WaitingElsewhere(f.now, "b")).To(BeEmpty())
	})
})
