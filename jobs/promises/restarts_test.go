package promises

import (
	"testing"
	"time"
)

// What the cases with servers that keep their ID have beside the others.
const (
	restartCases  = 4 // by default: the seeds that ever failed are replayed beside them
	restarts      = 30
	shortDowntime = 5 * time.Millisecond // a restart that no call notices
	longDowntime  = 600 * time.Millisecond
	restartJobs   = 120
	workerPause   = 400 * time.Millisecond // of the worker over a restart
)

// The seeds that failed while the change was made.
var restartRegressions = []failedSeed{
	{20261203, "a run that was ordered of the life before, and carried out by the next, began elsewhere too"},
	{20261238, "an order on its way, when the connection was refused, met the next life"},
}

// TestReborn plays cases in which backend servers crash and start again under the ID that
// they had, most of them so soon that orders meant for the life before reach the next one;
// some behind the back of a worker that is paused meanwhile.
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
		t.Logf("%d kinds of faults: %d cases, %d renewals at a later life, %d starts by one", kinds, cases,
			counts["renewals at a later life"], counts["starts by a later life"])
		if counts["starts by a later life"] == 0 {
			t.Fatal("no order reached a later life")
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

// rebirth has one backend server crash and start again.
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
