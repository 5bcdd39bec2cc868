package promises

import (
	"testing"
)

// TestCutLists guards against tasks that start again after they have ended, since their ends are
// missing from a list that has only the first ends: those that no coordinator could acknowledge
// while the store was away, or a process paused or dead.
func TestCutLists(t *testing.T) {
	t.Parallel()
	cases := envNumber("LICHENFALL_CASES", defaultCases)
	seed := envNumber("LICHENFALL_SEED", defaultSeed)
	cut := 0
	for i := range cases {
		w := newWorldWith(seed+i, func(w *world) {
			w.listedEnds = 1 + int(seed+i)%3
			w.announceJobs = true
		})
		w.runCase(allFaults)
		if w.violation != "" {
			t.Errorf("seed %d: %s", seed+i, w.violation)
		}
		cut += w.counts["cut lists"]
	}
	t.Logf("%d cases, %d lists without the last ends", cases, cut)
}
