package promises

import (
	"slices"
	"testing"
	"time"

	"github.com/lichenfall/lichenfall/jobs/routing"
	"github.com/lichenfall/lichenfall/lib/ordered"
	"github.com/lichenfall/lichenfall/wire"
)

// Further constants of the cases with evacuations.
const (
	evacuations    = 6
	maxEvacuation  = 7 * time.Second
	evacuationJobs = 120
	// evacuateWithin is how long after the store's answer the users still allow a start in the data
	// centre, by boxes that are in touch.
	evacuateWithin = 5 * time.Second
	// noFaultsWithin is the stricter limit where no faults are injected.
	noFaultsWithin = time.Second
	// inTouchAfter is the time without faults after which the users call a box in touch.
	inTouchAfter = 4 * time.Second
)

// operators is the state of the evacuations that operators have set, as the store has it.
type operators struct {
	offset    uint64
	evacuated map[string]time.Time // when the store answered, by data centre
}

// current returns what a process that reads them now gets.
func (o *operators) current() routing.Evacuations {
	return routing.Evacuations{Offset: o.offset, DataCentres: ordered.Keys(o.evacuated)}
}

// evacuate begins the evacuation of a data centre.
func (o *operators) evacuate(now time.Time, dataCentre string) {
	o.offset++
	o.evacuated[dataCentre] = now
}

// restore ends the evacuation of a data centre.
func (o *operators) restore(dataCentre string) {
	o.offset++
	delete(o.evacuated, dataCentre)
}

// readEvacuations reads the evacuations from the store; answered is not called if the call fails.
func (p *process) readEvacuations(answered func(routing.Evacuations)) {
	incarnation := p.incarnation
	var current routing.Evacuations
	p.w.storeCall(p.name, 700*time.Millisecond, func() error {
		current = p.w.operators.current()
		return nil
	}, func(err error, ok bool) {
		p.post(incarnation, func() {
			if err == nil && ok {
				answered(current)
			}
		})
	})
}

// followOperators reads the evacuations every 80 to 150 ms. In a world without them it sets an
// empty list once, without a call.
func (n *coordinatorNode) followOperators() {
	if !n.w.evacuating {
		n.core.Evacuate(n.now(), routing.Evacuations{Offset: 1})
		return
	}
	n.readEvacuations(func(e routing.Evacuations) {
		n.core.Evacuate(n.now(), e)
		n.perform()
	})
	n.later(n.w.between(80*time.Millisecond, 150*time.Millisecond), n.followOperators)
}

// followOperators has the worker read the evacuations itself while what it has from coordinators is
// stale.
func (n *workerNode) followOperators() {
	if !n.w.evacuating {
		return
	}
	if n.table.EvacuationsStale(n.now()) {
		n.w.counts["readings by workers"]++
		n.readEvacuations(func(e routing.Evacuations) {
			n.table.SetEvacuations(n.now(), e)
			n.perform()
		})
	}
	n.later(n.w.between(300*time.Millisecond, time.Second), n.followOperators)
}

// TestEvacuation runs cases in which operators evacuate data centres and restore them, without
// other faults and with all of them, and checks what backend servers start. One data centre, the
// other or both are evacuated again and again while tasks are ordered there, answers to orders are
// lost, processes restart, and some coordinators or all processes cannot reach the store.
func TestEvacuation(t *testing.T) {
	t.Parallel()
	cases := envNumber("LICHENFALL_CASES", fewerCases)
	seed := envNumber("LICHENFALL_SEED", defaultSeed)
	for _, kinds := range []int{0, allFaults} {
		counts := make(map[string]int)
		for i := range cases {
			w := runEvacuation(seed+i, kinds)
			if w.violation != "" {
				t.Fatalf("seed %d with %d kinds of faults: %s", seed+i, kinds, w.violation)
			}
			for _, name := range ordered.Keys(w.counts) {
				counts[name] += w.counts[name]
			}
		}
		if counts["evacuations"] == 0 || counts["runs"] == 0 {
			t.Fatalf("no evacuation or no run: %v", counts)
		}
		t.Logf("%d kinds of faults: %d cases, %d evacuations, %d runs, %d readings by workers", kinds, cases, counts["evacuations"], counts["runs"], counts["readings by workers"])
	}
}

