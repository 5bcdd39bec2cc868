package promises

import (
	"testing"
	"time"
)

// TestReturnOfStore has the store unavailable for so long that all coordinators' registrations
// expire there, while one of them dies. Two seconds after the store is back, each partition has one
// owner among the live coordinators, and the dead one has none.
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
				t.Errorf("seed %d: partition %d has %d owners %v after the store came back", seed, p, owners, back)
			}
		}
		if w.violation != "" {
			t.Errorf("seed %d: %s", seed, w.violation)
		}
	}
}
