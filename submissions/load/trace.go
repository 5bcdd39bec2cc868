package load

import (
	"math/rand/v2"
	"time"
)

// Arrival is one job of a plan: when it comes and what its tasks need.
type Arrival struct {
	At     time.Duration
	Times  []time.Duration // of its tasks
	Resend bool
}

// Longest returns the time of the longest task: what the job takes at best.
func (a *Arrival) Longest() time.Duration {
	var longest time.Duration
	for _, d := range a.Times {
		longest = max(longest, d)
	}
	return longest
}

// Trace draws all arrivals of the plan. Plans that differ only in where they
// are run have the same trace.
func Trace(p Plan) []Arrival {
	rng := rand.New(rand.NewPCG(p.Seed, p.Seed))
	var out []Arrival
	for at := time.Duration(0); at < p.Duration; at += p.Arrivals.Gap(at, rng) {
		a := Arrival{At: at, Times: make([]time.Duration, max(1, min(int(p.FanOut.Draw(rng)), p.MaxFanOut)))}
		for i := range a.Times {
			a.Times[i] = time.Duration(p.TaskTime.Draw(rng) * float64(time.Millisecond))
		}
		a.Resend = rng.Float64() < p.Resend
		out = append(out, a)
	}
	return out
}
