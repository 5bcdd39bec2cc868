package promises

import "testing"

// TestRevokedOwner plays the case in which a coordinator is turned away by the store
// and its partition is dealt to another one without its knowing. While its lease
// lasts, up to 1.2 s, it says that a job does not exist which the new owner has
// acknowledged: it answers from memory.
func TestRevokedOwner(t *testing.T) {
	const seed = 20261413
	if w := playCase(seed, allFaults); w.violation != "" {
		t.Fatalf("seed %d: %s", seed, w.violation)
	}
}
