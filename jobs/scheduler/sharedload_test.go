package scheduler_test

import (
	"cmp"
	"fmt"
	"slices"
	"testing"

	"github.com/lichenfall/lichenfall/config"
)

// sharedDesk is the load of the desk at several coordinators, whose callers are uneven: in
// the burst a third more is asked for than there is.
func sharedDesk(coordinators int) loadSetting {
	set := desk(deskKinds(0))
	set.coordinators = coordinators
	set.workers = max(loadWorkers, 5*coordinators/2)
	set.callers = uneven
	return set
}

// worstOverBest returns the refused share of the coordinator whose callers are refused most,
// over that of the one whose callers are refused least.
func (r *loadResult) worstOverBest() float64 {
	byRefused := func(a, b outcome) int { return cmp.Compare(a.refusedShare(), b.refusedShare()) }
	worst, best := slices.MaxFunc(r.cores, byRefused), slices.MinFunc(r.cores, byRefused)
	return worst.refusedShare() / max(0.001, best.refusedShare())
}

func (r *loadResult) String() string {
	s := fmt.Sprintf("handed back %.3f of %d in the overload, %.3f of %d in calm; asks %d and %d;", r.over.backShare(), r.over.sent, r.calm.backShare(), r.calm.sent, r.over.asks, r.calm.asks)
	for i := range r.kinds {
		s += fmt.Sprintf(" %.3f (%d of %d refused)", r.kinds[i].share(), r.kinds[i].refused, r.kinds[i].sent)
	}
	s += "; refused by coordinator"
	for i := range r.cores {
		s += fmt.Sprintf(" %.3f(%.3f)", r.cores[i].refusedShare(), r.cores[i].share())
	}
	return s + fmt.Sprintf(": worst over best %.2f", r.worstOverBest())
}

// TestUnevenCallers plays ...
func TestUnevenCallers(t *testing.T) {
	for _, coordinators := range []int{4, 12} {
		for _, sharers := range []float64{1, float64(coordinators)} {
			for _, way := range []string{"asks"} {
				set := sharedDesk(coordinators)
				set.sharers = sharers
				set.policy.AskForRoom = way == "asks"
				set.backOff = way == "backoff"
				t.Logf("%d coordinators, %v sharers, %s: %v", coordinators, sharers, way, playLoads(set))
			}
		}
	}
	_ = config.DefaultRoom
}
