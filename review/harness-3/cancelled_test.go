//go:build review

package harness3

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// cancelledElsewhere: a front is cut off from the other fronts for 8 s. A best-effort job that it runs is
// cancelled at another front, again after each 504, until that acknowledges it. Nothing of the job may start
// later than cancel_ms after that.
func cancelledElsewhere(b *bed) ([]string, error) {
	const (
		cutFor   = 8 * time.Second
		cancelBy = 3 * time.Second // cancel_ms
		inTouch  = 3 * time.Second // contact-ms
		first    = 0               // the front that is cut off
		second   = 1
	)
	todo := work{MS: 1000, CPU: 1000, Mem: 64}
	steps := todo.steps(1, "")
	for i := range uint32(18) {
		next := todo.steps(1, "")[0]
		next.DependsOn = []uint32{i}
		steps = append(steps, next)
	}
	id := jobID()
	go b.callFor(25*time.Second, first, id, map[string]any{"spec": todo.spec(), "steps": steps, "best-effort": true})
	if b.awaitRunning(id, 5*time.Second) == nil {
		return nil, fmt.Errorf("the job does not run")
	}
	time.Sleep(700 * time.Millisecond)
	cutAt := time.Now()
	if b.trouble {
		b.cutFront(first, true)
		time.AfterFunc(cutFor, func() { b.cutFront(first, false) })
	}
	var acked time.Time
	for until := time.Now().Add(20 * time.Second); acked.IsZero(); time.Sleep(300 * time.Millisecond) {
		if time.Now().After(until) {
			return nil, fmt.Errorf("the cancel was not acknowledged")
		}
		status, _ := b.call(second, http.MethodDelete, id, nil)
		if status/100 == 2 || status == http.StatusGone {
			acked = time.Now()
		}
	}
	b.rec.add("seen", "the cancel was acknowledged %.3f s after the cut", acked.Sub(cutAt).Seconds())
	calm := cutAt.Add(cutFor + inTouch)
	if late := acked.Add(cancelBy); late.After(calm) {
		calm = late
	}
	time.Sleep(time.Until(calm.Add(6 * time.Second)))
	var violations []string
	for _, e := range b.executors {
		for _, r := range e.runs(id) {
			if r.Began.After(calm) {
				violations = append(violations, fmt.Sprintf("task %s starts on %s %.3f s after the cancel was acknowledged, and %.3f s after the cut has healed",
					strings.TrimPrefix(r.Task, id), r.Executor, r.Began.Sub(acked).Seconds(), r.Began.Sub(cutAt.Add(cutFor)).Seconds()))
			}
		}
	}
	return violations, nil
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
