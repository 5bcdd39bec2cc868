//go:build review

package harness2

import (
	"time"
)

// The deployment of playSubset: as many executors as the users' grown deployments have, three of them of
// a rare kind.
const (
	subsetCoordinators = 8
	subsetWorkers      = 60
	subsetCapacity     = 16000
	subsetJobs         = 40
	subsetInterval     = 200 * time.Millisecond
	subsetRareEvery    = 20 // each so many-th executor is of the rare kind
)

// playSubset has two of the three executors of a rare kind lost for good. Jobs that need the kind come
// all the time; the third executor could run them all at once.
func playSubset(s *system, trouble bool) (broken []string, err error) {
	for i := range subsetWorkers {
		kind := "a"
		if i%subsetRareEvery == 0 {
			kind = "b"
		}
		if err := s.addWorker(subsetCapacity, kind, "r1"); err != nil {
			return nil, err
		}
	}
	for range subsetCoordinators {
		if err := s.addCoordinator(); err != nil {
			return nil, err
		}
	}
	if err := s.awaitReady(40 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(5 * time.Second)
	if trouble {
		for i := 0; i < subsetWorkers-subsetRareEvery; i += subsetRareEvery {
			s.rec.add("%s, of kind b, crashes and is lost for good", s.executors[i].name)
			s.executors[i].crash()
		}
	}
	crashed := time.Now()
	time.Sleep(calmBefore)
	var jobs []*job
	for range subsetJobs {
		j := newJob(jobBody{Spec: "cpu=1000 ms=200", Steps: []step{{Count: 2, CPU: 1000, Memory: 64, EstimateMS: 200, Requires: "b"}}})
		if s.submit(j, 5*time.Second) {
			jobs = append(jobs, j)
		}
		time.Sleep(subsetInterval)
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
		if since := s.stoodStill(j, runs, crashed.Add(calmBefore), state == "completed", 1000, "b"); !since.IsZero() {
			broken = append(broken, s.describe(j, since, state))
		}
	}
	s.rec.add("%d of %d jobs that need kind b are completed %.1f s after the end of the traffic", completed, len(jobs), time.Since(ended).Seconds())
	return broken, nil
}
