package scheduler

import (
	"cmp"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/wire"
)

// TestWorthIsNoOrder shows why the worth of a placement is a sum: a strict order of
// preference by the same inputs, most important first, chooses another worker in
// some cases, so that writing one would change what the scheduler does.
func TestWorthIsNoOrder(t *testing.T) {
	const pairs = 1_000_000
	r := rand.New(rand.NewPCG(20261202, 1))
	c := New(Settings{DataCentre: "nadi"}, 1)
	others := 0
	for range pairs {
		tk := randomTask(r)
		a, b := randomCandidate(r), randomCandidate(r)
		if !tk.mayGo(&a) || !tk.mayGo(&b) {
			continue
		}
		f := c.fitOf(time.Time{}, tk, &round{})
		if (c.worth(&f, &a) > c.worth(&f, &b)) != (byOrder(c, tk, &a, &b) > 0) {
			others++
		}
	}
	if others == 0 {
		t.Error("a strict order chooses the same: write the worth as one")
	}
	t.Logf("%d of %d pairs are decided otherwise by a strict order", others, pairs)
}

// byOrder compares two candidates by a strict order.
func byOrder(c *Core, t *task, a, b *candidate) int {
	rank := func(cand *candidate) []float64 {
		return []float64{
			truth(!t.avoids(cand.w)), truth(hasLabel(cand.w, t.step.Affinity)),
			-cand.w.failing(), truth(cand.w.preference == Preferred), cand.share(), truth(cand.w.dataCentre == c.cfg.DataCentre),
		}
	}
	ra, rb := rank(a), rank(b)
	for i := range ra {
		if d := cmp.Compare(ra[i], rb[i]); d != 0 {
			return d
		}
	}
	return cmp.Compare(a.jitter, b.jitter)
}

func truth(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

func hasLabel(w *worker, label string) bool {
	return label != "" && len(w.identity.Labels) > 0 && w.identity.Labels[0] == label
}

func randomTask(r *rand.Rand) *task {
	step := &durable.Step{Need: durable.Resources{CPU: 500 + r.Int64N(4000)}}
	if r.IntN(4) == 0 {
		step.Affinity = "r1"
	}
	t := &task{job: &job{sub: &durable.Submission{BestEffort: true}}, step: step}
	if r.IntN(4) == 0 {
		t.failures = []uint32{1}
		t.avoid = []string{"w1"}
	}
	return t
}

func randomCandidate(r *rand.Rand) candidate {
	w := &worker{name: []string{"w1", "w2", "w3"}[r.IntN(3)], dataCentre: []string{"nadi", "lautoka"}[r.IntN(2)]}
	w.identity = wire.BackendIdentity{Capacity: durable.Resources{CPU: 16000}, Labels: []string{[]string{"r1", "r2"}[r.IntN(2)]}}
	w.preference = []Preference{Neutral, Preferred}[r.IntN(2)]
	w.status.Failing = uint32(r.IntN(3)) * 10
	return candidate{w: w, free: durable.Resources{CPU: r.Int64N(16000)}, jitter: r.Float64() * maxJitter}
}
