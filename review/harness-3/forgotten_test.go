//go:build review

package harness3

import (
	"net/http"
	"sync"
	"time"
)

// forgottenClaims: the process of a front is killed, and 0.57 s later those of seven of thirteen side
// machines at once; all start again. Clients send the best-effort jobs that the front was running to another
// front, 1.3 s after their connections broke and after each 504.
func forgottenClaims(b *bed) ([]string, error) {
	const (
		jobs    = 120
		every   = 4 * time.Millisecond
		again   = 1300 * time.Millisecond // retransmit-ms
		between = 570 * time.Millisecond  // of the two kills
		down    = 500 * time.Millisecond  // of each process
		killed  = 7
		first   = 0 // the front that is killed
		second  = 1
	)
	todo := work{MS: 2500, CPU: 500, Mem: 16}
	body := map[string]any{"spec": todo.spec(), "steps": todo.steps(1, ""), "best-effort": true}
	ids := make([]string, jobs)
	var wg sync.WaitGroup
	for i := range ids {
		ids[i] = jobID()
		wg.Add(1)
		go func(id string) {
			defer wg.Done()
			status := b.callWaiting(first, id, body)
			for try := 0; status != http.StatusOK && try < 4; try++ {
				time.Sleep(again)
				status = b.callWaiting(second, id, body)
			}
		}(ids[i])
		time.Sleep(every)
	}
	if b.trouble {
		var kills sync.WaitGroup
		kill := func(p *process) {
			kills.Add(1)
			go func() {
				defer kills.Done()
				b.restart(p, down)
			}()
		}
		kill(b.processes[first])
		time.Sleep(between)
		for _, p := range b.processes[fronts : fronts+killed] {
			kill(p)
		}
		kills.Wait()
	}
	wg.Wait()
	return b.runTwice(ids), nil
}
