//go:build review

package harness2

import (
	"bytes"
	"encoding/json"
	"net/http"
	"time"
)

const (
	strayJobs     = 40
	strayInterval = 200 * time.Millisecond
	straySeq      = 100000 // beyond those of the executors
)

// playStray has one heartbeat of another writer reach each worker: it has the executor's id, and a service
// that the configuration doesn't name.
func playStray(s *system, trouble bool) (broken []string, err error) {
	if err := s.startSmall(); err != nil {
		return nil, err
	}
	for i := range s.executors {
		e := s.executors[i]
		if !trouble {
			break
		}
		e.mu.Lock()
		id, clock := e.id(), e.clock()
		e.mu.Unlock()
		body, _ := json.Marshal(map[string]any{
			"service": "other", "address": e.address, "zone": "z0", "version": "v1", "slots": 8, "state": "ready", "cold-remaining-ms": 0,
			"capacity": map[string]any{"cpu": e.capacity, "mem-mb": 32768, "gpu": 0}, "labels": e.labels, "clock-ms": clock, "seq-no": straySeq,
		})
		resp, err := http.Post("http://"+e.control+"/v1/Instances.Heartbeat/"+id, "application/json", bytes.NewReader(body))
		if err != nil {
			return nil, err
		}
		_ = resp.Body.Close()
		s.rec.add("heartbeat of another writer at the worker of %s: %d", e.name, resp.StatusCode)
	}
	sent := time.Now()
	time.Sleep(calmBefore)
	var jobs []*job
	for range strayJobs {
		j := newJob(jobBody{Spec: "cpu=1000 ms=200", Steps: []step{{Count: 2, CPU: 1000, Memory: 64, EstimateMS: 200}}})
		if s.submit(j, 5*time.Second) {
			jobs = append(jobs, j)
		}
		time.Sleep(strayInterval)
	}
	time.Sleep(finish)
	runs := s.runs()
	completed := 0
	for _, j := range jobs {
		state := s.state(j, 5*time.Second)
		s.rec.add("GET %s: %s", j.id, j.lastAnswer)
		if state == "completed" {
			completed++
		}
		if since := s.stoodStill(j, runs, sent.Add(calmBefore), state == "completed", 1000, "a"); !since.IsZero() {
			broken = append(broken, s.describe(j, since, state))
		}
	}
	s.rec.add("%d of %d jobs are completed", completed, len(jobs))
	return broken, nil
}
