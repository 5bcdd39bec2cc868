//go:build review

package harness3

import (
	"fmt"
	"net/http"
	"time"
)

// pendingAfterLoss: durable jobs wait that no executor can run yet. Two of three fronts are killed at once;
// the third, which is in touch, is asked for the count of the queue's jobs that wait.
func pendingAfterLoss(b *bed) ([]string, error) {
	const jobs = 60
	todo := work{MS: 200, CPU: 1600, Mem: 64}
	for range jobs {
		if err := b.submit(jobID(), todo.spec(), todo.steps(1, "g")); err != nil {
			return nil, err
		}
	}
	time.Sleep(5500 * time.Millisecond) // visible_ms + 2 s
	if b.trouble {
		for _, p := range b.processes[1:fronts] {
			go b.restart(p, 2*time.Second)
		}
	}
	var violations []string
	for until := time.Now().Add(6 * time.Second); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		status, answer := b.call(0, http.MethodGet, "", nil)
		if status != http.StatusOK {
			continue
		}
		if n, _ := answer["pending"].(float64); int(n) < jobs/2 {
			violations = append(violations, fmt.Sprintf("front-1, which is in touch, reports %v pending jobs of %d that wait", n, jobs))
		}
	}
	return violations, nil
}
