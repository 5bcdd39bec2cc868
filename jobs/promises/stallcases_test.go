package promises

import (
	"testing"
	"time"
)

// Further constants of the cases with stalled control goroutines.
const (
	defaultStallCases = 3 // unless LICHENFALL_CASES is set
	stallCount        = 16
	stallJobs         = 120
	longRuns          = 1500 * time.Millisecond
	lostStops         = 8
	lostStopsFor      = 3 * time.Second
	refusals          = 60
	maxRefusal        = 150 * time.Millisecond
)

// stallCase is a kind of case with stalled control goroutines.
type stallCase struct {
	name      string
	kinds     int  // of other faults
	long      bool // runs take longRuns
	refusals  bool // servers refuse orders for short times
	cuts      bool // workers are cut off, and what was sent into the cut arrives late
	frozen    bool // whole processes are stopped too
	lostStops bool // servers do not answer stops for some time, and execute them late
}

// stallCases are the kinds that TestLateGoroutines runs in turn: by default only the first few.
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

// TestLateGoroutines runs cases of stallCases in turn: control goroutines of coordinators and
// workers stall, calls to backend servers overtake each other, and no caller sends a best-effort
// job twice.
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
		late += w.counts["stalled goroutines"]
		frozen += w.counts["frozen processes"]
	}
	t.Logf("%d cases, %d runs, %d stalled goroutines, %d frozen processes", cases, runs, late, frozen)
}

// refusedStarts is the kind of case with orders that backend servers refuse.
var refusedStarts = stallCase{name: "refusals", refusals: true}

// refusedStartRegressions are seeds of cases in which a stalled worker repeated an order to start
// whose refusal it had yet to handle: it reported to the owner that the run was not started, and
// the repeated order started it.
var refusedStartRegressions = []failedSeed{
	{20261202, "a task of a durable job had two runs after a repeated start"},
	{20261213, "the task was ordered again at the same worker beside the run that the repeated order had started"},
	{20261227, "the task was ordered again at another worker beside the run that the repeated order had started"},
}

// lateStartRegressions are seeds with the same failure where no server refuses orders on purpose:
// an order arrived after the lease had expired, because the worker had read the clock before it was
// frozen.
var lateStartRegressions = []failedSeed{
	{30000100, "the first order was refused as too late, and its repeat under a new lease was executed"},
}

// TestRefusedStartIsNotRepeatedByLateWorker guards against a worker that repeats an order to start
// while the refusal of the first one waits to be handled: the repeated order starts a run that the
// worker has reported as not started.
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

// refuseBriefly has a backend server refuse orders for a short time, in which its worker may stall.
func (w *world) refuseBriefly() {
	n := w.workers[w.random.IntN(workerCount)]
	n.backend.refusing = true
	w.after(w.between(5*time.Millisecond, maxRefusal), func() { n.backend.refusing = false })
	if w.chance(0.5) {
		w.after(w.between(0, maxRefusal), func() { n.stallFor(w.between(minStall, time.Second)) })
	}
}

// loseStops has a backend server not answer orders to stop for lostStopsFor, while its worker
// stalls.
func (w *world) loseStops() {
	n := w.workers[w.random.IntN(workerCount)]
	n.backend.lateStops = true
	w.after(w.between(0, time.Second), func() { n.stallFor(w.between(minStall, time.Second)) })
	w.after(lostStopsFor, func() { n.backend.lateStops = false })
}

// setEstimates sets the estimates of the job's steps to the time that its runs take.
func (j *clientJob) setEstimates(taskTime time.Duration) {
	for i := range j.submission.Steps {
		j.submission.Steps[i].EstimateMS = taskTime.Milliseconds()
	}
}
