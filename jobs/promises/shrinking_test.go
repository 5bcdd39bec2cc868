package promises

import (
	"testing"
	"time"

	"github.com/lichenfall/lichenfall/jobs/durable"
)

// What the cases with changing capacities have beside the others.
const (
	resizes = 20
	// shrinkGrace is after how long a capacity that has shrunk counts: the users' platform
	// gives the time in which calm boxes are in touch, and a heartbeat of a backend server.
	shrinkGrace = 3500 * time.Millisecond
)

// TestShrinkingRoom plays cases in which the capacities of backend servers that start
// whatever they are told to shrink and grow while tasks run there.
func TestShrinkingRoom(t *testing.T) {
	t.Parallel()
	cases := envNumber("LICHENFALL_CASES", fewerCases)
	seed := envNumber("LICHENFALL_SEED", defaultSeed)
	runs := 0
	for i := range cases {
		w := newWorld(seed + i)
		w.unguarded = true
		for range resizes {
			w.after(warmUp+w.between(0, faultPhase), w.resizeOne)
		}
		for n := range unguardedJobs {
			w.after(warmUp+w.between(0, faultPhase), newClientJob(w, jobsInCase+n, w.chance(0.7)).send)
		}
		w.runCase(allFaults)
		if w.violation != "" {
			t.Fatalf("seed %d: %s", seed+i, w.violation)
		}
		runs += w.counts["runs"]
	}
	t.Logf("%d cases, %d runs, none beyond a server's capacity", cases, runs)
}

// resizeOne changes the capacity of a backend server: for some seconds to less, down to
// what no task fits into.
func (w *world) resizeOne() {
	b := w.workers[w.random.IntN(workerCount)].backend
	full := durable.Resources{CPU: 8000, Memory: 8000}
	small := full
	small.CPU = int64(w.between(500, 8000))
	b.resize(small)
	w.after(w.between(time.Second, 8*time.Second), func() { b.resize(full) })
}
