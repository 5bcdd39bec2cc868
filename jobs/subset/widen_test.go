package subset_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/jobs/subset"
)

// never is the OrderedAt of a coordinator that has ordered nothing.
func never(string) time.Time { return time.Time{} }

// fleetOf returns workers of kinds in turn, each with 16 cores.
func fleetOf(n, kinds int) []subset.Worker {
	var out []subset.Worker
	for i, a := range addresses("w", n) {
		out = append(out, subset.Worker{Address: a, Service: "s", Capacity: durable.Resources{CPU: 16000}, Labels: []string{fmt.Sprint("kind-", i%kinds)}})
	}
	return out
}

func needKind(kind int) subset.Need {
	return subset.Need{Service: "s", Label: fmt.Sprint("kind-", kind), Resources: durable.Resources{CPU: 1000}}
}

// TestEachNeedGetsAWorkerThatMeetsIt guards against tasks that stand still since their coordinator does not
// connect to the only workers that can run them: whatever the fleet and the needs, each need that
// a worker outside of the choice meets gets one, within the bound.
func TestEachNeedGetsAWorkerThatMeetsIt(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		kinds := rapid.IntRange(1, 24).Draw(t, "kinds")
		workers := fleetOf(rapid.IntRange(1, 300).Draw(t, "workers"), kinds)
		for i := range workers {
			workers[i].Evacuated = rapid.IntRange(0, 9).Draw(t, "evacuated") == 0
			workers[i].Unreachable = rapid.IntRange(0, 9).Draw(t, "unreachable") == 0
			workers[i].Capacity.CPU = 1000 * rapid.Int64Range(1, 64).Draw(t, "cores")
		}
		chosen := make(map[string]bool)
		for i := range workers[:rapid.IntRange(0, len(workers)).Draw(t, "chosen")] {
			chosen[workers[i].Address] = true
		}
		before := len(chosen)
		var needs []subset.Need
		for k := range kinds {
			n := needKind(k)
			n.Resources.CPU = 1000 * rapid.Int64Range(1, 64).Draw(t, "need")
			needs = append(needs, n)
		}
		var d subset.Widening
		d.Apply(time.Unix(1000, 0), "c", workers, chosen, needs, never)
		if n := len(chosen) - before; n != d.Len() || n > subset.MaxWidened {
			t.Fatalf("%d workers are added, %d by its account", n, d.Len())
		}
		for i := range needs {
			if !metIn(workers, chosen, &needs[i], before) && metOutside(workers, chosen, &needs[i]) {
				t.Fatalf("no worker for %v", needs[i])
			}
		}
	})
}

// metIn returns whether an added worker meets the need: the first ones were chosen before.
func metIn(workers []subset.Worker, chosen map[string]bool, n *subset.Need, first int) bool {
	for i := range workers[first:] {
		w := &workers[first+i]
		if _, is := chosen[w.Address]; is && meets(w, n) {
			return true
		}
	}
	return false
}

func metOutside(workers []subset.Worker, chosen map[string]bool, n *subset.Need) bool {
	for i := range workers {
		w := &workers[i]
		if _, is := chosen[w.Address]; !is && !w.Evacuated && !w.Unreachable && meets(w, n) {
			return true
		}
	}
	return false
}

func meets(w *subset.Worker, n *subset.Need) bool {
	return w.Labels[0] == n.Label && w.Capacity.CPU >= n.Resources.CPU
}

// TestSuccessiveTurnsTryAllWorkers guards against a task that waits at the same few workers for ever, all
// of them busy, while others of its kind are idle.
func TestSuccessiveTurnsTryAllWorkers(t *testing.T) {
	workers := fleetOf(960, 2)
	tried := make(map[string]bool)
	var d subset.Widening
	now := time.Unix(1000, 0)
	const turns = 960 / 2 / 16
	for range turns {
		now = now.Add(time.Second)
		chosen := make(map[string]bool)
		d.Apply(now, "c", workers, chosen, []subset.Need{needKind(1)}, never)
		for a := range chosen {
			tried[a] = true
		}
	}
	if len(tried) != 480 {
		t.Errorf("%d of 480 workers were tried in %d turns", len(tried), turns)
	}
}

// TestAddedWorkersAreGivenUp checks that an added worker stays while runs are ordered there, and for a
// while after the last one.
func TestAddedWorkersAreGivenUp(t *testing.T) {
	workers := fleetOf(100, 100)
	start := time.Unix(1000, 0)
	ordered := func(string) time.Time { return start }
	var d subset.Widening
	for _, c := range []struct {
		after time.Duration
		needs []subset.Need
		want  int
	}{
		{0, []subset.Need{needKind(7)}, 1},
		{9 * time.Second, nil, 1},
		{11 * time.Second, nil, 0},
		{12 * time.Second, nil, 0},
	} {
		chosen := make(map[string]bool)
		d.Apply(start.Add(c.after), "c", workers, chosen, c.needs, ordered)
		if len(chosen) != c.want {
			t.Errorf("after %v %d workers are added, want %d", c.after, len(chosen), c.want)
		}
	}
}

// BenchmarkWiden measures one choice for 24 needs among 960 workers of 24 kinds.
func BenchmarkWiden(b *testing.B) {
	workers := fleetOf(960, 24)
	var needs []subset.Need
	for k := range 24 {
		needs = append(needs, needKind(k))
	}
	var d subset.Widening
	for b.Loop() {
		d.Apply(time.Unix(1000, 0), "c", workers, make(map[string]bool), needs, never)
	}
}
