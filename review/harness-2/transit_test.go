//go:build review

package harness2

import (
	"sync"
	"time"
)

const (
	transitHold     = 15 * time.Second // hold-max-ms of tabua-lost-fleet
	transitStart    = 10 * time.Millisecond
	transitJobs     = 400
	transitInterval = 10 * time.Millisecond
)

// playTransit has an executor lost for good while orders to it are in progress.
func playTransit(s *system, trouble bool) (broken []string, err error) {
	s.holdMax = transitHold
	for range smallWorkers {
		if err := s.addWorker(smallCapacity, "a", "r1"); err != nil {
			return nil, err
		}
	}
	for _, e := range s.executors {
		e.set(func() { e.saysBorn, e.holdMax, e.startTime = true, transitHold, transitStart })
	}
	for range smallCoordinators {
		if err := s.addCoordinator(); err != nil {
			return nil, err
		}
	}
	if err := s.awaitReady(20 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)
	var jobs []*job
	var wait sync.WaitGroup
	crashed := time.Time{}
	for n := range transitJobs {
		j := newJob(jobBody{Spec: "cpu=1000 ms=200", Steps: []step{{Count: 1, CPU: 1000, Memory: 64, EstimateMS: 200}}})
		jobs = append(jobs, j)
		wait.Add(1)
		go func() {
			defer wait.Done()
			s.submit(j, 5*time.Second)
		}()
		time.Sleep(transitInterval)
		if n < transitJobs/2 || !trouble || !crashed.IsZero() {
			continue
		}
		for _, e := range s.executors {
			e.mu.Lock()
			busy := e.starting > 0
			e.mu.Unlock()
			if busy {
				s.rec.add("%s crashes and is lost for good", e.name)
				e.crash()
				crashed = time.Now()
				break
			}
		}
	}
	wait.Wait()
	time.Sleep(finish)
	runs := s.runs()
	for _, j := range jobs {
		if j.accepted.IsZero() {
			continue
		}
		state := s.state(j, 5*time.Second)
		if since := s.stoodStill(j, runs, crashed.Add(calmBefore), state == "completed", 1000, "a"); !since.IsZero() && trouble {
			broken = append(broken, s.describe(j, since, state))
		}
	}
	return broken, nil
}
