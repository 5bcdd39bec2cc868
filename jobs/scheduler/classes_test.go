package scheduler_test

import (
	"cmp"
	"slices"
	"testing"
	"time"

	"github.com/lichenfall/lichenfall/jobs/routing"
)

// byPriority returns the outcomes of the desk's kinds, the most urgent first.
func byPriority(kinds []kindOfJob, out []outcome) []outcome {
	order := make([]int, len(kinds))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(kinds[a].priority, kinds[b].priority) })
	sorted := make([]outcome, len(out))
	for place, i := range order {
		sorted[place] = out[i]
	}
	return sorted
}

// logClasses shows what became of each kind.
func logClasses(t *testing.T, kinds []kindOfJob, out []outcome) {
	for i, k := range kinds {
		t.Logf("%-8s priority %d: %.3f in time, %d refused of %d", k.name, k.priority, out[i].share(), out[i].refused, out[i].sent)
	}
}

// checkClasses holds what callers are promised of classes: none is served worse than a later
// one, and none half as well as the best, but one that floods.
func checkClasses(t *testing.T, kinds []kindOfJob, out []outcome, floods ...int32) {
	logClasses(t, kinds, out)
	sorted := byPriority(kinds, out)
	best := slices.MaxFunc(sorted, func(a, b outcome) int { return cmp.Compare(a.share(), b.share()) })
	for i, o := range sorted {
		for _, later := range sorted[i+1:] {
			if o.share() < later.share()-0.02 {
				t.Errorf("priority %d is served worse than a later one: %.3f and %.3f", i, o.share(), later.share())
			}
		}
		if o.share() < best.share()/2 && !slices.Contains(floods, int32(i)) {
			t.Errorf("priority %d is starved: %.3f in time, the best %.3f", i, o.share(), best.share())
		}
	}
}

// TestClassesBurst lets each class burst alone, each two together, and all.
func TestClassesBurst(t *testing.T) {
	kinds := deskKinds(0) // priorities 0, 2, 1
	for _, c := range []struct {
		name string
		calm []bool
	}{
		{"urgent alone", []bool{false, true, true}},
		{"middle alone", []bool{true, true, false}},
		{"last alone", []bool{true, false, true}},
		{"urgent and middle", []bool{false, true, false}},
		{"urgent and last", []bool{false, false, true}},
		{"middle and last", []bool{true, false, false}},
		{"all", []bool{false, false, false}},
	} {
		t.Run(c.name, func(t *testing.T) {
			checkClasses(t, kinds, playLoads(kinds, func(p *loadPlay, at time.Duration) { p.calm = c.calm }))
		})
	}
}

// TestClassesThirdOfTheRoomGone evacuates a third of the room in the burst of all.
func TestClassesThirdOfTheRoomGone(t *testing.T) {
	kinds := deskKinds(0)
	checkClasses(t, kinds, playLoads(kinds, func(p *loadPlay, at time.Duration) {
		if at == 3*time.Second {
			p.evacuated = "b"
			p.core.Evacuate(p.now, routing.Evacuations{Offset: 2, DataCentres: []string{"b"}})
		}
	}))
}

// TestRoomForAll holds that nothing is refused, and all is in time, where all fits.
func TestRoomForAll(t *testing.T) {
	kinds := deskKinds(0)
	for i := range kinds {
		kinds[i].perS /= 2
	}
	for i, o := range playLoads(kinds, func(p *loadPlay, _ time.Duration) { p.calm = []bool{true, true, true} }) {
		if o.refused > 0 || o.share() < 0.999 {
			t.Errorf("%s: %d refused of %d, %.3f in time", kinds[i].name, o.refused, o.sent, o.share())
		}
	}
}

// TestClassFlood has one class ask for five times its work all the time: it pays for it, and the
// others are left half of what the best gets.
func TestClassFlood(t *testing.T) {
	for i, k := range deskKinds(0) {
		t.Run(k.name, func(t *testing.T) {
			kinds := deskKinds(0)
			kinds[i].perS *= 5
			checkClasses(t, kinds, playLoads(kinds, func(p *loadPlay, _ time.Duration) { p.calm = []bool{true, true, true} }), k.priority)
		})
	}
}
