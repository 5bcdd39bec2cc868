//go:build review

package harness2

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// chaosJob is a job of playChaos.
type chaosJob struct {
	*job
	body     jobBody
	rejected bool // every attempt was rejected
	silent   bool // some attempt got no answer
	deleted  bool // a DELETE was sent
}

const (
	chaosTime = 36 * time.Second
	chaosCalm = 22 * time.Second
)

// playChaos harms the system at random, by the seed in SEED, and checks kept jobs.
func playChaos(s *system, trouble bool) (broken []string, err error) {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	random := rand.New(rand.NewPCG(seed, 7))
	s.withDoors = true
	for i := range 5 {
		if err := s.addWorker(8000, []string{"a", "b"}[i%2], "r1"); err != nil {
			return nil, err
		}
		s.executors[i].rate = []float64{1, 0.98, 1}[i%3]
		s.executors[i].random = rand.New(rand.NewPCG(seed, uint64(i)))
	}
	for range 3 {
		if err := s.addCoordinator(); err != nil {
			return nil, err
		}
	}
	if err := s.awaitReady(20 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	end := time.Now().Add(chaosTime)
	var jobs []*chaosJob
	var mu sync.Mutex
	var wait sync.WaitGroup
	go func() {
		for n := 0; time.Now().Before(end); n++ {
			wait.Add(1)
			go func() {
				defer wait.Done()
				j := s.chaosClient(n)
				mu.Lock()
				jobs = append(jobs, j)
				mu.Unlock()
			}()
			time.Sleep(60 * time.Millisecond)
		}
	}()
	for trouble && time.Now().Before(end) {
		time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond)
		wait.Add(1)
		go func(r *rand.Rand) {
			defer wait.Done()
			s.harm(r, seed)
		}(rand.New(rand.NewPCG(random.Uint64(), 1)))
	}
	time.Sleep(time.Until(end))
	wait.Wait()
	s.rec.add("calm")
	time.Sleep(chaosCalm)
	return s.judge(jobs), nil
}

// chaosClient hands in one job, perhaps twice, perhaps cancels it.
func (s *system) chaosClient(n int) *chaosJob {
	ms := []int{100, 300, 1200, 100}[n%4]
	spec := fmt.Sprintf("cpu=500 ms=%d n=%d", ms, n)
	if n%11 == 0 {
		spec += " fails"
	}
	body := jobBody{Spec: spec}
	for i := range 1 + n%3 {
		st := step{Count: 1 + n%4, CPU: 500, Memory: 64, EstimateMS: int64(ms)}
		if i > 0 {
			st.DependsOn = []int{i - 1}
		}
		if n%5 == 0 {
			st.Requires = "a"
		}
		if n%6 == 1 {
			st.Apart = 1
		}
		st.Saves = n%2 == 0
		body.Steps = append(body.Steps, st)
	}
	body.BestEffort = os.Getenv("BEST_EFFORT") != ""
	j := &chaosJob{job: newJob(body), body: body, rejected: true}
	if body.BestEffort {
		for end := time.Now().Add(9 * time.Second); time.Now().Before(end); time.Sleep(retransmit) {
			m := s.coordinators[rand.IntN(len(s.coordinators))]
			status, text := s.call(context.Background(), m, http.MethodPost, j.id, j.job.body, time.Duration(1500+rand.IntN(4000))*time.Millisecond)
			s.rec.add("POST %s at %s: %d %s", j.id, m.name, status, text)
			if status == 429 || status == 503 || status == 404 {
				continue
			}
			j.rejected = false
			if status/100 == 2 {
				break
			}
		}
		return j
	}
	for try := range 8 {
		m := s.coordinators[rand.IntN(len(s.coordinators))]
		status, text := s.call(context.Background(), m, http.MethodPost, j.id, j.job.body, 3*time.Second)
		s.rec.add("POST %s at %s: %d %s", j.id, m.name, status, text)
		if status/100 == 2 {
			j.accepted, j.rejected = time.Now(), false
			break
		}
		if status != 429 && status != 503 && status != 404 {
			j.rejected, j.silent = false, true
		}
		if try == 7 {
			return j
		}
		time.Sleep(retransmit)
	}
	if n%9 == 0 && !j.accepted.IsZero() {
		status, text := s.call(context.Background(), s.coordinators[0], http.MethodPost, j.id, j.job.body, 3*time.Second)
		s.rec.add("POST %s again: %d %s", j.id, status, text)
	}
	if n%7 == 0 && !j.accepted.IsZero() {
		for range 12 {
			m := s.coordinators[rand.IntN(len(s.coordinators))]
			j.deleted = true
			status, text := s.call(context.Background(), m, http.MethodDelete, j.id, nil, 3*time.Second)
			s.rec.add("DELETE %s at %s: %d %s", j.id, m.name, status, text)
			if status/100 == 2 || status == http.StatusGone {
				j.cancelled = time.Now()
				break
			}
			time.Sleep(300 * time.Millisecond)
		}
	}
	return j
}

