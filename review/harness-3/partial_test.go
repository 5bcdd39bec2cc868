//go:build review

package harness3

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// partlyCutOff: a front is cut off from the other fronts, and two of thirteen side machines lose the path to
// it. The connections of its clients break, which it does not hear of. Best-effort jobs that it runs are sent
// again to another front, 1.3 s after each silence, broken connection or 504.
func partlyCutOff(b *bed) ([]string, error) {
	const (
		jobs   = 240
		again  = 1300 * time.Millisecond // retransmit-ms
		cutFor = 5 * time.Second
		first  = 0 // the front that is cut off
		second = 1
	)
	todo := work{MS: 5000, CPU: 250, Mem: 16}
	body := map[string]any{"spec": todo.spec(), "steps": todo.steps(1, ""), "best-effort": true}
	ids := make([]string, jobs)
	for i := range ids {
		ids[i] = jobID()
		go b.callWaiting(first, ids[i], body) // its client no longer reads an answer
		time.Sleep(2 * time.Millisecond)
	}
	time.Sleep(200 * time.Millisecond)
	if b.trouble {
		b.cutPartly(first, true)
		heal := time.AfterFunc(cutFor, func() { b.cutPartly(first, false) })
		defer heal.Stop()
	}
	var wg sync.WaitGroup
	for _, id := range ids {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for range 4 {
				time.Sleep(again)
				if b.callWaiting(second, id, body) == http.StatusOK {
					return
				}
			}
		}()
	}
	wg.Wait()
	return b.runTwice(ids), nil
}

// cutPartly cuts a front off from the other fronts and from two side machines, or heals that.
func (b *bed) cutPartly(front int, cut bool) {
	b.cutFront(front, cut)
	b.rec.add("cut", "e1 and e2 lose the path to front-%d: %t", front+1, cut)
	for _, e := range b.executors[:2] {
		b.proxies["side-"+e.name].setCut(cut, frontBox(front))
	}
}

// callWaiting submits a best-effort job and waits for its end, for 10 s at most.
func (b *bed) callWaiting(front int, id string, body any) int {
	return b.callFor(10*time.Second, front, id, body)
}

// callFor submits a best-effort job and waits for its end.
func (b *bed) callFor(limit time.Duration, front int, id string, body any) int {
	text, _ := json.Marshal(body)
	req, err := http.NewRequest(http.MethodPost, "http://"+b.fronts[front]+prefix+id, strings.NewReader(string(text)))
	if err != nil {
		return 0
	}
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Time-Remaining", strconv.FormatInt(limit.Milliseconds(), 10))
	resp, err := (&http.Client{Timeout: limit}).Do(req)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	b.rec.add("answer", "POST %s at front-%d: %d", id, front+1, resp.StatusCode)
	return resp.StatusCode
}

// runTwice returns the tasks of the jobs of which two runs were at work at the same time.
func (b *bed) runTwice(ids []string) []string {
	byTask := make(map[string][]runRow)
	for _, e := range b.executors {
		for _, r := range e.runs("") {
			if r.Ended.IsZero() {
				r.Ended = time.Now()
			}
			byTask[r.Task] = append(byTask[r.Task], r)
		}
	}
	var violations []string
	for _, id := range ids {
		rows := byTask[id+".0.0.0"]
		for i, r := range rows {
			for _, o := range rows[i+1:] {
				from, until := r.Began, r.Ended
				if o.Began.After(from) {
					from = o.Began
				}
				if o.Ended.Before(until) {
					until = o.Ended
				}
				if until.After(from) {
					violations = append(violations, fmt.Sprintf("task %s has two runs at the same time for %.3f s: run %d on %s and run %d on %s",
						r.Task, until.Sub(from).Seconds(), r.Run, r.Executor, o.Run, o.Executor))
				}
			}
		}
	}
	return violations
}
