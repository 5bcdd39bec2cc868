package promises

import (
	"testing"
	"time"
)

// Further constants of the cases with unguarded servers; they make capacity short, so that capacity
// that is used twice is detected.
const (
	needFactor    = 2.4 // by which tasks need more: up to nine tenths of a server
	unguardedJobs = 140
	briefKills    = 8 // of workers that are back while the lease of their runs lasts
	maxBriefKill  = 400 * time.Millisecond
)

// TestUnguarded runs cases in which the backend servers start whatever they are ordered to, so that
// only coordinators and workers keep within their capacities: through deaths of workers and
// coordinators, late orders, lost answers, slow stops and replaced servers.
func TestUnguarded(t *testing.T) {
	t.Parallel()
	cases := envNumber("LICHENFALL_CASES", defaultCases)
	seed := envNumber("LICHENFALL_SEED", defaultSeed)
	runs := 0
	for i := range cases {
		w := runUnguarded(seed+i, allFaults)
		if w.violation != "" {
			t.Fatalf("seed %d: %s", seed+i, w.violation)
		}
		runs += w.counts["runs"]
	}
	t.Logf("%d cases, %d runs, none beyond a server's capacity", cases, runs)
}

// runUnguarded runs one such case, with faults of the first kinds.
func runUnguarded(seed uint64, kinds int) *world {
	w := newWorld(seed)
	w.unguarded = true
	for n := range unguardedJobs {
		w.after(warmUp+w.between(0, faultPhase), newClientJob(w, jobsInCase+n, w.chance(0.7)).send)
	}
	for range briefKills {
		w.after(warmUp+w.between(0, faultPhase), func() {
			w.killWorker(w.random.IntN(workerCount), w.between(20*time.Millisecond, maxBriefKill))
		})
	}
	w.runCase(kinds)
	return w
}
