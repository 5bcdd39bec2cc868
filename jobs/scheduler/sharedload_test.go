package scheduler_test

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"
)

// What callers need of an overload that several coordinators share.
const (
	mostHandedBack     = 0.15 // of the orders while not all fits: each costs a round trip
	mostHandedBackCalm = 0.02 // while half of the room is free
	mostUneven         = 1.5  // missed jobs of the worst coordinator over those of the best: callers do not choose it
)

// sharedDesk is the load of the desk at several coordinators, the busiest of which has three
// times the callers of the least; in the burst a third more is asked for than there is.
func sharedDesk(coordinators int) loadSetting {
	set := desk(deskKinds(0))
	set.coordinators = coordinators
	set.workers = max(loadWorkers, 5*coordinators/2)
	set.seeds = 8
	set.sharers = float64(coordinators)
	set.callers = uneven
	return set
}

// times returns the load with so many times as many jobs.
func (set loadSetting) times(x float64) loadSetting {
	set.kinds = slices.Clone(set.kinds)
	for i := range set.kinds {
		set.kinds[i].perS *= x
	}
	return set
}

// steady returns the load without its burst.
func (set loadSetting) steady() loadSetting {
	set.burst = func(int) float64 { return 1 }
	return set
}

// unevenness returns the share of missed jobs of the worst coordinator over that of the best.
func unevenness(cores []outcome) float64 {
	byMissed := func(a, b outcome) int { return cmp.Compare(a.missedShare(), b.missedShare()) }
	worst, best := slices.MaxFunc(cores, byMissed), slices.MinFunc(cores, byMissed)
	return worst.missedShare() / max(0.001, best.missedShare())
}

func (r *loadResult) String() string {
	s := fmt.Sprintf("handed back %.3f of %d in the overload, %.3f of %d outside; asks %d, %d; in time", r.over.backShare(), r.over.sent, r.calm.backShare(), r.calm.sent, r.over.asks, r.calm.asks)
	for i := range r.kinds {
		s += fmt.Sprintf(" %.3f", r.kinds[i].share())
	}
	return s + fmt.Sprintf("; missed, worst coordinator over best: %.2f", unevenness(r.cores))
}

// wantWhole checks that nothing is left when a load is over.
func wantWhole(t *testing.T, r *loadResult) {
	t.Helper()
	for _, what := range r.left {
		t.Error(what)
	}
}

// wantOrdered checks that orders are not a race, and that nothing is left.
func wantOrdered(t *testing.T, r *loadResult) {
	t.Helper()
	wantWhole(t, r)
	if share := r.over.backShare(); share > mostHandedBack {
		t.Errorf("%.3f of the orders were handed back in the overload", share)
	}
}

// wantShared checks also that it does not matter by which coordinator a caller comes.
func wantShared(t *testing.T, r *loadResult) {
	t.Helper()
	wantOrdered(t, r)
	if x := unevenness(r.cores); x > mostUneven {
		t.Errorf("callers of the worst coordinator miss %.2f times as much as those of the best", x)
	}
}

// logOthers plays the load by the other ways that were weighed, for the log.
func logOthers(t *testing.T, set loadSetting) {
	set.seeds = 2
	set.policy.AskForRoom = false
	t.Logf("  trial, orders race: %v", playLoads(set))
	set.backOff = true
	t.Logf("  trial, plain backing off: %v", playLoads(set))
}

// TestUnevenCallers plays an overload of 1.3 whose callers are spread unevenly over four
// and over twelve coordinators.
func TestUnevenCallers(t *testing.T) {
	for _, coordinators := range []int{4, 12} {
		t.Run(fmt.Sprint(coordinators), func(t *testing.T) {
			set := sharedDesk(coordinators)
			r := playLoads(set)
			t.Logf("%v", r)
			wantShared(t, r)
			if !testing.Short() {
				logOthers(t, set)
			}
		})
	}
}

