//go:build review

package harness

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/lichenfall/lichenfall/jobs/durable"
)

func init() { cases["1"] = readingOfAnEarlierOwnership }

// lags are how long after the answer to a reading the answer to a join arrives when the cut has
// healed, one in each round. Connections resume one by one after a cut.
var lags = []time.Duration{9 * time.Millisecond, 13 * time.Millisecond, 6 * time.Millisecond, 4 * time.Millisecond, 16 * time.Millisecond, 11 * time.Millisecond}

const (
	budget   = 70 * time.Second // for all rounds
	lostPart = 3
	waiting  = 240 // jobs of the partition that wait for an executor
	attempts = 60  // rounds at most, also void ones
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
	for n := 0; len(ids) < waiting+attempts; n++ {
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
	for _, id := range ids[attempts:] {
		go func() { accepted <- s.submit(second, id, body) }()
	}
	for range waiting {
		if err := <-accepted; err != nil {
			return nil, err
		}
	}
	var breaches []string
	end := time.Now().Add(budget)
	round := 0
	for n := 0; n < attempts && round < len(lags) && time.Now().Before(end); n++ {
		struck, err := s.dealTwice(ids[n], lags[round], trouble)
		if err != nil {
			return nil, err
		}
		if struck {
			denials := s.denied(ids[n])
			s.rec.add("round %d, lag %v: %d answers of 4 deny the job", round+1, lags[round], len(denials))
			breaches = append(breaches, denials...)
			round++
		}
	}
	if round == 0 {
		return nil, fmt.Errorf("all rounds were void")
	}
	s.writeRuns(func(string) bool { return true })
	return breaches, nil
}

// dealTwice has a job accepted between two deals while the first coordinator's reading is held up by a
// cut. It returns whether the first coordinator has sent a join after the second deal and before the
// cut healed: joins come four times a second, and the next one may come too early.
func (s *system) dealTwice(job string, lag time.Duration, trouble bool) (struck bool, err error) {
	first, second := s.coordinators[0], s.coordinators[1]
	const body = `{"spec":"release","steps":[{"count":1,"cpu":1000,"mem-mb":64,"estimate-ms":200}]}`
	if !trouble {
		return true, s.submit(second, job, body)
	}
	s.store.rebalance(0) // to the second coordinator
	time.Sleep(1200 * time.Millisecond)
	first.door.cutFrom(reads, map[string]time.Duration{"/v1/log-join": lag, "/v1/log-read": 300 * time.Millisecond})
	defer first.door.heal()
	s.store.rebalance(1) // to the first one, which reads the partition
	if err := await("a reading", func() bool { return first.door.during("/v1/log-newest") > 0 }); err != nil {
		return false, err
	}
	before := second.door.readings()
	s.store.rebalance(0) // to the second one, which accepts the job
	if err := await("a reading", func() bool { return second.door.readings() > before }); err != nil {
		return false, err
	}
	if !s.submitSoon(second, job, body) || first.door.during("/v1/log-join") > 0 {
		s.rec.add("this round is void: coordinator 1 has joined too early")
		return false, nil
	}
	s.store.rebalance(1) // to the first one
	return true, await("a join", func() bool { return first.door.during("/v1/log-join") > 0 })
}

// submitSoon sends a job until it is accepted, for half a second.
func (s *system) submitSoon(c *coordinator, job, body string) bool {
	for end := time.Now().Add(500 * time.Millisecond); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if s.call(c, http.MethodPost, job, body, time.Second).status == http.StatusOK {
			return true
		}
	}
	return false
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
	time.Sleep(3600 * time.Millisecond)
	var out []string
	for range 2 {
		for _, c := range s.coordinators {
			if a := s.call(c, http.MethodGet, job, "", 2*time.Second); a.status == http.StatusGone {
				out = append(out, fmt.Sprintf("LOST: %s answers 410 to a GET for job %s, which was accepted and which nobody has cancelled", c.name, job))
			}
		}
		time.Sleep(300 * time.Millisecond)
	}
	return out
}
