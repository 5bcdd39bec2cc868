//go:build review

package harness

import (
	"fmt"
	"time"
)

func init() { cases["3"] = newWorkerWhileTurnedAway }

// newWorkerWhileTurnedAway: a worker machine is added while the store turns one coordinator away.
// When the store serves that coordinator again, it gets partitions whose tasks run at the new worker.
func newWorkerWhileTurnedAway(s *system, trouble bool) ([]string, error) {
	const (
		jobs  = 30
		tasks = 2
		cpu   = 500
		work  = 3500 * time.Millisecond
		away  = 6 * time.Second // of the 9 s in the site file
	)
	s.configure(1, 3)
	add := func() error {
		return s.addWorker(16000, func(string) time.Duration { return work }, func(string) int64 { return cpu })
	}
	for range 2 {
		if err := add(); err != nil {
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
	first, second := s.coordinators[0], s.coordinators[1]
	turnedAway := time.Now()
	if trouble {
		second.door.setSilent(true)
	}
	time.Sleep(500 * time.Millisecond)
	s.rec.add("a worker machine is added")
	if err := add(); err != nil {
		return nil, err
	}
	time.Sleep(time.Until(turnedAway.Add(away - time.Second)))
	body := fmt.Sprintf(`{"spec":"verify","steps":[{"count":%d,"cpu":%d,"mem-mb":64,"estimate-ms":%d}]}`, tasks, cpu, work.Milliseconds())
	var ids []string
	accepted := make(chan error, jobs)
	for n := range jobs {
		ids = append(ids, jobID(n))
		go func() { accepted <- s.submit(first, jobID(n), body) }()
	}
	for range jobs {
		if err := <-accepted; err != nil {
			return nil, err
		}
	}
	time.Sleep(time.Until(turnedAway.Add(away)))
	if trouble {
		second.door.setSilent(false)
	}
	last := s.awaitStates(first, ids, time.Now().Add(25*time.Second))
	time.Sleep(time.Second)
	s.writeRuns(func(string) bool { return true })
	for _, id := range ids {
		if last[id].state != "completed" {
			s.rec.add("note: job %s is last reported as %d %s", id, last[id].status, last[id].body)
		}
	}
	return s.twice(), nil
}
