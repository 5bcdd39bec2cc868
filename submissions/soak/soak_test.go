//go:build soak

// Package soak runs real processes on loopback under load, kills and pauses
// them, and checks the promises from two things alone: the journals of the
// stand-in backend servers, and what callers were told. It is no part of the
// ordinary tests: make soak-submissions.
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
	duration = flag.Duration("soak.duration", 10*time.Minute, "how long jobs arrive")
	rate     = flag.Float64("soak.rate", 15, "jobs a second")
	seed     = flag.Uint64("soak.seed", 1, "of the random choices")
	report   = flag.String("soak.report", "", "file for the report")
)

const (
	entries     = 3
	agents      = 11
	resendShare = 0.1
	timeout     = 5 * time.Second
	faultEvery  = 5 * time.Second
)

// told is what one caller sent and was told.
type told struct {
	id     string
	entry  int
	resend bool
	sent   time.Time
	ended  time.Time
	tasks  int
	answer *job.Answer // nil when none came
}

type soak struct {
	t       *testing.T
	rng     *rand.Rand
	procs   *processes
	clients []*client.Client

	mu   sync.Mutex
	told []told
	wg   sync.WaitGroup
}

func TestSoak(t *testing.T) {
	s := &soak{t: t, rng: rand.New(rand.NewPCG(*seed, 1)), procs: startAll(t)}
	for _, u := range s.procs.entryURLs {
		s.clients = append(s.clients, client.New(u))
	}
	ctx, cancel := context.WithTimeout(context.Background(), *duration)
	defer cancel()
	go s.procs.misbehave(ctx, rand.New(rand.NewPCG(*seed, 2)))
	s.load(ctx)
	s.wg.Wait()
	s.procs.settle()
	s.check()
}

// load submits jobs at the rate until ctx ends, a tenth of them twice.
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
		c := told{id: r.ID, entry: entry, resend: resend, sent: time.Now(), tasks: len(r.Tasks)}
		a, err := s.clients[entry].Submit(ctx, r)
		c.ended = time.Now()
		if err == nil {
			c.answer = a
		}
		s.mu.Lock()
		s.told = append(s.told, c)
		s.mu.Unlock()
	}()
}

// check compares what callers were told with the journals.
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
	for i := range s.told {
		c := &s.told[i]
		outcomes[c.outcome()]++
		if !c.whole() {
			half++
			s.t.Errorf("%s: not a whole answer of its own: %+v", c.id, c.answer)
		}
		if c.saysNotRun() && len(starts[c.id]) > 0 {
			falseNotRun++
			s.t.Errorf("%s is said not to have run, but was started", c.id)
		}
		if why := s.procs.cutOff(c); why != "" {
			cut++
			s.t.Errorf("%s through entry %d was cut off by a planned stop: %s", c.id, c.entry, why)
		}
	}
	s.write(fmt.Sprintf("submissions %d, tasks started %d, faults: %s\n"+
		"double starts %d, half or foreign answers %d, false \"not run\" %d, cut off by planned stops %d\n%s%s",
		len(s.told), tasks, s.procs.faults(), twice, half, falseNotRun, cut, list(outcomes, len(s.told)), s.refusedSpans()))
}

func (c *told) outcome() string {
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

func (c *told) whole() bool {
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

func (c *told) saysNotRun() bool {
	return c.answer != nil && c.answer.Error != nil && c.answer.Error.Ran == "not run"
}

// refusedSpans returns the longest time between two served first copies of one
// holder's IDs with a refusal between them, with the platform up and out.
func (s *soak) refusedSpans() string {
	sort.Slice(s.told, func(i, k int) bool { return s.told[i].sent.Before(s.told[k].sent) })
	last := make(map[string]time.Time)
	refused := make(map[string]time.Time)
	longest := map[bool]time.Duration{}
	for _, c := range s.told {
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
			out := s.procs.platformOut(refused[h])
			longest[out] = max(longest[out], c.sent.Sub(last[h]))
		}
		last[h] = c.sent
		refused[h] = time.Time{}
	}
	return fmt.Sprintf("longest time without a served ID of one holder: %.1f s with the platform up, %.1f s with it out\n",
		longest[false].Seconds(), longest[true].Seconds())
}

func list(counts map[string]int, all int) string {
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

func (s *soak) write(text string) {
	s.t.Log("\n" + text)
	if *report == "" {
		return
	}
	if err := os.WriteFile(*report, []byte(text), 0o644); err != nil {
		s.t.Error(err)
	}
}
