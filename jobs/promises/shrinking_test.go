package promises

import (
	"testing"
	"time"

	"github.com/lichenfall/lichenfall/jobs/durable"
)

// Further constants of the cases with changing capacities.
const (
	resizes = 20
	// shrinkGrace is the time after which a capacity that has shrunk counts: the time that the
	// users' platform gives boxes without faults to be in touch, and the interval of a backend
	// server's heartbeats.
	shrinkGrace = 3500 * time.Millisecond
)

// TestShrinkingRoom runs cases in which the capacities of backend servers shrink and grow while
// tasks run there. The servers start whatever they are ordered to.
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

// resizeOne reduces the capacity of a backend server for some seconds, possibly to less than any
// task needs.
func (w *world) resizeOne() {
	b := w.workers[w.random.IntN(workerCount)].backend
	full := durable.Resources{CPU: 8000, Memory: 8000}
	small := full
	small.CPU = int64(w.between(500, 8000))
	b.resize(small)
	w.after(w.between(time.Second, 8*time.Second), func() { b.resize(full) })
}
