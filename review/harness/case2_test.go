//go:build review

package harness

import (
	"fmt"
	"time"
)

func init() { cases["2"] = manyEndsInAnOutage }

// manyEndsInAnOutage: the store is down for 0.9 s while more than 500 short tasks of kept jobs
// end at an executor. Their ends can't be noted meanwhile, so the executor's lists, which have 500
// ends at once, don't show the later ones.
func manyEndsInAnOutage(s *system, trouble bool) ([]string, error) {
	const (
		jobs   = 12
		tasks  = 150
		cpu    = 100
		work   = 60 * time.Millisecond
		outage = 900 * time.Millisecond
	)
	s.configure(1, 3)
	for _, kind := range []string{"a", "b"} {
		if err := s.addWorker(16000, func(string) time.Duration { return work }, func(string) int64 { return cpu }, kind); err != nil {
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
	body := fmt.Sprintf(`{"spec":"match","steps":[{"count":%d,"cpu":%d,"mem-mb":16,"estimate-ms":%d,"requires":"a"}]}`, tasks, cpu, work.Milliseconds())
	var ids []string
	accepted := make(chan error, jobs)
	for n := range jobs {
		id := jobID(n)
		ids = append(ids, id)
		go func() { accepted <- s.submit(s.coordinators[n%2], id, body) }()
	}
	for range jobs {
		if err := <-accepted; err != nil {
			return nil, err
		}
	}
	if trouble {
		s.store.setSilent(true)
		time.Sleep(outage)
		s.store.setSilent(false)
	}
	last := s.awaitStates(s.coordinators[0], ids, time.Now().Add(30*time.Second))
	time.Sleep(2 * time.Second) // the last ends are noted
	s.writeRuns(func(string) bool { return true })
	for _, id := range ids {
		if last[id].state != "completed" {
			s.rec.add("note: job %s is last reported as %d %s", id, last[id].status, last[id].body)
		}
	}
	return s.twice(), nil
}
