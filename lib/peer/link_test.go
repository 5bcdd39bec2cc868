package peer

import (
	"testing"
	"time"
)

// TestDialLimits holds that a box which was without power is met soon after it is back,
// and that a peer which is far away is met at all.
func TestDialLimits(t *testing.T) {
	want := []time.Duration{150, 300, 600, 1000, 1000}
	for attempt, ms := range want {
		if got := dialLimit(attempt); got != ms*time.Millisecond {
			t.Errorf("attempt %d has %v, not %v ms", attempt, got, int64(ms))
		}
	}
}
