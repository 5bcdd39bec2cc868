//go:build review

package harness2

import (
	"fmt"
	"time"
)

// The dose of playFlap: srv_flap at tabua-lost-grown, of one executor of ten.
const (
	flapWorkers = 10
	flapPeriod  = 1400 * time.Millisecond
	flapTime    = 6500 * time.Millisecond
	flapJobs    = 60
)

// playFlap has one executor go down and up by turns while kept jobs wait for capacity.
func playFlap(s *system, trouble bool) (broken []string, err error) {
	for range flapWorkers {
		if err := s.addWorker(smallCapacity, "a", "r1"); err != nil {
			return nil, err
		}
	}
	for range smallCoordinators {
		if err := s.addCoordinator(); err != nil {
			return nil, err
		}
	}
	if err := s.awaitReady(20 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	var jobs []*job
	for range flapJobs {
		j := newJob(jobBody{Spec: "cpu=4000 ms=2000", Steps: []step{{Count: 4, CPU: 4000, Memory: 64, EstimateMS: 2000}}})
		if s.submit(j, 5*time.Second) {
			jobs = append(jobs, j)
		}
	}
	for began := time.Now(); trouble && time.Since(began) < flapTime; {
		s.rec.add("%s crashes", s.executors[0].name)
		s.executors[0].crash()
		time.Sleep(flapPeriod / 2)
		if err := s.executors[0].restart(); err != nil {
			return nil, err
		}
		s.rec.add("%s is up", s.executors[0].name)
		time.Sleep(flapPeriod / 2)
	}
	time.Sleep(finish + 5*time.Second)
	failed := make(map[string]int)
	for _, r := range s.runs() {
		if r.how == "failed" {
			failed[r.job()]++
		}
	}
	for _, j := range jobs {
		state := s.state(j, 5*time.Second)
		s.rec.add("GET %s: %s", j.id, j.lastAnswer)
		if state == "failed" && failed[j.id] < 3 {
			broken = append(broken, fmt.Sprintf("job %s is reported as failed; %d of its runs have ended failed, max-attempts is 3", j.id, failed[j.id]))
		}
	}
	return broken, nil
}
