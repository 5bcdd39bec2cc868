//go:build review

package harness2

import (
	"context"
	"fmt"
	"net/http"
	"syscall"
	"time"
)

const (
	freezeTime   = 4 * time.Second
	latePatience = 1300 * time.Millisecond
	lateSteps    = 4
)

// playLatePost has a client whose POST gets no answer, since the machine is frozen, give the job up: it
// closes the connection and cancels the job at another machine.
func playLatePost(s *system, trouble bool) (broken []string, err error) {
	if err := s.startSmall(); err != nil {
		return nil, err
	}
	body := jobBody{Spec: "cpu=1000 ms=1000"}
	for i := range lateSteps {
		st := step{Count: 2, CPU: 1000, Memory: 64, EstimateMS: 1000}
		if i > 0 {
			st.DependsOn = []int{i - 1}
		}
		body.Steps = append(body.Steps, st)
	}
	j := newJob(body)
	if trouble {
		s.rec.add("coordinator-0 freezes")
		s.coordinators[0].signal(syscall.SIGSTOP, false)
		time.AfterFunc(freezeTime, func() {
			s.rec.add("coordinator-0 wakes")
			s.coordinators[0].signal(syscall.SIGCONT, false)
		})
		time.Sleep(200 * time.Millisecond)
	}
	status, text := s.call(context.Background(), s.coordinators[0], http.MethodPost, j.id, j.body, latePatience)
	s.rec.add("POST %s at coordinator-0: %d %s", j.id, status, text)
	for range 5 {
		status, text = s.call(context.Background(), s.coordinators[1], http.MethodDelete, j.id, nil, 3*time.Second)
		s.rec.add("DELETE %s at coordinator-1: %d %s", j.id, status, text)
		if status/100 == 2 || status == http.StatusGone {
			j.cancelled = time.Now()
			break
		}
		time.Sleep(300 * time.Millisecond)
	}
	time.Sleep(finish)
	s.rec.add("state: %s", s.state(j, 3*time.Second))
	for _, r := range s.runs() {
		if !j.cancelled.IsZero() && r.job() == j.id && r.began.Sub(j.cancelled) > cancelBound {
			broken = append(broken, fmt.Sprintf("task %s starts %.3f s after the cancelling of its job was acknowledged", r.task, r.began.Sub(j.cancelled).Seconds()))
		}
	}
	return broken, nil
}
