package scheduler_test

import (
	"cmp"
	"slices"
	"testing"
	"time"

	"github.com/lichenfall/lichenfall/config"
)

// The load is that of the users' claims desk at its peak: many short and wide jobs whose callers may
// wait least, fewer long ones that take half of the capacity, and small ones in between. For a few
// seconds a burst offers a third more work than the capacity. The shares of the offered work are 11,
// 49 and 40 %.

// deskKinds returns the kinds of jobs of the claims desk; urgent is the priority of the first.
func deskKinds(urgent int32) []kindOfJob {
	return []kindOfJob{
		{name: "match", priority: urgent, perSecond: 24, width: 8, work: 60 * time.Millisecond},
		{name: "verify", priority: 2, perSecond: 9.4, width: 4, work: 900 * time.Millisecond},
		{name: "hold", priority: 1, perSecond: 69, width: 2, work: 200 * time.Millisecond},
	}
}

// desk returns the load of the claims desk at one coordinator.
func desk(kinds []kindOfJob) loadConfig {
	cfg := config.DefaultLoadPolicy()
	return loadConfig{kinds: kinds, coordinators: 1, workers: loadWorkers, seeds: 4, policy: cfg.Core(), burst: func(int) float64 { return burstX }}
}

// TestOverload checks the shares in time in a burst: the urgent kind is not served worst, and better than
// without its priority, and every other kind gets at least half of its share.
func TestOverload(t *testing.T) {
	with := simulateLoads(desk(deskKinds(0))).kinds
	without := simulateLoads(desk(deskKinds(1))).kinds
	for i, k := range deskKinds(0) {
		t.Logf("%-8s with priority: %.3f in time, %d refused of %d; without: %.3f, %d", k.name, with[i].share(), with[i].refused, with[i].sent, without[i].share(), without[i].refused)
	}
	urgent := with[0].share()
	if urgent <= without[0].share() {
		t.Errorf("the urgent kind is not served better with its priority than without")
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

// TestThirdOfTheRoomGone evacuates a data centre with a third of the capacity in the middle of the
// burst. It checks that nothing is started there, and that the urgent kind is served no worse than the
// others.
func TestThirdOfTheRoomGone(t *testing.T) {
	const evacuateAt = 3 * time.Second
	set := desk(deskKinds(0))
	set.eachMillisecond = func(p *loadSim, at time.Duration) {
		if at == evacuateAt {
			p.evacuate("b")
		}
		if at <= evacuateAt+time.Millisecond {
			return
		}
		for _, w := range p.workers {
			if w.dataCentre() == "b" && w.startedAfter(p.began.Add(evacuateAt+time.Millisecond)) {
				t.Fatalf("a run begins in the evacuated data centre, %v after the evacuation", at-evacuateAt)
			}
		}
	}
	out := simulateLoads(set).kinds
	for i, k := range deskKinds(0) {
		t.Logf("%-8s %.3f in time, %d refused of %d", k.name, out[i].share(), out[i].refused, out[i].sent)
	}
	for _, o := range out[1:] {
		if out[0].share() < o.share()-0.01 {
			t.Errorf("the urgent kind is served worse than another: %.3f and %.3f", out[0].share(), o.share())
		}
	}
}
