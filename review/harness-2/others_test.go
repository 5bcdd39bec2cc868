//go:build review

package harness2

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	smallCoordinators = 3
	smallWorkers      = 8
	smallCapacity     = 16000
)

func (s *system) startSmall() error {
	for range smallWorkers {
		if err := s.addWorker(smallCapacity, "a", "r1"); err != nil {
			return err
		}
	}
	for range smallCoordinators {
		if err := s.addCoordinator(); err != nil {
			return err
		}
	}
	if err := s.awaitReady(20 * time.Second); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	return nil
}

const (
	cancelSteps = 8
	cancelJobs  = 4               // of which one is cancelled: the share of give_up at tabua-lost
	cancelBound = 3 * time.Second // cancel_ms
)

// playCancel cancels a job that needn't be kept while it runs.
func playCancel(s *system, trouble bool) (broken []string, err error) {
	if err := s.startSmall(); err != nil {
		return nil, err
	}
	body := jobBody{Spec: "cpu=1000 ms=1000", BestEffort: true}
	for i := range cancelSteps {
		st := step{Count: 2, CPU: 1000, Memory: 64, EstimateMS: 1000}
		if i > 0 {
			st.DependsOn = []int{i - 1}
		}
		body.Steps = append(body.Steps, st)
	}
	jobs := make([]*job, cancelJobs)
	var answered sync.WaitGroup
	for i := range jobs {
		j := newJob(body)
		jobs[i] = j
		answered.Add(1)
		go func() {
			defer answered.Done()
			status, text := s.call(context.Background(), s.coordinators[0], http.MethodPost, j.id, j.body, 20*time.Second)
			s.rec.add("POST %s: %d %s", j.id, status, text)
		}()
	}
	j := jobs[0]
	time.Sleep(1500 * time.Millisecond)
	if trouble {
		status, text := s.call(context.Background(), s.coordinators[0], http.MethodDelete, j.id, nil, 3*time.Second)
		s.rec.add("DELETE %s: %d %s", j.id, status, text)
		if status/100 == 2 || status == http.StatusGone {
			j.cancelled = time.Now()
		}
	}
	answered.Wait()
	for _, r := range s.runs() {
		if !j.cancelled.IsZero() && r.job() == j.id && r.began.Sub(j.cancelled) > cancelBound {
			broken = append(broken, fmt.Sprintf("task %s starts %.3f s after the cancelling of its job was acknowledged", r.task, r.began.Sub(j.cancelled).Seconds()))
		}
	}
	return broken, nil
}

const (
	crashCount = 3
	crashDown  = 4500 * time.Millisecond
)

// playCrashes crashes the executor that runs a kept job's only task, three times one after another.
func playCrashes(s *system, trouble bool) (broken []string, err error) {
	if err := s.startSmall(); err != nil {
		return nil, err
	}
	j := newJob(jobBody{Spec: "cpu=1000 ms=5000", Steps: []step{{Count: 1, CPU: 1000, Memory: 64, EstimateMS: 5000}}})
	if !s.submit(j, 10*time.Second) {
		return nil, errNotRun
	}
	for crashes := 0; trouble && crashes < crashCount; time.Sleep(100 * time.Millisecond) {
		for _, e := range s.executors {
			for _, r := range e.runs() {
				if r.ended.IsZero() && time.Since(r.began) > time.Second && crashes < crashCount {
					s.rec.add("%s crashes", e.name)
					crashes++
					e.crash()
					go func() {
						time.Sleep(crashDown)
						_ = e.restart()
					}()
				}
			}
		}
	}
	time.Sleep(finish)
	state := s.state(j, 5*time.Second)
	s.rec.add("GET %s: %s", j.id, j.lastAnswer)
	failed := 0
	for _, r := range s.runs() {
		if strings.HasPrefix(r.how, "failed") {
			failed++
		}
	}
	if state == "failed" && failed < 3 {
		broken = append(broken, fmt.Sprintf("job %s is reported as failed; %d of its runs have ended failed, max-attempts is 3", j.id, failed))
	}
	return broken, nil
}
