//go:build soak

// Package soak runs entries and agents as processes of their own on loopback, under load. It kills,
// pauses and stops them, takes the platform's stand-in out of service, and checks the promises by
// two sources alone: the journals of the stand-ins for backend servers, and the answers that
// callers received. It isn't part of the ordinary tests; run it by make soak-submissions.
package soak

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"sort"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/lichenfall/lichenfall/submissions/claim"
	"github.com/lichenfall/lichenfall/submissions/client"
	"github.com/lichenfall/lichenfall/submissions/job"
)

var (
	duration = flag.Duration("soak.duration", 10*time.Minute, "time during which jobs are submitted")
	rate     = flag.Float64("soak.rate", 15, "jobs a second")
	seed     = flag.Uint64("soak.seed", 1, "seed of the random choices")
	report   = flag.String("soak.report", "", "file to write the report to")
)

const (
	entries       = 3
	agents        = 11
	resendShare   = 0.1
	timeout       = 5 * time.Second
	faultInterval = 5 * time.Second
)

// call is one request of a caller, and its answer.
type call struct {
	id     string
	entry  int
	resend bool
	sent   time.Time
	ended  time.Time
	tasks  int
	answer *job.Answer // nil if there was none
}

// soak is the state of one run.
type soak struct {
	t       *testing.T
	rng     *rand.Rand
	procs   *processes
	clients []*client.Client

	mu    sync.Mutex
	calls []call
	wg    sync.WaitGroup
}

func TestSoak(t *testing.T) {
	s := &soak{t: t, rng: rand.New(rand.NewPCG(*seed, 1)), procs: startProcesses(t)}
	for _, u := range s.procs.entryURLs {
		s.clients = append(s.clients, client.New(u))
	}
	ctx, cancel := context.WithTimeout(context.Background(), *duration)
	defer cancel()
	go s.procs.injectFaults(ctx, rand.New(rand.NewPCG(*seed, 2)))
	s.load(ctx)
	s.wg.Wait()
	s.procs.awaitFaults()
	s.check()
}

// load submits jobs at the given rate until ctx ends. A share of resendShare of them is submitted a
// second time, through another entry.
func (s *soak) load(ctx context.Context) {
	for ctx.Err() == nil {
		r := s.request()
		first := s.rng.IntN(entries)
		s.submit(r, first, false, 0)
		if s.rng.Float64() < resendShare {
			s.submit(r, (first+1)%entries, true, time.Duration(s.rng.IntN(2000))*time.Millisecond)
		}
		time.Sleep(time.Duration(s.rng.ExpFloat64() / *rate * float64(time.Second)))
	}
}

func (s *soak) request() *job.Request {
	r := &job.Request{ID: client.NewID(), Workspace: "tabua", Pool: "default", TimeoutMS: timeout.Milliseconds()}
	for i := range 1 + s.rng.IntN(25) {
		payload := fmt.Sprintf(`{"sleep_ms":%d,"echo":"%s/%d"}`, 20+s.rng.IntN(80), r.ID, i)
		r.Tasks = append(r.Tasks, job.TaskRequest{Payload: json.RawMessage(payload)})
	}
	return r
}

func (s *soak) submit(r *job.Request, entry int, resend bool, after time.Duration) {
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		time.Sleep(after)
		ctx, cancel := context.WithTimeout(context.Background(), timeout+10*time.Second)
		defer cancel()
		c := call{id: r.ID, entry: entry, resend: resend, sent: time.Now(), tasks: len(r.Tasks)}
		a, err := s.clients[entry].Submit(ctx, r)
		c.ended = time.Now()
		if err == nil {
			c.answer = a
		}
		s.mu.Lock()
		s.calls = append(s.calls, c)
		s.mu.Unlock()
	}()
}

