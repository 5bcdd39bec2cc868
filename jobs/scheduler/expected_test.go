package scheduler

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/wire"
)

const rack = "r1"

var (
	factors = []float64{0.6, 0.9, 1, 1.1, 1.6, 3}
	slacks  = []float64{-0.5, 0.1, 0.3, 0.6, 1, 2} // of a task, in multiples of its estimate
	free    = []int64{0, 4000, 16000}
	labels  = []string{rack, "r2"}
)

func candidateOf(factor float64, cpu int64, label string) candidate {
	w := &worker{name: "w", identity: wire.BackendIdentity{Capacity: durable.Resources{CPU: 16000}, Labels: []string{label}}}
	return candidate{w: w, factor: factor, free: durable.Resources{CPU: cpu}}
}

func allCandidates() []candidate {
	var out []candidate
	for _, factor := range factors {
		for _, cpu := range free {
			for _, label := range labels {
				out = append(out, candidateOf(factor, cpu, label))
			}
		}
	}
	return out
}

func taskOf(now time.Time, estimateMS int64, affinity string, slack float64) *task {
	step := &durable.Step{Need: durable.Resources{CPU: 1500}, EstimateMS: estimateMS, Affinity: affinity}
	due := now.Add(time.Duration(slack * float64(step.Estimate())))
	return &task{job: &job{sub: &durable.Submission{BestEffort: true}}, step: step, due: due}
}

func coreBySpeed(remoteFactor float64) *Core {
	return New(Settings{StragglerX: 3, Load: LoadPolicy{PlaceBySpeed: true, RemoteFactor: remoteFactor}}, 1)
}

// TestLateIsChosenLast checks all pairs of candidates that differ only in speed, rack and free
// capacity: one where the task is late is chosen only if the task can't start on the other, or is at
// risk there too. Some candidate is chosen if the task can start on any.
func TestLateIsChosenLast(t *testing.T) {
	now := time.Unix(1000, 0)
	candidates := allCandidates()
	for _, remote := range []float64{1, 1.5, 3} {
		c := coreBySpeed(remote)
		for _, slack := range slacks {
			for _, affinity := range []string{"", rack} {
				tk := taskOf(now, 760, affinity, slack)
				for _, weight := range []float64{-1, 0, 1} {
					e := c.evaluatorFor(now, tk, &round{speedWeight: weight})
					for _, a := range candidates {
						for _, b := range candidates {
							checkChoice(t, c, &e, []candidate{a, b})
						}
					}
				}
			}
		}
	}
}

// checkChoice checks which of the candidates is chosen.
func checkChoice(t *testing.T, c *Core, e *evaluator, candidates []candidate) {
	inTime, startable := false, false
	for i := range candidates {
		if e.t.canStart(&candidates[i]) {
			startable = true
			inTime = inTime || e.risk(&candidates[i]) == 0
		}
	}
	best := c.choose(e, candidates)
	if (best != nil) != startable {
		t.Fatalf("a candidate can start the task: %v; chosen: %v", startable, best)
	}
	if best != nil && inTime && e.risk(best) >= 1 {
		t.Fatalf("%+v: chosen %+v, where the task is late, of %+v", e, best, candidates)
	}
}

// TestHoldIsBounded checks that a task is held only for faster workers, and not after its due time, and
// that only a limited number of tasks is held before the next goes to a worker with free capacity.
func TestHoldIsBounded(t *testing.T) {
	full := slices.DeleteFunc(allCandidates(), func(cand candidate) bool { return cand.free.CPU > 0 })
	held := 0
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		c := coreBySpeed(rapid.SampledFrom([]float64{1, 1.5, 3}).Draw(t, "remote"))
		slow := candidateOf(rapid.SampledFrom([]float64{1, 1.6, 3}).Draw(t, "slow"), 16000, "r2")
		r := &round{workers: append(rapid.SliceOfN(rapid.SampledFrom(full), 1, 8).Draw(t, "full"), slow)}
		tk := taskOf(now, rapid.SampledFrom([]int64{51, 170, 760}).Draw(t, "estimate"), rapid.SampledFrom([]string{"", rack}).Draw(t, "affinity"), rapid.SampledFrom(slacks).Draw(t, "slack"))
		e := c.evaluatorFor(now, tk, r)
		best := c.choose(&e, r.workers)
		if best == nil || !c.shouldHold(r, &e, best) {
			return
		}
		held++
		if !now.Before(tk.due) || len(e.fasterWorkers(r.workers, best)) == 0 {
			t.Fatalf("held %v before its due time, for %v workers", tk.due.Sub(now), len(e.fasterWorkers(r.workers, best)))
		}
		const many = 10_000
		for n := 0; c.shouldHold(r, &e, best); n++ {
			if n == many {
				t.Fatal("the number of held tasks is not limited")
			}
		}
	})
	if held == 0 {
		t.Error("no task was held")
	}
	t.Logf("%d tasks were held", held)
}

