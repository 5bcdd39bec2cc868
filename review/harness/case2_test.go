//go:build review

package harness

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["2"] = restartBehindACut }

// restartBehindACut: a worker is cut off from the coordinators while it runs tasks of kept jobs, and
// its process is killed and started again behind the cut.
func restartBehindACut(s *system, trouble bool) ([]string, error) {
	const (
		jobs        = 12
		tasks       = 2
		cpu         = 1600
		work        = 3500 * time.Millisecond
		killAfter   = 1300 * time.Millisecond // the cut
		restartIn   = 750 * time.Millisecond  // the kill
		cutDuration = 5500 * time.Millisecond
	)
	s.configure(1, 3)
	for range 3 {
		if err := s.addWorker(16000, func(string) time.Duration { return work }, func(string) int64 { return cpu }); err != nil {
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
	victim := s.workers[0]
	var once sync.Once
	begun := make(chan struct{})
	victim.executor.mu.Lock()
	victim.executor.began = func(*run) { once.Do(func() { close(begun) }) }
	victim.executor.mu.Unlock()
	body := fmt.Sprintf(`{"spec":"verify","steps":[{"count":%d,"cpu":%d,"mem-mb":64,"estimate-ms":%d}]}`, tasks, cpu, work.Milliseconds())
	var ids []string
	for n := range jobs {
		ids = append(ids, jobID(n))
		if err := s.submit(s.coordinators[n%2], jobID(n), body); err != nil {
			return nil, err
		}
	}
	select {
	case <-begun:
	case <-time.After(5 * time.Second):
		return nil, fmt.Errorf("no task was started at %s", victim.name)
	}
	time.Sleep(100 * time.Millisecond)
	if trouble {
		s.rec.add("%s is cut off from the coordinators, with resets", victim.name)
		victim.proxy.setCut(true)
		time.Sleep(killAfter)
		victim.kill()
		time.Sleep(restartIn)
		if err := victim.start(); err != nil {
			return nil, err
		}
		time.Sleep(cutDuration - killAfter - restartIn)
		s.rec.add("the cut heals")
		victim.proxy.setCut(false)
	}
	last := s.awaitStates(s.coordinators[0], ids, time.Now().Add(25*time.Second))
	time.Sleep(time.Second)
	s.writeRuns(func(string) bool { return true })
	for _, id := range ids {
		if last[id].state != "completed" {
			s.rec.add("note: job %s is last reported as %d %s", id, last[id].status, last[id].body)
		}
	}
	return s.twice(), nil
}
