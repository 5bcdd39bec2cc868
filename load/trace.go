package load

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
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

// CentralQueue returns the time beyond the ideal of each job of the trace, in
// a system with one queue that knows all slots and costs nothing. No placement
// that serves tasks in the order of their coming does better.
func CentralQueue(trace []Arrival, slots int) Quantiles {
	free := make(slotHeap, slots)
	h := hdrhistogram.New(histLow, histHigh, histDigits)
	for i := range trace {
		a := &trace[i]
		var end time.Duration
		for _, d := range a.Times {
			free[0] = max(free[0], a.At) + d
			end = max(end, free[0])
			heap.Fix(&free, 0)
		}
		_ = h.RecordValue(max(histLow, (end - a.At - a.Longest()).Microseconds()))
	}
	return quantiles(h)
}

// slotHeap holds the times at which slots become free, the earliest first.
type slotHeap []time.Duration

func (h slotHeap) Len() int           { return len(h) }
func (h slotHeap) Less(i, k int) bool { return h[i] < h[k] }
func (h slotHeap) Swap(i, k int)      { h[i], h[k] = h[k], h[i] }

// Push is part of heap.Interface; slots are never added.
func (h *slotHeap) Push(any) {}

// Pop is part of heap.Interface; slots are never removed.
func (h *slotHeap) Pop() any { return nil }
