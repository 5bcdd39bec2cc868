package promises

import (
	"slices"
	"testing"
	"time"

	"github.com/lichenfall/lichenfall/jobs/routing"
	"github.com/lichenfall/lichenfall/lib/ordered"
	"github.com/lichenfall/lichenfall/wire"
)

// The pattern: operators empty data centres, one, the other, both, again and again, while
// tasks are ordered there, while answers to orders are lost, while boxes restart, and while
// some coordinators or all boxes cannot hear the store.

// What the cases with evacuations have beside the others.
const (
	evacuations    = 6
	maxEvacuation  = 7 * time.Second
	evacuationJobs = 120
	// evacuateWithin is how long after the store's answer the users allow a start in the
	// data centre, by boxes in touch.
	evacuateWithin = 5 * time.Second
	// calmWithin is the same on a calm day: what we want.
	noFaultsWithin = time.Second
	// contact is the time without trouble after which the users call a box in touch.
	inTouchAfter = 4 * time.Second
)

// operators is what operators have put in force, as the store has it.
type operators struct {
	offset    uint64
	evacuated map[string]time.Time // data centres, and when the store answered
}

// news returns what a reading brings now.
func (o *operators) current() routing.Evacuations {
	return routing.Evacuations{Offset: o.offset, DataCentres: ordered.Keys(o.evacuated)}
}

// evacuate has operators empty a data centre.
func (o *operators) evacuate(now time.Time, dataCentre string) {
	o.offset++
	o.evacuated[dataCentre] = now
}

// takeBack has operators use it again.
func (o *operators) restore(dataCentre string) {
	o.offset++
	delete(o.evacuated, dataCentre)
}

// readNews reads what operators have put in force; answered is called unless the call fails.
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

// followOperators reads what operators have put in force, again and again. Without
// evacuations in the world, once and without a call.
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

// followOperators has the worker read them while no coordinator has had word of them.
func (n *workerNode) followOperators() {
	if !n.w.evacuating {
		return
	}
	if n.table.EvacuationsStale(n.now()) {
		n.w.counts["readings of workers"]++
		n.readEvacuations(func(e routing.Evacuations) {
			n.table.SetEvacuations(n.now(), e)
			n.perform()
		})
	}
	n.later(n.w.between(300*time.Millisecond, time.Second), n.followOperators)
}

// TestEvacuation plays cases in which data centres are evacuated and taken back, on calm
// days and among all other faults, and checks by what backend servers start.
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
			t.Fatalf("nothing happened: %v", counts)
		}
		t.Logf("%d kinds of faults: %d cases, %d evacuations, %d runs, %d readings of workers", kinds, cases, counts["evacuations"], counts["runs"], counts["readings of workers"])
	}
}

// TestIgnorantCoordinators plays cases in which the store turns all coordinators away for
// long and data centres are evacuated meanwhile: the workers, which it serves, must learn of
// it without them.
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
		if w.counts["readings of workers"] == 0 {
			t.Fatal("no worker asked the store")
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

// evacuateOne evacuates a data centre and takes it back later; another may be evacuated
// meanwhile, and the same once more.
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
	w.violated("%v is started %v after its data centre %s was evacuated", ref.Task, w.now.Sub(answered), n.dataCentre)
}

// inTouch returns whether nothing has troubled the worker, its links or the store for the
// time of contact.
func (w *world) inTouch(n *workerNode) bool {
	return w.now.Sub(n.troubledAt) > inTouchAfter && w.now.Sub(w.storeTroubledAt) > inTouchAfter
}

// noteTrouble remembers which boxes are in trouble, and whether the store is.
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