// harm does one kind of harm.
func (s *system) harm(r *rand.Rand, seed uint64) {
	c, w, e := s.coordinators[r.IntN(3)], s.workers[r.IntN(5)], s.executors[r.IntN(5)]
	d, g := s.doors[r.IntN(len(s.doors))], s.gates[r.IntN(3)]
	for_ := time.Duration(300+r.IntN(4500)) * time.Millisecond
	kinds := strings.Split(os.Getenv("KINDS"), ",")
	if kinds[0] == "" {
		kinds = []string{"kill-c", "kill-w", "kill-w", "stop-c", "stop-w", "door", "door", "gate", "gate", "rebalance", "rebalance", "crash", "late", "fail", "term", "store"}
	}
	kind := kinds[r.IntN(len(kinds))]
	s.rec.add("HARM %s %s/%s/%s door %s gate %s for %v", kind, c.name, w.name, e.name, d.target, g.address, for_)
	switch kind {
	case "kill-c":
		_ = c.kill(500 * time.Millisecond)
	case "kill-all":
		for _, m := range s.machines() {
			m.signal(syscall.SIGKILL, true)
		}
		time.Sleep(300 * time.Millisecond)
		for _, m := range s.machines() {
			_ = m.start()
		}
	case "power":
		n := r.IntN(5)
		e := s.executors[n]
		e.mu.Lock()
		gone := e.gone
		e.mu.Unlock()
		if gone {
			return
		}
		e.crash()
		_ = s.workers[n].kill(for_)
		_ = e.restart()
	case "kill-w":
		_ = w.kill(time.Duration(r.IntN(1500)) * time.Millisecond)
	case "term":
		c.signal(syscall.SIGTERM, true)
		_ = c.start()
	case "stop-c":
		c.signal(syscall.SIGSTOP, false)
		time.Sleep(for_)
		c.signal(syscall.SIGCONT, false)
	case "stop-w":
		w.signal(syscall.SIGSTOP, false)
		time.Sleep(for_)
		w.signal(syscall.SIGCONT, false)
	case "door":
		d.setShut(true)
		time.Sleep(for_)
		d.setShut(false)
	case "gate":
		g.mode.Store([]gateMode{gateBusy, gateSilent, gateReset, gateLost, gateSlow}[r.IntN(5)])
		if r.IntN(2) == 0 {
			s.store.reassign(1)
		}
		time.Sleep(for_)
		g.mode.Store(gateOpen)
	case "store":
		mode := []gateMode{gateBusy, gateSilent, gateReset, gateLost, gateSlow}[r.IntN(5)]
		for _, g := range s.gates {
			g.mode.Store(mode)
		}
		time.Sleep(for_)
		for _, g := range s.gates {
			g.mode.Store(gateOpen)
		}
	case "rebalance":
		s.store.reassign(1 + r.IntN(2))
	case "crash":
		e.mu.Lock()
		gone := e.gone
		e.mu.Unlock()
		if gone {
			return
		}
		e.crash()
		time.Sleep(for_)
		_ = e.restart()
	case "late":
		e.set(func() { e.lateShare = 0.5 })
		time.Sleep(for_)
		e.set(func() { e.lateShare = 0 })
	case "fail":
		e.set(func() { e.failing = true })
		time.Sleep(for_)
		e.set(func() { e.failing = false })
	}
}

func (e *executor) set(change func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change()
}

func (s *metaStore) reassign(shift int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.groups.Reassign(time.Now(), shift)
}

