package promises

import (
	"testing"
	"time"
)

// TestReturnOfStore has the store away for so long that all coordinators lapse there, and
// one of them dies meanwhile. Two seconds after its return each partition has one owner
// among those that live, and none is left with the dead one.
func TestReturnOfStore(t *testing.T) {
	const (
		cases = 40
		away  = 4 * time.Second
		back  = 2 * time.Second
	)
	for seed := range uint64(cases) {
		w := newWorld(seed)
		w.run(warmUp)
		w.storeDown = true
		dead := w.coordinators[seed%coordinatorCount]
		w.after(w.between(0, away), dead.kill)
		w.run(away)
		w.storeDown = false
		w.run(back)
		for p := range uint32(partitionCount) {
			owners := 0
			for _, c := range w.coordinators {
				if _, owns := c.epochs[p]; c.alive && owns && c.owned.Valid(w.now) {
					owners++
				}
			}
			if owners != 1 {
				t.Errorf("seed %d: partition %d has %d owners %v after the store's return", seed, p, owners, back)
			}
		}
		if w.violation != "" {
			t.Errorf("seed %d: %s", seed, w.violation)
		}
	}
}
