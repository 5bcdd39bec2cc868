package load

import (
	"math/rand/v2"
	"time"
)

// Arrival is one job of a plan: when it is sent and how long its tasks take.
type Arrival struct {
	At     time.Duration
	Times  []time.Duration // of each task
	Resend bool            // sent a second time
}

// Longest returns the time of the longest task, which is the least that the job can take.
func (a *Arrival) Longest() time.Duration {
	var longest time.Duration
	for _, d := range a.Times {
		longest = max(longest, d)
	}
	return longest
}

// Trace draws all arrivals of the plan. The trace depends only on the plan's seed, duration, rates
// and distributions, so that the same jobs can be sent to different systems.
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
