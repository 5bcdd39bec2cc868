//go:build review

package harness

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["try-pending"] = tryPending; cases["try-crash"] = tryCrash }

func tryPending(s *system, trouble bool) ([]string, error) {
	s.configure(1, 3)
	for range 2 {
		if err := s.addWorker(16000, func(string) time.Duration { return 200 * time.Millisecond }, func(string) int64 { return 1000 }, "a"); err != nil {
			return nil, err
		}
	}
	for range 3 {
		if err := s.addCoordinator(); err != nil {
			return nil, err
		}
	}
	if err := s.awaitReady(); err != nil {
		return nil, err
	}
	for n := range 30 {
		if err := s.submit(s.coordinators[n%3], jobID(n), `{"spec":"x","steps":[{"count":1,"cpu":1000,"mem-mb":64,"estimate-ms":200,"requires":"b"}]}`); err != nil {
			return nil, err
		}
	}
	time.Sleep(6 * time.Second)
	for _, c := range s.coordinators {
		s.call(c, http.MethodGet, "", "", time.Second)
	}
	if trouble {
		s.coordinators[1].kill()
		s.coordinators[2].kill()
	}
	var out []string
	for range 60 {
		a := s.call(s.coordinators[0], http.MethodGet, "", "", time.Second)
		var n int
		fmt.Sscanf(a.body, `{"pending":%d}`, &n)
		if n < 15 {
			out = append(out, a.body)
		}
		time.Sleep(50 * time.Millisecond)
	}
	return out, nil
}

func tryCrash(s *system, trouble bool) ([]string, error) {
	s.configure(1, 3)
	for range 4 {
		if err := s.addWorker(16000, func(string) time.Duration { return 2000 * time.Millisecond }, func(string) int64 { return 1000 }, "a"); err != nil {
			return nil, err
		}
	}
	for range 2 {
		if err := s.addCoordinator(); err != nil {
			return nil, err
		}
	}
	if err := s.awaitReady(); err != nil {
		return nil, err
	}
	id := jobID(1)
	var mu sync.Mutex
	var at *executor
	for _, w := range s.workers {
		w.executor.mu.Lock()
		w.executor.began = func(r *run) { mu.Lock(); at = r.at; mu.Unlock() }
		w.executor.mu.Unlock()
	}
	if err := s.submit(s.coordinators[0], id, `{"spec":"x","steps":[{"count":1,"cpu":1000,"mem-mb":64,"estimate-ms":2000}]}`); err != nil {
		return nil, err
	}
	if trouble {
		for range 4 {
			var e *executor
			for i := 0; i < 400 && e == nil; i++ {
				mu.Lock()
				e, at = at, nil
				mu.Unlock()
				time.Sleep(10 * time.Millisecond)
			}
			if e == nil {
				break
			}
			time.Sleep(300 * time.Millisecond)
			e.crash()
			go func() { time.Sleep(1500 * time.Millisecond); e.startLife("a") }()
		}
	}
	last := s.awaitStates(s.coordinators[0], []string{id}, time.Now().Add(20*time.Second))
	s.writeRuns(func(string) bool { return true })
	if last[id].state != "completed" {
		return []string{last[id].body}, nil
	}
	return nil, nil
}
