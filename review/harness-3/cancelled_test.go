//go:build review

package harness3

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// cancelledElsewhere: a front is cut off from the other fronts for 8 s. Of 24 best-effort jobs that it runs, six
// are cancelled at another front, again after each 503 and 504, until that acknowledges it. Nothing of such a
// job may start later than cancel_ms after that.
func cancelledElsewhere(b *bed) ([]string, error) {
	const (
		cutFor    = 8 * time.Second
		cancelBy  = 3 * time.Second // cancel_ms
		inTouch   = 3 * time.Second // contact-ms
		jobs      = 24
		cancelled = 6
		first     = 0 // the front that is cut off
		second    = 1
	)
	todo := work{MS: 1000, CPU: 1000, Mem: 64}
	steps := todo.steps(1, "")
	for i := range uint32(20) {
		next := todo.steps(1, "")[0]
		next.DependsOn = []uint32{i}
		steps = append(steps, next)
	}
	ids := make([]string, jobs)
	for i := range ids {
		ids[i] = jobID()
		go b.callFor(26*time.Second, first, ids[i], map[string]any{"spec": todo.spec(), "steps": steps, "best-effort": true})
	}
	for _, id := range ids {
		if b.awaitRunning(id, 5*time.Second) == nil {
			return nil, fmt.Errorf("job %s does not run", id)
		}
	}
	time.Sleep(700 * time.Millisecond)
	healed := time.Now()
	if b.trouble {
		healed = healed.Add(cutFor)
		b.cutFront(first, true)
		time.AfterFunc(cutFor, func() { b.cutFront(first, false) })
	}
	calm := healed.Add(inTouch)
	acks := make([]time.Time, cancelled)
	var wait sync.WaitGroup
	for i := range acks {
		wait.Add(1)
		go func() {
			defer wait.Done()
			acks[i] = b.cancelUntilAcked(second, ids[i], calm)
		}()
	}
	wait.Wait()
	time.Sleep(time.Until(calm.Add(6 * time.Second)))
	var violations []string
	for i, acked := range acks {
		if acked.IsZero() {
			b.rec.add("seen", "the cancel of %s was not acknowledged", ids[i])
			continue
		}
		from := calm
		if late := acked.Add(cancelBy); late.After(from) {
			from = late
		}
		for _, e := range b.executors {
			for _, r := range e.runs(ids[i]) {
				if r.Began.After(from) {
					violations = append(violations, fmt.Sprintf("task %s starts on %s %.3f s after the cancel was acknowledged, and %.3f s after the cut has healed",
						r.Task, r.Executor, r.Began.Sub(acked).Seconds(), r.Began.Sub(healed).Seconds()))
				}
			}
		}
	}
	return violations, nil
}

// cancelUntilAcked cancels a job at a front, again while that does not acknowledge it, and returns when it did;
// the zero time if it did not in time.
func (b *bed) cancelUntilAcked(front int, id string, limit time.Time) time.Time {
	for ; time.Now().Before(limit); time.Sleep(300 * time.Millisecond) {
		status, _ := b.call(front, http.MethodDelete, id, nil)
		if status/100 == 2 || status == http.StatusGone {
			return time.Now()
		}
	}
	return time.Time{}
}

// cutFront cuts a front off from the other fronts, or heals that.
func (b *bed) cutFront(front int, cut bool) {
	b.rec.add("cut", "front-%d is cut off from the other fronts: %t", front+1, cut)
	for i := range fronts {
		if i != front {
			b.proxies[frontBox(i)].setCut(cut, frontBox(front))
			b.proxies[frontBox(front)].setCut(cut, frontBox(i))
		}
	}
}
