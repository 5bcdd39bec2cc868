//go:build review

package harness2

import (
	"time"
)

// The deployment of playBlocked: executors of two kinds, one of which has a single executor.
const (
	blockedCoordinators = 3
	blockedCommon       = 7 // executors of the common kind
	blockedCapacity     = 16000
	blockedTraffic      = 16 * time.Second // of ordinary jobs, after the crash
	blockedInterval     = 250 * time.Millisecond
)

// playBlocked has the only executor of a kind lost for good, while a job that has begun has a step that
// needs this kind. Ordinary jobs, which the other executors could run, come all the time.
func playBlocked(s *system, trouble bool) (broken []string, err error) {
	for range blockedCommon {
		if err := s.addWorker(blockedCapacity, "a", "r1"); err != nil {
			return nil, err
		}
	}
	if err := s.addWorker(blockedCapacity, "b", "r1"); err != nil {
		return nil, err
	}
	for range blockedCoordinators {
		if err := s.addCoordinator(); err != nil {
			return nil, err
		}
	}
	if err := s.awaitReady(20 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	special := newJob(jobBody{Spec: "cpu=600 ms=1000/8000", Steps: []step{
		{Count: 1, CPU: 600, Memory: 64, EstimateMS: 1000, Requires: "a"},
		{Count: 24, CPU: 600, Memory: 64, EstimateMS: 8000, DependsOn: []int{0}, Requires: "b"},
	}})
	if !s.submit(special, 10*time.Second) {
		return nil, errNotRun
	}
	time.Sleep(300 * time.Millisecond)
	if trouble {
		s.rec.add("the executor of kind b crashes and is lost for good")
		s.executors[blockedCommon].crash()
	}
	crashed := time.Now()
	var jobs []*job
	for time.Since(crashed) < blockedTraffic {
		j := newJob(jobBody{Spec: "cpu=1000 ms=200", Steps: []step{{Count: 2, CPU: 1000, Memory: 64, EstimateMS: 200}}})
		if s.submit(j, 5*time.Second) {
			jobs = append(jobs, j)
		}
		time.Sleep(blockedInterval)
	}
	ended := time.Now()
	time.Sleep(finish)
	runs := s.runs()
	completed := 0
	for _, j := range jobs {
		state := s.state(j, 5*time.Second)
		s.rec.add("GET %s: %s", j.id, j.lastAnswer)
		if state == "completed" {
			completed++
		}
		if since := s.stoodStill(j, runs, crashed.Add(calmBefore), state == "completed", 1000, "a"); !since.IsZero() {
			broken = append(broken, s.describe(j, since, state))
		}
	}
	s.rec.add("%d of %d ordinary jobs are completed %.1f s after the end of the traffic; the job of kind b: %s",
		completed, len(jobs), time.Since(ended).Seconds(), s.state(special, 5*time.Second))
	return broken, nil
}
