//go:build review

package harness3

import (
	"fmt"
	"time"
)

// ejectedForItsLabel: the only executor of the last rack fails all that it starts for 6 s, then is sound.
// Durable jobs that require its rack come after that, one of which could run at any time.
func ejectedForItsLabel(b *bed) ([]string, error) {
	last := b.executors[executors-1]
	short := work{MS: 200, CPU: 1600, Mem: 64}
	if b.trouble {
		last.setFailing(true)
		for range 2 { // their attempts are spent, with cause
			if err := b.submit(jobID(), short.spec(), short.steps(1, rack(executors-1))); err != nil {
				return nil, err
			}
		}
	}
	for until := time.Now().Add(6 * time.Second); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		if err := b.submit(jobID(), short.spec(), short.steps(2, "")); err != nil {
			return nil, err
		}
	}
	if b.trouble {
		last.setFailing(false)
	}
	time.Sleep(4100 * time.Millisecond)
	calmFrom := time.Now()
	todo := work{MS: 5000, CPU: 1000, Mem: 64}
	var ids []string
	for range 9 {
		id := jobID()
		ids = append(ids, id)
		if err := b.submit(id, todo.spec(), todo.steps(1, rack(executors-1))); err != nil {
			return nil, fmt.Errorf("%w", err)
		}
	}
	return b.stalled(ids, todo, []*executor{last}, calmFrom, 40*time.Second), nil
}
