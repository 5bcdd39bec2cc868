package room_test

import (
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
	f.table.Resize(cores(10))
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
func (f *fixture) ask(owner string, rows ...wire.RoomWait) *wire.RoomAsk {
	f.seq++
	m := &wire.RoomAsk{Seq: f.seq, Seen: f.seen[owner], Waits: rows}
	f.table.Ask(f.now, owner, m)
	return m
}

// share shares what is free, and tells those who are granted some.
func (f *fixture) share() []string {
	told := f.table.Share(f.now, f.free)
	for _, owner := range told {
		f.table.Told(f.now, owner, f.stamp())
	}
	return told
}

func (f *fixture) stamp() int64 { return f.now.UnixMicro() }

func (f *fixture) pass(d time.Duration) { f.now = f.now.Add(d) }

// use has the owner order tasks of so many cores with what it was told by now.
func (f *fixture) use(owner string, n int64) {
	f.seen[owner] = f.stamp()
	f.table.Ordered(f.now, owner, f.seen[owner])
	f.free = f.free.Sub(cores(n))
	f.table.Took(owner, f.free)
}

// room returns how many cores the owner may use.
func (f *fixture) room(owner string) int64 { return f.table.Free(owner, f.free).CPU / 1000 }

var _ = Describe("room", func() {
	It("is everybody's while nobody asks", func() {
		f := newFixture()
		Expect(f.share()).To(BeEmpty())
		Expect(f.room("a")).To(Equal(int64(10)))
		Expect(f.table.Asked()).To(BeFalse())
		Expect(f.table.Waiting(f.now, "a")).To(BeEmpty())
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
})
