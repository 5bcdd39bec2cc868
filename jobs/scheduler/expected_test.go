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
	slacks  = []float64{-0.5, 0.1, 0.3, 0.6, 1, 2} // of a task, in estimates
	rooms   = []int64{0, 4000, 16000}
	labels  = []string{rack, "r2"}
)

func placeOf(factor float64, room int64, label string) candidate {
	w := &worker{name: "w", identity: wire.BackendIdentity{Capacity: durable.Resources{CPU: 16000}, Labels: []string{label}}}
	return candidate{w: w, factor: factor, free: durable.Resources{CPU: room}}
}

func allPlaces() []candidate {
	var out []candidate
	for _, factor := range factors {
		for _, room := range rooms {
			for _, label := range labels {
				out = append(out, placeOf(factor, room, label))
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

func coreBySpeed(remote float64) *Core {
	return New(Settings{StragglerX: 3, Load: LoadPolicy{PlaceBySpeed: true, RemoteFactor: remote}}, 1)
}

// TestLateIsChosenLast holds, over all pairs of places that differ by speed, rack and room
// alone, that one where the task is late is taken only where the other has no room that
// brings it in time, and then rather than none.
func TestLateIsChosenLast(t *testing.T) {
	now := time.Unix(1000, 0)
	places := allPlaces()
	for _, remote := range []float64{1, 1.5, 3} {
		c := coreBySpeed(remote)
		for _, slack := range slacks {
			for _, affinity := range []string{"", rack} {
				tk := taskOf(now, 760, affinity, slack)
				for _, weight := range []float64{-1, 0, 1} {
					f := c.evaluatorFor(now, tk, &round{speedWeight: weight})
					for _, a := range places {
						for _, b := range places {
							checkChoice(t, c, &f, []candidate{a, b})
						}
					}
				}
			}
		}
	}
}

// checkChoice checks which of the places is chosen.
func checkChoice(t *testing.T, c *Core, f *evaluator, places []candidate) {
	inTime, room := false, false
	for i := range places {
		if f.t.canStart(&places[i]) {
			room = true
			inTime = inTime || f.risk(&places[i]) == 0
		}
	}
	best := c.choose(f, places)
	if (best != nil) != room {
		t.Fatalf("room: %v, chosen: %v", room, best)
	}
	if best != nil && inTime && f.risk(best) >= 1 {
		t.Fatalf("%+v: late at %+v, of %+v", f, best, places)
	}
}

// TestHoldIsBounded holds that a task holds out only for places that bring it in time, not
// once it should have begun, and that with ever more holding out the next goes where there
// is room.
func TestHoldIsBounded(t *testing.T) {
	full := slices.DeleteFunc(allPlaces(), func(cand candidate) bool { return cand.free.CPU > 0 })
	held := 0
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		c := coreBySpeed(rapid.SampledFrom([]float64{1, 1.5, 3}).Draw(t, "remote"))
		slow := placeOf(rapid.SampledFrom([]float64{1, 1.6, 3}).Draw(t, "slow"), 16000, "r2")
		r := &round{workers: append(rapid.SliceOfN(rapid.SampledFrom(full), 1, 8).Draw(t, "full"), slow)}
		tk := taskOf(now, rapid.SampledFrom([]int64{51, 170, 760}).Draw(t, "estimate"), rapid.SampledFrom([]string{"", rack}).Draw(t, "affinity"), rapid.SampledFrom(slacks).Draw(t, "slack"))
		f := c.evaluatorFor(now, tk, r)
		best := c.choose(&f, r.workers)
		if best == nil || !c.shouldHold(r, &f, best) {
			return
		}
		held++
		if !now.Before(tk.due) || len(f.fasterWorkers(r.workers, best)) == 0 {
			t.Fatalf("holds out with %v left, for %v places", tk.due.Sub(now), len(f.fasterWorkers(r.workers, best)))
		}
		const many = 10_000
		for n := 0; c.shouldHold(r, &f, best); n++ {
			if n == many {
				t.Fatal("holds out without end")
			}
		}
	})
	if held == 0 {
		t.Error("none held out")
	}
	t.Logf("%d held out", held)
}

// TestLimitFollowsTheExpectedTime holds that a run on a slow worker or far from its data is no
// straggler for that, and that its estimate knows of the distance and not of the worker.
func TestLimitFollowsTheExpectedTime(t *testing.T) {
	now := time.Unix(1000, 0)
	tk := taskOf(now, 100, rack, 1)
	for _, x := range []struct {
		bySpeed  bool
		at       candidate
		estimate float64
		limit    time.Duration
	}{
		{true, placeOf(1, 0, rack), 100, 300 * time.Millisecond},
		{true, placeOf(1.6, 0, rack), 100, 480 * time.Millisecond},
		{true, placeOf(1, 0, "r2"), 200, 600 * time.Millisecond},
		{true, placeOf(1.6, 0, "r2"), 200, 960 * time.Millisecond},
		{false, placeOf(1.6, 0, "r2"), 100, 300 * time.Millisecond},
	} {
		c := coreBySpeed(2)
		c.cfg.Load.PlaceBySpeed = x.bySpeed
		f := c.evaluatorFor(now, tk, &round{})
		if limit, estimate := c.limitOf(&f, &x.at), f.estimateAt(x.at.w); limit != x.limit || estimate != x.estimate {
			t.Errorf("limit %v, estimate %v; want %v, %v", limit, estimate, x.limit, x.estimate)
		}
	}
}

// TestLongestFirstOnTheFastest holds that of a job's tasks the longest goes first, and to the
// fastest worker that has room, while there is much room.
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

// TestSaysWhatIsAgainstThePlace holds what the log says of a run that has no better place,
// and that a task which holds out is noted once.
func TestSaysWhatIsAgainstThePlace(t *testing.T) {
	now := time.Unix(1000, 0)
	c := coreBySpeed(2)
	for _, x := range []struct {
		slack float64
		at    candidate
		want  string
	}{
		{2, placeOf(1.6, 16000, rack), ""},
		{2, placeOf(1, 16000, "r2"), reasonFar},
		{0.5, placeOf(1, 16000, "r2"), reasonLateFar},
		{0.5, placeOf(1.6, 16000, rack), reasonLateSlow},
	} {
		f := c.evaluatorFor(now, taskOf(now, 100, rack, x.slack), &round{})
		if got := f.reason(&x.at); got != x.want {
			t.Errorf("%q in place of %q", got, x.want)
		}
	}
	r := &round{workers: []candidate{placeOf(1, 0, rack), placeOf(1, 16000, "r2")}}
	f := c.evaluatorFor(now, taskOf(now, 100, rack, 0.5), r)
	for range 2 {
		if !c.shouldHold(r, &f, &r.workers[1]) {
			t.Fatal("goes far")
		}
	}
	if notes := c.effects.Notes; len(notes) != 1 || notes[0].What != TaskHeld || notes[0].Reason != rack {
		t.Errorf("notes: %+v", notes)
	}
}
