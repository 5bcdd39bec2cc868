package scheduler

import (
	"cmp"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/wire"
)

// TestScoreIsNoStrictOrder shows why the score is a sum: a strict order of preference by the same
// inputs, the most important first, chooses another worker in some cases. To replace the score by such
// an order would change what the scheduler does.
func TestScoreIsNoStrictOrder(t *testing.T) {
	const pairs = 1_000_000
	r := rand.New(rand.NewPCG(20261202, 1))
	c := New(Settings{DataCentre: "nadi"}, 1)
	different := 0
	for range pairs {
		tk := randomTask(r)
		a, b := randomCandidate(r), randomCandidate(r)
		if !tk.canStart(&a) || !tk.canStart(&b) {
			continue
		}
		e := c.evaluatorFor(time.Time{}, tk, &round{})
		if (c.score(&e, &a) > c.score(&e, &b)) != (compareStrictly(c, tk, &a, &b) > 0) {
			different++
		}
	}
	if different == 0 {
		t.Error("a strict order chooses the same workers: replace the score by one")
	}
	t.Logf("a strict order decides %d of %d pairs differently", different, pairs)
}

// compareStrictly compares two candidates by a strict order of preference.
func compareStrictly(c *Core, t *task, a, b *candidate) int {
	rank := func(cand *candidate) []float64 {
		return []float64{
			boolToFloat(!t.avoids(cand.w)), boolToFloat(hasLabel(cand.w, t.step.Affinity)),
			-cand.w.failing(), boolToFloat(cand.w.preference == Preferred), cand.share(), boolToFloat(cand.w.dataCentre == c.cfg.DataCentre),
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

func boolToFloat(b bool) float64 {
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
