//go:build review

package harness

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/lichenfall/lichenfall/jobs/durable"
)

func init() { cases["1"] = readingOfAnEarlierOwnership }

// lags are how long after the answer to a reading the answer to a join arrives when the cut has
// healed, one in each round. Connections resume one by one after a cut.
var lags = []time.Duration{6 * time.Millisecond, 9 * time.Millisecond, 4 * time.Millisecond, 13 * time.Millisecond, 2 * time.Millisecond, 20 * time.Millisecond}

const (
	lostPart = 3
	waiting  = 240 // jobs of the partition that wait for an executor
)

// readingOfAnEarlierOwnership: the way from the store to a coordinator is cut while it reads a
// partition. Meanwhile every partition is dealt anew twice: the partition goes to another
// coordinator, which accepts a job, and back.
func readingOfAnEarlierOwnership(s *system, trouble bool) ([]string, error) {
	s.configure(1, 3)
	for range 2 {
		if err := s.addWorker(16000, func(string) time.Duration { return 200 * time.Millisecond }, func(string) int64 { return 1000 }, "a"); err != nil {
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
	var ids []string
	for n := 0; len(ids) < waiting+len(lags); n++ {
		if id := jobID(n); durable.JobID(id).Partition(storeParts) == lostPart {
			ids = append(ids, id)
		}
	}
	if trouble {
		s.store.rebalance(0) // the partition goes to the second coordinator
		time.Sleep(time.Second)
	}
	second := s.coordinators[1]
	body := fmt.Sprintf(`{"spec":"%s","steps":[{"count":1,"cpu":1000,"mem-mb":64,"estimate-ms":200,"requires":"b"}]}`, strings.Repeat("x", 3900))
	accepted := make(chan error, waiting)
	for _, id := range ids[len(lags):] {
		go func() { accepted <- s.submit(second, id, body) }()
	}
	for range waiting {
		if err := <-accepted; err != nil {
			return nil, err
		}
	}
	var breaches []string
	for round, lag := range lags {
		if err := s.dealTwice(ids[round], lag, trouble); err != nil {
			return nil, err
		}
		breaches = append(breaches, s.denied(ids[round])...)
	}
	s.writeRuns(func(string) bool { return true })
	return breaches, nil
}

// dealTwice has a job accepted between the two deals, and returns when the cut has healed.
func (s *system) dealTwice(job string, lag time.Duration, trouble bool) error {
	first, second := s.coordinators[0], s.coordinators[1]
	const body = `{"spec":"release","steps":[{"count":1,"cpu":1000,"mem-mb":64,"estimate-ms":200}]}`
	if !trouble {
		return s.submit(second, job, body)
	}
	s.store.rebalance(0) // to the second coordinator
	time.Sleep(time.Second)
	reads := func(r *http.Request) bool {
		q := r.URL.Query()
		return r.URL.Path == "/v1/log-newest" && q.Get("topic") == "keyed.jobs" && q.Get("part") == strconv.Itoa(lostPart)
	}
	first.door.cutFrom(reads, map[string]time.Duration{"/v1/log-join": lag, "/v1/log-read": 300 * time.Millisecond})
	s.store.rebalance(1) // to the first one, which reads the partition
	if err := await("a reading", func() bool { return first.door.during("/v1/log-newest") > 0 }); err != nil {
		return err
	}
	s.store.rebalance(0) // to the second one, which accepts the job
	time.Sleep(500 * time.Millisecond)
	if err := s.submit(second, job, body); err != nil {
		return err
	}
	s.store.rebalance(1) // to the first one
	joins := first.door.during("/v1/log-join")
	if err := await("a join", func() bool { return first.door.during("/v1/log-join") > joins }); err != nil {
		return err
	}
	first.door.heal()
	return nil
}

// await waits until something has arrived at the store.
func await(what string, arrived func() bool) error {
	for end := time.Now().Add(2 * time.Second); !arrived(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			return fmt.Errorf("%s has not arrived at the store in 2 s", what)
		}
	}
	return nil
}

// denied asks for an accepted job, after more than contact-ms and visible_ms without a disruption,
// and returns the answers that say that there is no such job.
func (s *system) denied(job string) []string {
	time.Sleep(4500 * time.Millisecond)
	var out []string
	for range 3 {
		for _, c := range s.coordinators {
			if a := s.call(c, http.MethodGet, job, "", 2*time.Second); a.status == http.StatusGone {
				out = append(out, fmt.Sprintf("LOST: %s answers 410 to a GET for job %s, which was accepted and which nobody has cancelled", c.name, job))
			}
		}
		time.Sleep(300 * time.Millisecond)
	}
	return out
}
