package scheduler_test

import (
	"cmp"
	"slices"
	"testing"
	"time"

	"github.com/lichenfall/lichenfall/config"
)

// The pattern: a desk's work at the top of its wave. Many short wide jobs whose callers may
// wait least, fewer long ones that take half of the room, and small ones in between; for a
// few seconds a burst asks for a third more than there is. The shares of work are those of
// the users' claims desk (11, 49 and 40 % of what is asked for).

// deskKinds are the kinds of the desk, the first of them urgent.
func deskKinds(urgent int32) []kindOfJob {
	return []kindOfJob{
		{"match", urgent, 24, 8, 60 * time.Millisecond},
		{"verify", 2, 9.4, 4, 900 * time.Millisecond},
		{"hold", 1, 69, 2, 200 * time.Millisecond},
	}
}

// desk is the load of the desk at one coordinator.
func desk(kinds []kindOfJob) loadSetting {
	cfg := config.DefaultLoadPolicy()
	return loadSetting{kinds: kinds, coordinators: 1, workers: loadWorkers, seeds: 4, policy: cfg.Core(), burst: func(int) float64 { return burstX }}
}

// TestOverload holds who is served in the burst: the urgent kind no worse than any other,
// better than without its priority, and no kind starved.
func TestOverload(t *testing.T) {
	with := playLoads(desk(deskKinds(0))).kinds
	without := playLoads(desk(deskKinds(1))).kinds
	for i, k := range deskKinds(0) {
		t.Logf("%-8s with priority: %.3f in time, %d refused of %d; without: %.3f, %d", k.name, with[i].share(), with[i].refused, with[i].sent, without[i].share(), without[i].refused)
	}
	urgent := with[0].share()
	if urgent <= without[0].share() {
		t.Errorf("the urgent kind is served no better for its priority")
	}
	if least := slices.MinFunc(with, func(a, b outcome) int { return cmp.Compare(a.share(), b.share()) }); urgent < least.share() {
		t.Errorf("the urgent kind is served worst")
	}
	for i := range with {
		if with[i].share() < urgent/2 {
			t.Errorf("%s is starved: %.3f in time", deskKinds(0)[i].name, with[i].share())
		}
	}
}

// TestThirdOfTheRoomGone evacuates a data centre with a third of the room in the middle of
// the burst: nothing is started there, and the urgent kind stays no worse than others.
func TestThirdOfTheRoomGone(t *testing.T) {
	const goneAt = 3 * time.Second
	set := desk(deskKinds(0))
	set.also = func(p *loadPlay, at time.Duration) {
		if at == goneAt {
			p.evacuate("b")
		}
		if at <= goneAt+time.Millisecond {
			return
		}
		for _, w := range p.workers {
			if w.dataCentre() == "b" && w.startedAfter(p.began.Add(goneAt+time.Millisecond)) {
				t.Fatalf("a run begins in the evacuated data centre %v after", at-goneAt)
			}
		}
	}
	out := playLoads(set).kinds
	for i, k := range deskKinds(0) {
		t.Logf("%-8s %.3f in time, %d refused of %d", k.name, out[i].share(), out[i].refused, out[i].sent)
	}
	for _, o := range out[1:] {
		if out[0].share() < o.share()-0.01 {
			t.Errorf("the urgent kind is served worse than another: %.3f and %.3f", out[0].share(), o.share())
		}
	}
}