// judge checks the rules on kept jobs by what clients and executors saw.
func (s *system) judge(jobs []*chaosJob) (broken []string) {
	add := func(format string, args ...any) { broken = append(broken, fmt.Sprintf(format, args...)) }
	rel := func(t time.Time) float64 { return t.Sub(s.rec.began).Seconds() }
	byTask := make(map[string][]run)
	byJob := make(map[string][]run)
	for _, r := range s.runs() {
		byTask[r.task] = append(byTask[r.task], r)
		byJob[r.job()] = append(byJob[r.job()], r)
	}
	for task, runs := range byTask {
		slices.SortFunc(runs, func(a, b run) int { return a.began.Compare(b.began) })
		failures := 0
		for i, a := range runs {
			for _, b := range runs[i+1:] {
				if a.ended.IsZero() || a.ended.After(b.began) {
					add("TWICE task %s: run %d at %s from %.3f to %.3f (%s), run %d at %s from %.3f", task, a.number, a.executor, rel(a.began), rel(a.ended), a.how, b.number, b.executor, rel(b.began))
				}
				if a.how == "done" && !a.noted.IsZero() && !b.began.Before(a.ended) {
					add("TWICE task %s: run %d at %s done at %.3f, noted at %.3f; run %d at %s starts at %.3f", task, a.number, a.executor, rel(a.ended), rel(a.noted), b.number, b.executor, rel(b.began))
				}
			}
			if failures >= 3 {
				add("BUDGET task %s: run %d at %.3f after %d failures", task, a.number, rel(a.began), failures)
			}
			if a.how == "failed" && !a.noted.IsZero() {
				failures++
			}
		}
	}
	counts := make(map[string]int)
	if os.Getenv("BEST_EFFORT") != "" {
		broken = slices.DeleteFunc(broken, func(line string) bool { return strings.Contains(line, "noted at") || strings.HasPrefix(line, "BUDGET") })
	}
	for _, j := range jobs {
		runs := byJob[j.id]
		for _, r := range runs {
			if r.saved != "" && r.saved != savedOf(r.task) {
				add("UNASKED task %s with checkpoint %q", r.task, r.saved)
			}
			for _, o := range runs {
				if j.body.Steps[0].Apart == 1 && o.executor == r.executor && o.task < r.task && strings.Split(o.task, ".")[2] == strings.Split(r.task, ".")[2] && o.ongoingAt(r.began) && r.began.After(o.began) {
					add("ROUTE task %s starts beside %s at %s at %.3f", r.task, o.task, r.executor, rel(r.began))
				}
				if j.body.Steps[0].Apart == 1 && o.executor == r.executor && o.task > r.task && strings.Split(o.task, ".")[2] == strings.Split(r.task, ".")[2] && o.ongoingAt(r.began) && r.began.After(o.began) {
					add("ROUTE task %s starts beside %s at %s at %.3f", r.task, o.task, r.executor, rel(r.began))
				}
			}
			if r.spec != j.body.Spec {
				add("UNASKED task %s with spec %q", r.task, r.spec)
			}
			if !j.cancelled.IsZero() && r.began.Sub(j.cancelled) > 3*time.Second {
				add("UNASKED? task %s run %d starts at %.3f, cancelled at %.3f", r.task, r.number, rel(r.began), rel(j.cancelled))
			}
			if !j.cancelled.IsZero() && r.ended.Sub(j.cancelled) > 4*time.Second {
				add("UNASKED? task %s run %d ends at %.3f, cancelled at %.3f", r.task, r.number, rel(r.ended), rel(j.cancelled))
			}
			var step int
			fmt.Sscanf(strings.Split(r.task, ".")[2], "%d", &step)
			if step > 0 {
				for k := range j.body.Steps[step-1].Count {
					done := false
					for _, p := range byTask[fmt.Sprintf("%s.0.%d.%d", j.id, step-1, k)] {
						done = done || p.how == "done" && !p.ended.After(r.began)
					}
					if !done {
						add("ORDER task %s starts at %.3f", r.task, rel(r.began))
					}
				}
			}
		}
		if j.rejected && len(runs) > 0 {
			add("REFUSED job %s ran", j.id)
		}
		if j.accepted.IsZero() {
			counts["not accepted"]++
			continue
		}
		state := s.state(j.job, 8*time.Second)
		counts[state]++
		fails := strings.Contains(j.body.Spec, "fails")
		failed := 0
		for _, r := range runs {
			if r.how == "failed" {
				failed++
			}
		}
		switch {
		case state == "completed":
			for i, st := range j.body.Steps {
				for k := range st.Count {
					task := fmt.Sprintf("%s.0.%d.%d", j.id, i, k)
					if !slices.ContainsFunc(byTask[task], func(r run) bool { return r.how == "done" }) {
						add("MIXED job %s completed, task %s not done", j.id, task)
					}
				}
			}
		case state == "failed" && (fails || failed >= 3):
		case state == "cancelled" && j.deleted:
		default:
			add("LOST job %s (accepted %.3f) is %s; %d failed runs; spec %s; last %s", j.id, rel(j.accepted), state, failed, j.body.Spec, j.lastAnswer)
		}
	}
	s.rec.add("%d jobs: %v", len(jobs), counts)
	fmt.Println(len(jobs), "jobs:", counts)
	return broken
}
