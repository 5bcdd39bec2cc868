package promises

import (
	"testing"
	"time"
)

// What the cases with late control goroutines have beside the others.
const (
	defaultStallCases = 3 // unless LICHENFALL_CASES says so
	stallCount        = 16
	stallJobs         = 120
	longRuns          = 1500 * time.Millisecond
	lostStops         = 8
	lostStopsFor      = 3 * time.Second
	refusals          = 60
	maxRefusal        = 150 * time.Millisecond
)

// lateCase is a kind of case with late control goroutines.
type stallCase struct {
	name      string
	kinds     int  // of faults beside
	long      bool // runs last longRuns
	refusals  bool // servers refuse orders for moments
	cuts      bool // workers are cut off, and what was sent into the cut comes late
	frozen    bool // whole processes stand still too
	lostStops bool // servers do not answer stops for moments, and carry them out late
}

// lateCases are those kinds; the first ones are played always.
var stallCases = []stallCase{
	{name: "frozen, cuts", frozen: true, cuts: true},
	{name: "all faults, long runs", kinds: allFaults, long: true},
	{name: "cuts and lost stops, long runs", cuts: true, long: true, lostStops: true},
	{name: "no other faults"},
	{name: "no other faults, long runs", long: true},
	{name: "all faults", kinds: allFaults},
	{name: "cuts", cuts: true},
	{name: "cuts, long runs", cuts: true, long: true},
	frozenLong,
}

var frozenLong = stallCase{name: "frozen, long runs", frozen: true, long: true}

// TestLateGoroutines plays cases of these kinds in turn: control goroutines of coordinators and
// workers are late, calls to backend servers cross, and no caller sends a best-effort job twice.
func TestLateGoroutines(t *testing.T) {
	t.Parallel()
	cases := envNumber("LICHENFALL_CASES", defaultStallCases)
	seed := envNumber("LICHENFALL_SEED", defaultSeed)
	runs, late, frozen := 0, 0, 0
	for i := range cases {
		k := stallCases[i%uint64(len(stallCases))]
		w := runStalls(seed+i, k)
		if w.violation != "" {
			t.Errorf("seed %d, %s: %s", seed+i, k.name, w.violation)
		}
		runs += w.counts["runs"]
		late += w.counts["late goroutines"]
		frozen += w.counts["frozen processes"]
	}
	t.Logf("%d cases, %d runs, %d late goroutines, %d frozen processes", cases, runs, late, frozen)
}

// refusedStarts is the kind of case with orders that backend servers refuse.
var refusedStarts = stallCase{name: "refusals", refusals: true}

// The seeds of cases in which a late worker repeated an order to start whose refusal it had yet
// to handle: it told the owner that the run was not begun, and the repeat began it.
var refusedStartRegressions = []failedSeed{
	{20261202, "a kept task ran twice after a repeated start"},
	{20261213, "the task was ordered again at the same worker beside the run that a repeat began"},
	{20261227, "the same at another worker"},
}

// The same where no server refuses orders of itself: one came when its lease was over, by a
// clock that the worker had read before it was frozen.
var lateStartRegressions = []failedSeed{
	{30000100, "the first copy was refused as late, and its repeat under a new lease was not"},
}

// An order to start whose refusal waits for a late worker must not be repeated: the repeat
// begins a run that the worker has called not begun.
func TestRefusedStartIsNotRepeatedByLateWorker(t *testing.T) {
	t.Parallel()
	replay(t, refusedStartRegressions, func(seed uint64) *world { return runStalls(seed, refusedStarts) })
	replay(t, lateStartRegressions, func(seed uint64) *world { return runStalls(seed, frozenLong) })
}

func runStalls(seed uint64, k stallCase) *world {
	w := newWorldWith(seed, func(w *world) { w.announceJobs, w.noResends, w.reorderCalls = true, true, true })
	if k.long {
		w.taskTime = longRuns
	}
	for range stallCount {
		w.after(warmUp+w.between(0, faultPhase), w.stallOne)
	}
	if k.frozen {
		w.shuffleInbox = true
		for range stallCount {
			w.after(warmUp+w.between(0, faultPhase), w.freezeOne)
		}
	}
	if k.refusals {
		for range refusals {
			w.after(warmUp+w.between(0, faultPhase), w.refuseBriefly)
		}
	}
	if k.cuts {
		w.lateLinks = true
		for range workerCuts {
			w.after(warmUp+w.between(0, faultPhase), w.cutWorker)
		}
	}
	if k.lostStops {
		for range lostStops {
			w.after(warmUp+w.between(0, faultPhase), w.loseStops)
		}
	}
	for n := range stallJobs {
		j := newClientJob(w, jobsInCase+n, true)
		if k.long {
			j.setEstimates(longRuns)
		}
		w.after(warmUp+w.between(0, faultPhase), j.send)
	}
	w.runCase(k.kinds)
	return w
}

// refuseBriefly has a backend server refuse orders for a moment, in which its worker is late.
func (w *world) refuseBriefly() {
	n := w.workers[w.random.IntN(workerCount)]
	n.backend.refusing = true
	w.after(w.between(5*time.Millisecond, maxRefusal), func() { n.backend.refusing = false })
	if w.chance(0.5) {
		w.after(w.between(0, maxRefusal), func() { n.stallFor(w.between(minStall, time.Second)) })
	}
}

// loseStops has a backend server leave orders to stop without an answer for a while, in which
// its worker is late.
func (w *world) loseStops() {
	n := w.workers[w.random.IntN(workerCount)]
	n.backend.lateStops = true
	w.after(w.between(0, time.Second), func() { n.stallFor(w.between(minStall, time.Second)) })
	w.after(lostStopsFor, func() { n.backend.lateStops = false })
}

// expect sets the estimates of the job's steps to how long its runs take.
func (j *clientJob) setEstimates(taskTime time.Duration) {
	for i := range j.submission.Steps {
		j.submission.Steps[i].EstimateMS = taskTime.Milliseconds()
	}
}
