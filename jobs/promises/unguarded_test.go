package promises

import (
	"testing"
	"time"
)

// What cases with unguarded servers have beside the others, so that what is ordered
// out twice is seen.
const (
	largeNeeds    = 2.4 // tasks are so much larger: up to nine tenths of a server
	moreJobs      = 140
	briefKills    = 8 // workers that are back while their runs still have a lease
	briefKillMost = 400 * time.Millisecond
)

// TestUnguarded plays cases in which the backend servers start whatever they are told
// to, so that the room at each is the system's to keep: through deaths of workers and
// coordinators, late orders, lost answers, stops under way and replaced servers.
func TestUnguarded(t *testing.T) {
	t.Parallel()
	cases := number("LICHENFALL_CASES", defaultCases)
	seed := number("LICHENFALL_SEED", defaultSeed)
	runs := 0
	for i := range cases {
		w := playUnguarded(seed+i, allFaults)
		if w.violation != "" {
			t.Fatalf("seed %d: %s", seed+i, w.violation)
		}
		runs += w.counts["runs"]
	}
	t.Logf("%d cases, %d runs, none beyond a server's capacity", cases, runs)
}

// playUnguarded plays one such case, with faults of the first kinds.
func playUnguarded(seed uint64, kinds int) *world {
	w := newWorld(seed)
	w.unguarded = true
	for n := range moreJobs {
		w.after(warmUp+w.between(0, troubles), newClientJob(w, jobsInCase+n, w.chance(0.7)).send)
	}
	for range briefKills {
		w.after(warmUp+w.between(0, troubles), func() {
			w.killWorker(w.random.IntN(workerCount), w.between(20*time.Millisecond, briefKillMost))
		})
	}
	w.play(kinds)
	return w
}
