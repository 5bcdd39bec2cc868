package peer

import (
	"testing"
	"time"
)

// TestDialLimits checks that the first timeout is short, so that a box that was without power is
// reached soon after it is back, and that later ones suffice for a peer that is far away.
func TestDialLimits(t *testing.T) {
	want := []time.Duration{150, 300, 600, 1000, 1000}
	for attempt, ms := range want {
		if got := dialLimit(attempt); got != ms*time.Millisecond {
			t.Errorf("timeout of attempt %d is %v, want %v ms", attempt, got, int64(ms))
		}
	}
}
