package promises

import (
	"fmt"
	"testing"
)

// failedSeed is a seed that failed once, with its cause.
type failedSeed struct {
	seed  uint64
	cause string
}

// replay runs the cases of the seeds that failed once.
func replay(t *testing.T, seeds []failedSeed, runCase func(seed uint64) *world) {
	t.Helper()
	for _, r := range seeds {
		t.Run(fmt.Sprint(r.seed), func(t *testing.T) {
			if w := runCase(r.seed); w.violation != "" {
				t.Errorf("%s (cause of the first failure: %s)", w.violation, r.cause)
			}
		})
	}
}
