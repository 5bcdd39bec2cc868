package promises

import (
	"testing"
	"time"
)

// Further constants of the cases with restarts under the same ID.
const (
	restartCases  = 4 // by default; the seeds that failed once are replayed too
	restarts      = 30
	shortDowntime = 5 * time.Millisecond // a restart that no call detects
	longDowntime  = 600 * time.Millisecond
	restartJobs   = 120
	workerPause   = 400 * time.Millisecond // in which a worker does not see a restart
)

// restartRegressions are the seeds that failed while restarts under the same ID were being
// supported.
var restartRegressions = []failedSeed{
	{20261203, "a run that was ordered from one incarnation and executed by the next was started elsewhere too"},
	{20261238, "an order that was on its way when a connection was refused reached the next incarnation"},
}

// TestReborn runs cases in which backend servers crash and restart under the same ID, most of them
// so soon that orders for the former incarnation reach the next one. Some restart while their
// worker is paused.
func TestReborn(t *testing.T) {
	t.Parallel()
	cases := envNumber("LICHENFALL_CASES", restartCases)
	seed := envNumber("LICHENFALL_SEED", defaultSeed)
	replay(t, restartRegressions, func(seed uint64) *world { return runRestarts(seed, 0) })
	for _, kinds := range []int{0, allFaults} {
		counts := make(map[string]int)
		for i := range cases {
			w := runRestarts(seed+i, kinds)
			if w.violation != "" {
				t.Fatalf("seed %d with %d kinds of faults: %s", seed+i, kinds, w.violation)
			}
			for name, n := range w.counts {
				counts[name] += n
			}
		}
		t.Logf("%d kinds of faults: %d cases, %d renewals at a later incarnation, %d starts by one", kinds, cases,
			counts["renewals at a later incarnation"], counts["starts by a later incarnation"])
		if counts["starts by a later incarnation"] == 0 {
			t.Fatal("no order reached a later incarnation")
		}
	}
}

func runRestarts(seed uint64, kinds int) *world {
	w := newWorldWith(seed, func(w *world) { w.reusesID = true })
	for range restarts {
		w.after(warmUp+w.between(0, faultPhase), w.restartBackend)
	}
	for n := range restartJobs {
		w.after(warmUp+w.between(0, faultPhase), newClientJob(w, jobsInCase+n, w.chance(0.8)).send)
	}
	w.runCase(kinds)
	return w
}

// restartBackend has one backend server crash and restart.
func (w *world) restartBackend() {
	n := w.workers[w.random.IntN(len(w.workers))]
	b := n.backend
	if !b.up {
		return
	}
	if n.alive && !n.paused && w.chance(0.3) {
		n.pause()
		incarnation := n.incarnation
		w.after(workerPause, func() {
			if n.incarnation == incarnation && n.paused {
				n.wake()
			}
		})
	}
	b.crash()
	back := w.between(shortDowntime, longDowntime)
	if w.chance(0.5) {
		back = shortDowntime
	}
	w.after(back, func() {
		if !b.up {
			b.restart()
		}
	})
}