// TestLimitFollowsTheExpectedTime checks that the limit of a run is longer on a slow worker and in
// another rack than its data, and that its estimate includes the distance but not the worker's speed.
func TestLimitFollowsTheExpectedTime(t *testing.T) {
	now := time.Unix(1000, 0)
	tk := taskOf(now, 100, rack, 1)
	for _, x := range []struct {
		bySpeed  bool
		at       candidate
		estimate float64
		limit    time.Duration
	}{
		{true, candidateOf(1, 0, rack), 100, 300 * time.Millisecond},
		{true, candidateOf(1.6, 0, rack), 100, 480 * time.Millisecond},
		{true, candidateOf(1, 0, "r2"), 200, 600 * time.Millisecond},
		{true, candidateOf(1.6, 0, "r2"), 200, 960 * time.Millisecond},
		{false, candidateOf(1.6, 0, "r2"), 100, 300 * time.Millisecond},
	} {
		c := coreBySpeed(2)
		c.cfg.Load.PlaceBySpeed = x.bySpeed
		e := c.evaluatorFor(now, tk, &round{})
		if limit, estimate := c.limitOf(&e, &x.at), e.estimateAt(x.at.w); limit != x.limit || estimate != x.estimate {
			t.Errorf("limit %v, estimate %v; want %v, %v", limit, estimate, x.limit, x.estimate)
		}
	}
}

// TestLongestFirstOnTheFastest checks that the longest of a job's tasks is placed first, on the fastest
// worker with free capacity, while much capacity is free.
func TestLongestFirstOnTheFastest(t *testing.T) {
	now := time.Unix(1000, 0)
	c := coreBySpeed(1)
	c.evacuationsAt = now
	for name, percent := range map[string]uint32{"fast": 60, "slow": 160, "usual": 100} {
		c.WorkerUp(now, name, "")
		c.Status(now, name, &wire.WorkerStatus{Stamp: 1, Ready: true, TimeFactor: percent, Free: durable.Resources{CPU: 2000},
			Identity: &wire.BackendIdentity{Service: "s", Capacity: durable.Resources{CPU: 2000}}})
	}
	c.cfg.Suspect, c.cfg.MaxJobs = time.Second, 1
	step := func(ms int64) durable.Step {
		return durable.Step{Count: 1, Need: durable.Resources{CPU: 1000}, EstimateMS: ms}
	}
	c.Submit(now, 1, &durable.Submission{ID: "1", BestEffort: true, Queue: durable.Queue{Service: "s", Stretch: 2}, Steps: []durable.Step{step(100), step(300), step(900)}}, 0)
	got := make(map[int64]string)
	for _, s := range c.Take(now).Sends {
		if m, ok := s.Message.(*wire.StartRuns); ok {
			for _, o := range m.Runs {
				got[o.EstimateMS] = s.Worker
			}
		}
	}
	if got[900] != "fast" || got[300] != "usual" || len(got) != 3 {
		t.Errorf("tasks by their estimates went to %v", got)
	}
}

// TestLoggedReasons checks the reason in the log of a run whose worker is not ideal for it, and that a
// held task is logged once.
func TestLoggedReasons(t *testing.T) {
	now := time.Unix(1000, 0)
	c := coreBySpeed(2)
	for _, x := range []struct {
		slack float64
		at    candidate
		want  string
	}{
		{2, candidateOf(1.6, 16000, rack), ""},
		{2, candidateOf(1, 16000, "r2"), reasonFar},
		{0.5, candidateOf(1, 16000, "r2"), reasonLateFar},
		{0.5, candidateOf(1.6, 16000, rack), reasonLateSlow},
	} {
		e := c.evaluatorFor(now, taskOf(now, 100, rack, x.slack), &round{})
		if got := e.reason(&x.at); got != x.want {
			t.Errorf("reason %q, want %q", got, x.want)
		}
	}
	r := &round{workers: []candidate{candidateOf(1, 0, rack), candidateOf(1, 16000, "r2")}}
	e := c.evaluatorFor(now, taskOf(now, 100, rack, 0.5), r)
	for range 2 {
		if !c.shouldHold(r, &e, &r.workers[1]) {
			t.Fatal("the task is not held")
		}
	}
	if notes := c.effects.Notes; len(notes) != 1 || notes[0].What != TaskHeld || notes[0].Reason != rack {
		t.Errorf("notes: %+v", notes)
	}
}