// check compares the answers that callers received with the journals.
func (s *soak) check() {
	starts := s.procs.journal()
	twice, half, falseNotRun, cut := 0, 0, 0, 0
	tasks := 0
	for id, byTask := range starts {
		for task, n := range byTask {
			tasks++
			if n > 1 {
				twice++
				s.t.Errorf("task %d of %s was started %d times", task, id, n)
			}
		}
	}
	outcomes := make(map[string]int)
	for i := range s.calls {
		c := &s.calls[i]
		outcomes[c.outcome()]++
		if !c.isValid() {
			half++
			s.t.Errorf("%s: not a whole answer of its own: %+v", c.id, c.answer)
		}
		if c.saysNotRun() && len(starts[c.id]) > 0 {
			falseNotRun++
			s.t.Errorf("%s is said not to have run, but was started", c.id)
		}
		if why := s.procs.interruptedBy(c); why != "" {
			cut++
			s.t.Errorf("%s through entry %d was cut off by a planned stop: %s", c.id, c.entry, why)
		}
	}
	s.writeReport(fmt.Sprintf("submissions %d, tasks started %d, faults: %s\n"+
		"double starts %d, half or foreign answers %d, false \"not run\" %d, cut off by planned stops %d\n%s%s",
		len(s.calls), tasks, s.procs.countFaults(), twice, half, falseNotRun, cut, formatCounts(outcomes, len(s.calls)), s.refusalSpans()))
}

func (c *call) outcome() string {
	name := "first copy: "
	if c.resend {
		name = "resend: "
	}
	switch {
	case c.answer == nil:
		return name + "no answer"
	case c.answer.Error != nil:
		return name + c.answer.Error.Kind + ", " + c.answer.Error.Ran
	}
	return name + "complete"
}

// isValid reports whether the answer, if there is one, is either a failure without results or
// complete with the results of this very submission.
func (c *call) isValid() bool {
	if c.answer == nil {
		return true
	}
	if c.answer.Error != nil {
		return len(c.answer.Results) == 0
	}
	for i, r := range c.answer.Results {
		if string(r) != fmt.Sprintf(`"%s/%d"`, c.id, i) {
			return false
		}
	}
	return len(c.answer.Results) == c.tasks && c.answer.Submission == c.id
}

func (c *call) saysNotRun() bool {
	return c.answer != nil && c.answer.Error != nil && c.answer.Error.Ran == "not run"
}

// refusalSpans returns, as text, the longest time between two first submissions that were served
// and whose IDs have the same holder, with a refused one between them. It does so separately for
// refusals while the platform was up and during its outages.
func (s *soak) refusalSpans() string {
	sort.Slice(s.calls, func(i, k int) bool { return s.calls[i].sent.Before(s.calls[k].sent) })
	last := make(map[string]time.Time)
	refused := make(map[string]time.Time)
	longest := map[bool]time.Duration{}
	for _, c := range s.calls {
		if c.resend || c.answer == nil {
			continue
		}
		h := claim.HolderOf(c.id, s.procs.holders)
		if e := c.answer.Error; e != nil && (e.Kind == "claim_unavailable" || e.Kind == "outcome_unknown") {
			if refused[h].IsZero() {
				refused[h] = c.sent
			}
			continue
		}
		if !refused[h].IsZero() {
			out := s.procs.platformWasOut(refused[h])
			longest[out] = max(longest[out], c.sent.Sub(last[h]))
		}
		last[h] = c.sent
		refused[h] = time.Time{}
	}
	return fmt.Sprintf("longest time without a served ID of one holder: %.1f s with the platform up, %.1f s with it out\n",
		longest[false].Seconds(), longest[true].Seconds())
}

func formatCounts(counts map[string]int, all int) string {
	keys := make([]string, 0, len(counts))
	for k := range counts {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	var b strings.Builder
	for _, k := range keys {
		fmt.Fprintf(&b, "  %-50s %7d  %6.2f%%\n", k, counts[k], 100*float64(counts[k])/float64(all))
	}
	return b.String()
}

func (s *soak) writeReport(text string) {
	s.t.Log("\n" + text)
	if *report == "" {
		return
	}
	if err := os.WriteFile(*report, []byte(text), 0o644); err != nil {
		s.t.Error(err)
	}
}
