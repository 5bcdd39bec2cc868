package room_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/wire"
)

// drawRows returns the waiting tasks of one request.
func drawRows(t *rapid.T) []wire.WaitingGroup {
	rows := make([]wire.WaitingGroup, rapid.IntRange(0, 3).Draw(t, "rows"))
	for i := range rows {
		rows[i] = waits(rapid.IntRange(0, 5).Draw(t, "tasks"), rapid.IntRange(0, 12).Draw(t, "cores"), rapid.Int64Range(-300, 300).Draw(t, "first"), rapid.Int64Range(-5, 50).Draw(t, "gap"))
		rows[i].Priority = int32(i)
		rows[i].Need.GPU = rapid.Int64Range(0, 1).Draw(t, "gpu")
	}
	return rows
}

// TestNeverMoreThanCapacity draws requests, orders, ends of runs, lost connections and shrinking
// backend servers in any order. What is granted, reserved and used together never exceeds the
// capacity, and no coordinator is offered more than is free.
func TestNeverMoreThanCapacity(t *testing.T) {
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
				f.request(owner, drawRows(t)...)
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
			f.allocate()
			f.pass(time.Duration(rapid.IntRange(0, 20).Draw(t, "ms")) * time.Millisecond)
			if rest := f.table.Available("stranger", f.free); none.Fits(f.free) && !none.Fits(rest) {
				t.Fatalf("%v is free; without what is granted and reserved, %v", f.free, rest)
			}
			for _, o := range []string{"a", "b", "c"} {
				if !f.table.Available(o, f.free).Fits(f.free) {
					t.Fatalf("%s is offered %v; %v is free", o, f.table.Available(o, f.free), f.free)
				}
			}
		}
	})
}

// TestEarliestIsGranted sends the request with the earliest virtual deadline to the worker of a
// backend server that is in use. Its task needs one to ten of the server's ten cores, and
// coordinators with later deadlines take all that they are offered. The task is granted capacity
// within the time for which it may be bypassed plus the longest run.
func TestEarliestIsGranted(t *testing.T) {
	const longestRun, maxBypass, step, before = 100, 100, 5, 200 // ms
	rapid.Check(t, func(t *rapid.T) {
		f := newFixture()
		need := rapid.IntRange(1, 10).Draw(t, "need")
		ends := make(map[int]int64) // cores that come free, by ms
		for ms := -before; ms <= longestRun+maxBypass+2*step; ms += step {
			f.free = f.free.Add(cores(ends[ms]))
			if ms >= 0 {
				f.request("first", waits(1, need, int64(-500-ms), 0))
			}
			for _, owner := range []string{"a", "b"} {
				n := rapid.IntRange(1, 10).Draw(t, "cores")
				f.request(owner, waits(3, n, int64(-400+ms), 1))
			}
			for _, owner := range f.allocate() {
				if owner == "first" {
					return
				}
				n := f.available(owner)
				f.use(owner, n)
				ends[ms+step*rapid.IntRange(1, longestRun/step).Draw(t, "run")] += n
			}
			f.pass(step * time.Millisecond)
		}
		t.Fatalf("%d of 10 cores were never granted", need)
	})
}

// TestMessageSizes calculates the traffic of requests and grants in an overloaded installation:
// 960 workers, 22 coordinators, 65,000 starts a second. Each coordinator uses a window of 175 of
// the workers, so each worker has window * coordinators / workers coordinators.
func TestMessageSizes(t *testing.T) {
	g := NewWithT(t)
	const (
		workers, coordinators, starts = 960, 22, 65_000
		window                        = 175 // workers of a coordinator
		requests                      = 20  // a second from a coordinator to each of its workers
		priorities                    = 3
		refused                       = 48 // of a hundred orders, when capacity is not shared by grants
	)
	work := wire.WaitingWork{Priority: 2, FirstMS: -120, LastMS: 900, Work: 250_000}
	reference := wire.RunRef{Task: durable.TaskID{Job: "5c0e7a21d94b36f8", Index: 3}, Run: 1}
	request := &wire.CapacityRequest{Seq: 40_000, Seen: 1 << 40}
	status := &wire.WorkerStatus{Stamp: 1 << 40, HeartbeatSeq: 40_000, StartSeq: 40_000, Ready: true, Free: cores(2), TimeFactor: 160, Slowness: 100}
	bare := frame(g, status)
	for range priorities {
		request.Waits = append(request.Waits, wire.WaitingGroup{WaitingWork: work, Need: durable.Resources{CPU: 1500, Memory: 2048}, Tasks: 40})
		status.Waiting = append(status.Waiting, work)
	}
	perWorker := window * coordinators / workers
	perCoordinator := starts / coordinators
	order := &wire.StartRuns{Seq: 40_000, Seen: 1 << 40, Runs: []wire.RunOrder{{Ref: reference, Epoch: 7, Need: cores(2), EstimateMS: 400, LimitMS: 1200}}}
	refusal := &wire.RunEnds{Ends: []wire.RunEnd{{Ref: reference, How: uint8(wire.EndNotRun), Reason: "busy"}}}
	refusals := perCoordinator * refused / (100 - refused) * (frame(g, order) + frame(g, refusal) + bare)
	unshared := perCoordinator * perWorker * bare
	shared := perCoordinator * 2 * frame(g, status) // to the owner of the run that ended, and of the grant
	requested := window * requests * frame(g, request)
	t.Logf("a request %d B, a status %d B, with the work that waits elsewhere %d B", frame(g, request), bare, frame(g, status))
	t.Logf("KB/s of a coordinator: requests %d, statuses %d; first come, first served: statuses %d, refused orders %d", requested/1000, shared/1000, unshared/1000, refusals/1000)
	t.Logf("KB/s of a worker: requests %.1f", float64(perWorker*requests*frame(g, request))/1000)
	g.Expect(requested + shared).To(BeNumerically("<", unshared+refusals))
	g.Expect(frame(g, request)).To(BeNumerically("<=", 110))
	g.Expect(frame(g, status)).To(BeNumerically("<=", 120))
	g.Expect(perWorker*requests*frame(g, request)).To(BeNumerically("<", 10_000), "a worker may use 20 KB/s")
}

func frame(g *WithT, m wire.Message) int {
	b, err := wire.Append(nil, m)
	g.Expect(err).NotTo(HaveOccurred())
	return len(b)
}
