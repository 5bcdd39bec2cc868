//go:build review

package harness3

import (
	"fmt"
	"slices"
	"time"
)

// oneSuspectAtATime: durable jobs of one small task each fill under half of the executors. One executor
// crashes and is back soon. Its tasks have to run again; there is room for all of them at once.
func oneSuspectAtATime(b *bed) ([]string, error) {
	const jobs = 700
	todo := work{MS: 4000, CPU: 100, Mem: 16}
	ids := make([]string, jobs)
	failures := make(chan error, jobs)
	for i := range ids {
		ids[i] = jobID()
		go func(id string) { failures <- b.submit(id, todo.spec(), todo.steps(1, "")) }(ids[i])
		time.Sleep(4 * time.Millisecond)
	}
	for range ids {
		if err := <-failures; err != nil {
			return nil, err
		}
	}
	time.Sleep(300 * time.Millisecond)
	var back time.Time
	if b.trouble {
		b.executors[4].crash(time.Second)
	}
	back = time.Now()
	calmFrom := back.Add(4 * time.Second)
	return b.stalled(ids, todo, b.executors, calmFrom, 40*time.Second), nil
}

// stalled watches jobs of one task each until all have ended. It returns those that had nothing running
// for 3 s on end after calmFrom, while one of the executors that may run the task had room for it twice
// over, and under half of the room of all executors was in use.
func (b *bed) stalled(ids []string, todo work, allowed []*executor, calmFrom time.Time, limit time.Duration) []string {
	const (
		stallLimit = 3 * time.Second
		look       = 50 * time.Millisecond
	)
	since := make(map[string]time.Time)
	longest := make(map[string]time.Duration)
	open := make(map[string]bool)
	for _, id := range ids {
		open[id] = true
	}
	var waited time.Duration
	for until := time.Now().Add(limit); len(open) > 0 && time.Now().Before(until); time.Sleep(look) {
		now := time.Now()
		running := make(map[string]bool)
		inUse, roomy := int64(0), false
		for _, e := range b.executors {
			busy := e.busy()
			inUse += busy
			roomy = roomy || slices.Contains(allowed, e) && !e.isDown() && e.room.CPU-busy >= 2*todo.CPU
			for _, r := range e.runs("") {
				id := r.Task[:16]
				switch {
				case r.Ended.IsZero():
					running[id] = true
				case r.How == "done":
					delete(open, id)
				}
			}
		}
		idle := roomy && 2*inUse < executors*room.CPU && now.After(calmFrom)
		for id := range open {
			if running[id] || !idle {
				delete(since, id)
				continue
			}
			if since[id].IsZero() {
				since[id] = now
			}
			longest[id] = max(longest[id], now.Sub(since[id]))
			waited = max(waited, longest[id])
		}
	}
	b.rec.add("seen", "%d jobs have not ended; the longest time in calm without a run of a job, with room, was %.2f s", len(open), waited.Seconds())
	var violations []string
	for _, id := range ids {
		if longest[id] > stallLimit {
			violations = append(violations, fmt.Sprintf("job %s had nothing running for %.2f s in calm, while its task could run and under half of the room was in use", id, longest[id].Seconds()))
		}
	}
	return violations
}

func (e *executor) isDown() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.down
}