// TestCalmIsShared plays a steady load of half the room: hardly an order comes back.
func TestCalmIsShared(t *testing.T) {
	for _, coordinators := range []int{4, 12} {
		r := playLoads(sharedDesk(coordinators).steady().times(0.7))
		t.Logf("%d coordinators: %v", coordinators, r)
		wantWhole(t, r)
		if share := (r.calm.backShare() + r.over.backShare()) / 2; share > mostHandedBackCalm {
			t.Errorf("%d coordinators: %.3f of the orders were handed back", coordinators, share)
		}
	}
}

// TestRoomForAll plays a load that always fits: nobody is asked for room, and every job starts
// as soon as if nobody could be.
func TestRoomForAll(t *testing.T) {
	set := sharedDesk(4).steady().times(0.25)
	with := playLoads(set)
	set.policy.AskForRoom = false
	without := playLoads(set)
	if n := with.calm.asks + with.over.asks; n > 0 {
		t.Errorf("%d asks", n)
	}
	if len(with.starts) == 0 || !slices.Equal(with.starts, without.starts) {
		t.Errorf("%d jobs start otherwise than without", len(with.starts))
	}
}

// TestDemandMoves plays an overload whose callers move from one data centre to the other
// in its middle.
func TestDemandMoves(t *testing.T) {
	const movesAt = 3500 * time.Millisecond
	set := sharedDesk(6)
	set.callers = func(p *loadPlay, core int) float64 {
		if (dataCentreOf(core) == "a") == (p.at() < movesAt) {
			return 3
		}
		return 1
	}
	r := playLoads(set)
	t.Logf("%v", r)
	wantShared(t, r)
}

// TestTwoKindsBurst plays bursts of the urgent kind and of the small jobs together.
func TestTwoKindsBurst(t *testing.T) {
	set := sharedDesk(4)
	set.burst = func(kind int) float64 { return []float64{2.5, 1, 2.5}[kind] }
	r := playLoads(set)
	t.Logf("%v", r)
	wantOrdered(t, r)
}

// TestThirdOfTheSharedRoomGone evacuates a data centre with a third of the room in the middle
// of an overload at four coordinators.
func TestThirdOfTheSharedRoomGone(t *testing.T) {
	const goneAt = 3 * time.Second
	set := sharedDesk(4)
	set.also = func(p *loadPlay, at time.Duration) {
		if at == goneAt {
			p.evacuate("b")
		}
		for _, w := range p.workers {
			if at > goneAt && !w.ready() && w.startedAfter(p.began.Add(goneAt)) {
				t.Fatalf("a run begins in the evacuated data centre %v after", at-goneAt)
			}
		}
	}
	r := playLoads(set)
	t.Logf("%v", r)
	wantOrdered(t, r)
}

// TestCoordinatorDiesWithGrants ends a coordinator without a word in an overload, while room is
// kept for it: the others go on, and nothing stays kept.
func TestCoordinatorDiesWithGrants(t *testing.T) {
	const diesAt = 3 * time.Second
	set := sharedDesk(4)
	set.also = func(p *loadPlay, at time.Duration) {
		if at == diesAt {
			p.kill(p.cores[1])
		}
	}
	r := playLoads(set)
	t.Logf("%v", r)
	wantOrdered(t, r)
}

// TestWorkersRestartWithAsks has all workers' processes begin anew in an overload, one after
// the other: what waits is asked for again, and no task runs twice.
func TestWorkersRestartWithAsks(t *testing.T) {
	const restartsFrom = 3 * time.Second
	set := sharedDesk(4)
	set.also = func(p *loadPlay, at time.Duration) {
		if i := int((at - restartsFrom) / (50 * time.Millisecond)); at >= restartsFrom && at%(50*time.Millisecond) == 0 && i < len(p.workers) {
			p.workers[i].restart()
		}
	}
	r := playLoads(set)
	t.Logf("%v", r)
	wantOrdered(t, r)
}
