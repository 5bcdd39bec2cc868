//go:build review

package harness2

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"syscall"
	"time"
)

const (
	pendingJobs  = 60
	pendingAge   = 5 * time.Second // visible_ms and 2 s
	pendingWatch = 6 * time.Second
	restartAfter = 500 * time.Millisecond // of a process that was killed
)

// playPending has two of three coordinators killed at once while kept jobs wait, and asks the third how
// many wait.
func playPending(s *system, trouble bool) (broken []string, err error) {
	if err := s.startSmall(); err != nil {
		return nil, err
	}
	fill := newJob(jobBody{Spec: fmt.Sprintf("cpu=%d ms=40000", smallCapacity), Steps: []step{{Count: smallWorkers, CPU: smallCapacity, Memory: 64, EstimateMS: 40000}}})
	if !s.submit(fill, 5*time.Second) {
		return nil, errNotRun
	}
	time.Sleep(time.Second)
	var jobs []*job
	for range pendingJobs {
		j := newJob(jobBody{Spec: "cpu=16000 ms=200", Steps: []step{{Count: 1, CPU: 16000, Memory: 64, EstimateMS: 200}}})
		if s.submit(j, 5*time.Second) {
			jobs = append(jobs, j)
		}
	}
	time.Sleep(pendingAge + time.Second)
	if trouble {
		for _, m := range s.coordinators[1:] {
			s.rec.add("%s is killed", m.name)
			m.signal(syscall.SIGKILL, true)
		}
		time.AfterFunc(restartAfter, func() {
			for _, m := range s.coordinators[1:] {
				_ = m.start()
			}
		})
	}
	for began := time.Now(); time.Since(began) < pendingWatch; time.Sleep(100 * time.Millisecond) {
		asked := time.Now()
		status, text := s.call(context.Background(), s.coordinators[0], http.MethodGet, "", nil, time.Second)
		var a struct {
			Pending int `json:"pending"`
		}
		if status != http.StatusOK || json.Unmarshal([]byte(text), &a) != nil {
			s.rec.add("GET %s: %d %s", prefix, status, text)
			continue
		}
		started := make(map[string]bool)
		for _, r := range s.runs() {
			started[r.job()] = true
		}
		waiting := 0
		for _, j := range jobs {
			if !started[j.id] && asked.Sub(j.accepted) > pendingAge {
				waiting++
			}
		}
		s.rec.add("GET %s: %d %s; %d jobs wait", prefix, status, text, waiting)
		if 2*a.Pending < waiting {
			broken = append(broken, fmt.Sprintf("at %.3f coordinator-0 reports %d pending jobs; %d wait", asked.Sub(s.rec.began).Seconds(), a.Pending, waiting))
		}
	}
	return broken, nil
}