// TestIgnorantCoordinators runs cases in which the store refuses all coordinators for long while a
// data centre is evacuated: the workers, which the store serves, must learn of the evacuation
// without coordinators.
func TestIgnorantCoordinators(t *testing.T) {
	t.Parallel()
	cases := envNumber("LICHENFALL_CASES", fewerCases)
	seed := envNumber("LICHENFALL_SEED", defaultSeed)
	for i := range cases {
		w := newEvacuating(seed + i)
		for _, n := range w.coordinators {
			w.after(warmUp, func() { w.refused[n.name] = true })
		}
		w.after(warmUp+time.Second, func() { w.operators.evacuate(w.now, w.workers[0].dataCentre) })
		w.run(warmUp + faultPhase)
		if w.violation != "" {
			t.Fatalf("seed %d: %s", seed+i, w.violation)
		}
		if w.counts["readings by workers"] == 0 {
			t.Fatal("no worker read the evacuations from the store")
		}
	}
}

func newEvacuating(seed uint64) *world {
	w := newWorldWith(seed, func(w *world) { w.evacuating = true })
	for n := range evacuationJobs {
		w.after(warmUp+w.between(0, faultPhase), newClientJob(w, jobsInCase+n, w.chance(0.7)).send)
	}
	return w
}

func runEvacuation(seed uint64, kinds int) *world {
	w := newEvacuating(seed)
	w.noFaults = kinds == 0
	for range evacuations {
		w.after(warmUp+w.between(0, faultPhase), w.evacuateOne)
	}
	w.runCase(kinds)
	return w
}

// evacuateOne evacuates a data centre and restores it later. Meanwhile another one may be
// evacuated, or the same one again.
func (w *world) evacuateOne() {
	dataCentre := w.workers[w.random.IntN(workerCount)].dataCentre
	w.counts["evacuations"]++
	w.operators.evacuate(w.now, dataCentre)
	w.after(w.between(500*time.Millisecond, maxEvacuation), func() { w.operators.restore(dataCentre) })
}

// checkEvacuated checks a start in the data centre of the worker.
func (w *world) checkEvacuated(n *workerNode, ref wire.RunRef) {
	answered, evacuated := w.operators.evacuated[n.dataCentre]
	if !evacuated {
		return
	}
	within := evacuateWithin
	if w.noFaults {
		within = noFaultsWithin
	}
	if w.now.Sub(answered) <= within || !w.inTouch(n) {
		return
	}
	w.violated("%v is started %v after the evacuation of its data centre %s", ref.Task, w.now.Sub(answered), n.dataCentre)
}

// inTouch returns whether the worker, its links and the store have had no faults for longer than
// inTouchAfter.
func (w *world) inTouch(n *workerNode) bool {
	return w.now.Sub(n.troubledAt) > inTouchAfter && w.now.Sub(w.storeTroubledAt) > inTouchAfter
}

// recordTrouble records which workers have a fault now, and whether the store has.
func (w *world) recordTrouble() {
	if w.storeDown || w.loseAnswers > 0 {
		w.storeTroubledAt = w.now
	}
	for _, n := range w.workers {
		isCut := func(l link) bool { return l.from == n.name || l.to == n.name }
		if !n.alive || n.paused || w.refused[n.name] || slices.ContainsFunc(w.cutLinks(), isCut) {
			n.troubledAt = w.now
		}
	}
	w.after(tickInterval, w.recordTrouble)
}

// cutLinks returns the links that are cut.
func (w *world) cutLinks() []link {
	out := make([]link, 0, len(w.cut))
	for l := range w.cut {
		out = append(out, l)
	}
	return out
}
