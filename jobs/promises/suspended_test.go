package promises

import (
	"testing"
	"time"
)

// Further constants of the cases with suspended boxes.
const (
	suspensions   = 6
	maxSuspension = 6 * time.Second
)

// suspendedRegressions are seeds that failed once, each with its cause.
var suspendedRegressions = []failedSeed{
	{20261250, "the answer to a query about runs was applied to a later run"},
	{20261297, "an answer that the store had confirmed before a suspension was sent after it"},
	{20261351, "a superseded owner answered from memory: by a clock that had stood still, its last join was recent"},
}

// TestSuspended runs cases in which boxes are suspended for seconds, without other faults and with
// all of them. The monotonic clock of a process does not count that time: a lease that the process
// measures by it looks valid long after it has expired.
func TestSuspended(t *testing.T) {
	t.Parallel()
	cases := envNumber("LICHENFALL_CASES", fewerCases)
	seed := envNumber("LICHENFALL_SEED", defaultSeed)
	for _, kinds := range []int{0, allFaults} {
		replay(t, suspendedRegressions, func(seed uint64) *world { return runSuspended(seed, kinds) })
	}
	for _, kinds := range []int{0, allFaults} {
		runs := 0
		for i := range cases {
			w := runSuspended(seed+i, kinds)
			if w.violation != "" {
				t.Fatalf("seed %d with %d kinds of faults: %s", seed+i, kinds, w.violation)
			}
			runs += w.counts["runs"]
		}
		t.Logf("%d kinds of faults: %d cases, %d runs", kinds, cases, runs)
	}
}

// runSuspended runs one case in which boxes of coordinators and workers are suspended.
func runSuspended(seed uint64, kinds int) *world {
	w := newWorld(seed)
	for range suspensions {
		w.after(warmUp+w.between(0, faultPhase), func() {
			n := w.random.IntN(coordinatorCount + workerCount)
			length := w.between(200*time.Millisecond, maxSuspension)
			if n < coordinatorCount {
				w.coordinators[n].suspendFor(length)
				return
			}
			w.workers[n-coordinatorCount].suspendFor(length)
		})
	}
	w.runCase(kinds)
	return w
}
