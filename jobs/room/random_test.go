package room_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/wire"
)

// draw returns waits of one ask.
func draw(t *rapid.T) []wire.RoomWait {
	rows := make([]wire.RoomWait, rapid.IntRange(0, 3).Draw(t, "rows"))
	for i := range rows {
		rows[i] = waits(rapid.IntRange(0, 5).Draw(t, "tasks"), rapid.IntRange(0, 12).Draw(t, "cores"), rapid.Int64Range(-300, 300).Draw(t, "first"), rapid.Int64Range(-5, 50).Draw(t, "gap"))
		rows[i].Priority = int32(i)
		rows[i].Need.GPU = rapid.Int64Range(0, 1).Draw(t, "gpu")
	}
	return rows
}

// TestNothingBeyondTheRoom draws asks, orders, ends, lost connections and servers that shrink,
// in any order: what is granted, kept and used is never more than there is, and nobody is
// told of more than is free.
func TestNothingBeyondTheRoom(t *testing.T) {
	none := durable.Resources{}
	rapid.Check(t, func(t *rapid.T) {
		f := newFixture()
		whole := f.free.Add(durable.Resources{GPU: 2})
		f.free = whole
		var used []durable.Resources
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			owner := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "owner")
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				f.ask(owner, draw(t)...)
			case 1:
				need := durable.Resources{CPU: 1000 * rapid.Int64Range(1, 4).Draw(t, "need")}
				f.table.OrderReceived(f.now, owner, f.stamp()-rapid.Int64Range(0, 20000).Draw(t, "seen"))
				if need.Fits(f.table.Available(owner, f.free)) {
					used, f.free = append(used, need), f.free.Sub(need)
					f.table.OrdersAccepted(owner, f.free)
				}
			case 2:
				if len(used) > 0 {
					f.free, used = f.free.Add(used[0]), used[1:]
				}
			case 3:
				f.table.RemoveOwner(owner)
			case 4:
				shrunk := durable.Resources{CPU: 1000 * rapid.Int64Range(5, 10).Draw(t, "whole"), GPU: 2}
				f.free, whole = f.free.Sub(whole).Add(shrunk), shrunk
				f.table.SetCapacity(whole)
			}
			f.share()
			f.pass(time.Duration(rapid.IntRange(0, 20).Draw(t, "ms")) * time.Millisecond)
			if open := f.table.Available("stranger", f.free); none.Fits(f.free) && !none.Fits(open) {
				t.Fatalf("%v is free; less what is granted and kept, %v", f.free, open)
			}
			for _, o := range []string{"a", "b", "c"} {
				if !f.table.Available(o, f.free).Fits(f.free) {
					t.Fatalf("%s is told of %v; %v is free", o, f.table.Available(o, f.free), f.free)
				}
			}
		}
	})
}

// TestFirstIsGranted has the first of all that waits come to a server that is in use, and ask
// for any share of it, while others with later turns take what they may: it is granted room
// within the time for which it may be passed over and that of the longest run.
func TestFirstIsGranted(t *testing.T) {
	const longest, passed, step, before = 100, 100, 5, 200 // ms
	rapid.Check(t, func(t *rapid.T) {
		f := newFixture()
		need := rapid.IntRange(1, 10).Draw(t, "need")
		ends := make(map[int]int64) // cores by ms
		for ms := -before; ms <= longest+passed+2*step; ms += step {
			f.free = f.free.Add(cores(ends[ms]))
			if ms >= 0 {
				f.ask("first", waits(1, need, int64(-500-ms), 0))
			}
			for _, owner := range []string{"a", "b"} {
				n := rapid.IntRange(1, 10).Draw(t, "cores")
				f.ask(owner, waits(3, n, int64(-400+ms), 1))
			}
			for _, owner := range f.share() {
				if owner == "first" {
					return
				}
				n := f.room(owner)
				f.use(owner, n)
				ends[ms+step*rapid.IntRange(1, longest/step).Draw(t, "run")] += n
			}
			f.pass(step * time.Millisecond)
		}
		t.Fatalf("%d of 10 cores were never granted", need)
	})
}

// TestSizes works out what the messages of asks and grants weigh where all is an overload: 960
// workers, 22 coordinators, 65,000 starts a second. Each worker has so many coordinators as
// windows have workers, over how many there are.
func TestSizes(t *testing.T) {
	g := NewWithT(t)
	const (
		workers, coordinators, starts = 960, 22, 65_000
		window                        = 175 // workers of a coordinator
		asks                          = 20  // a second from a coordinator to each
		priorities                    = 3
		back                          = 48 // of a hundred orders in a race
	)
	work := wire.WaitingWork{Priority: 2, FirstMS: -120, LastMS: 900, Work: 250_000}
	reference := wire.RunRef{Task: durable.TaskID{Job: "5c0e7a21d94b36f8", Index: 3}, Run: 1}
	ask := &wire.CapacityRequest{Seq: 40_000, Seen: 1 << 40}
	status := &wire.WorkerStatus{Stamp: 1 << 40, HeartbeatSeq: 40_000, StartSeq: 40_000, Ready: true, Free: cores(2), TimeFactor: 160, Slowness: 100}
	bare := frame(g, status)
	for range priorities {
		ask.Waits = append(ask.Waits, wire.RoomWait{WaitingWork: work, Need: durable.Resources{CPU: 1500, Memory: 2048}, Tasks: 40})
		status.Waiting = append(status.Waiting, work)
	}
	each := window * coordinators / workers
	perCoordinator := starts / coordinators
	order := &wire.StartRuns{Seq: 40_000, Seen: 1 << 40, Runs: []wire.RunOrder{{Ref: reference, Epoch: 7, Need: cores(2), EstimateMS: 400, LimitMS: 1200}}}
	handed := &wire.RunEnds{Ends: []wire.RunEnd{{Ref: reference, How: uint8(wire.EndNotRun), Reason: "busy"}}}
	returned := perCoordinator * back / (100 - back) * (frame(g, order) + frame(g, handed) + bare)
	raced := perCoordinator * each * bare
	shared := perCoordinator * 2 * frame(g, status) // to the owner of the end, and of the grant
	asked := window * asks * frame(g, ask)
	t.Logf("an ask %d B, a status %d B, with what waits elsewhere %d B", frame(g, ask), bare, frame(g, status))
	t.Logf("KB/s of a coordinator: asks %d, statuses %d; in a race statuses %d, orders that come back %d", asked/1000, shared/1000, raced/1000, returned/1000)
	t.Logf("KB/s of a worker: asks %.1f", float64(each*asks*frame(g, ask))/1000)
	g.Expect(asked + shared).To(BeNumerically("<", raced+returned))
	g.Expect(frame(g, ask)).To(BeNumerically("<=", 110))
	g.Expect(frame(g, status)).To(BeNumerically("<=", 120))
	g.Expect(each*asks*frame(g, ask)).To(BeNumerically("<", 10_000), "a worker may use 20 KB/s")
}

func frame(g *WithT, m wire.Message) int {
	b, err := wire.Append(nil, m)
	g.Expect(err).NotTo(HaveOccurred())
	return len(b)
}
