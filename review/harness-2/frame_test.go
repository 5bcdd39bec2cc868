//go:build review

package harness2

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// The deployment and the jobs of playFrame.
const (
	frameCoordinators = 3
	frameWorkers      = 4
	frameCapacity     = 16000
	frameJobs         = 140
	frameTasks        = 150  // of one job, as the users' largest have
	frameSpec         = 4000 // bytes: the longest that PROTOCOL.md allows
	frameCPU          = 4    // of one task
	frameSpread       = 250 * time.Millisecond
	fillTime          = 6 * time.Second
)

// playFrame has many jobs come at once while the executors are full for some seconds. Without the
// trouble, the same jobs come one after another.
func playFrame(s *system, trouble bool) (broken []string, err error) {
	for range frameWorkers {
		if err := s.addWorker(frameCapacity, "a", "r1"); err != nil {
			return nil, err
		}
	}
	for range frameCoordinators {
		if err := s.addCoordinator(); err != nil {
			return nil, err
		}
	}
	if err := s.awaitReady(20 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	if trouble {
		fill := newJob(jobBody{Spec: fmt.Sprintf("cpu=%d ms=%d", frameCapacity, fillTime.Milliseconds()),
			Steps: []step{{Count: frameWorkers, CPU: frameCapacity, Memory: 64, EstimateMS: fillTime.Milliseconds()}}})
		if !s.submit(fill, 5*time.Second) {
			return nil, errNotRun
		}
		time.Sleep(500 * time.Millisecond)
	}
	spec := fmt.Sprintf("cpu=%d ms=100 ", frameCPU)
	spec += strings.Repeat("x", frameSpec-len(spec))
	var jobs []*job
	var wait sync.WaitGroup
	for range frameJobs {
		j := newJob(jobBody{Spec: spec, Steps: []step{{Count: frameTasks, CPU: frameCPU, Memory: 8, EstimateMS: 100}}})
		jobs = append(jobs, j)
		wait.Add(1)
		go func() {
			defer wait.Done()
			s.submit(j, 5*time.Second)
		}()
		if trouble {
			time.Sleep(10 * time.Millisecond)
		} else {
			time.Sleep(frameSpread)
		}
	}
	wait.Wait()
	ended := time.Now()
	if trouble {
		time.Sleep(fillTime)
	}
	time.Sleep(finish)
	runs := s.runs()
	completed, accepted := 0, 0
	for _, j := range jobs {
		if j.accepted.IsZero() {
			continue
		}
		accepted++
		state := s.state(j, 5*time.Second)
		s.rec.add("GET %s: %s", j.id, j.lastAnswer)
		if state == "completed" {
			completed++
			continue
		}
		if since := s.stoodStill(j, runs, ended.Add(fillTime+calmBefore), state == "completed", frameCPU, "a"); !since.IsZero() {
			broken = append(broken, s.describe(j, since, state))
		}
	}
	s.rec.add("%d of %d accepted jobs are completed %.1f s after the end of the traffic", completed, accepted, time.Since(ended).Seconds())
	return broken, nil
}
