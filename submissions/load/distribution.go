// Package load is an open-loop load generator for entries: jobs arrive at
// their times whether or not earlier ones are answered, and every answer is
// checked.
package load

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/zeebo/errs"
)

// Distribution draws positive numbers. Its text form is a word, a colon and
// numbers: const:20, uniform:1-150, exp:100, lognormal:100-0.5 (median and
// sigma), pareto:50-1.5 (least value and shape), mix:1-0.8-150 (the first value
// with the given share, else the last).
type Distribution struct {
	text    string
	shape   string
	numbers []float64
}

var shapes = map[string]int{"const": 1, "uniform": 2, "exp": 1, "lognormal": 2, "pareto": 2, "mix": 3}

// ParseDistribution reads the text form.
func ParseDistribution(text string) (Distribution, error) {
	shape, rest, _ := strings.Cut(text, ":")
	want, ok := shapes[shape]
	if !ok {
		return Distribution{}, errs.New("%q: unknown distribution (allowed: const, uniform, exp, lognormal, pareto, mix)", text)
	}
	parts := strings.Split(rest, "-")
	if len(parts) != want {
		return Distribution{}, errs.New("%q: %s takes %d numbers", text, shape, want)
	}
	d := Distribution{text: text, shape: shape}
	for _, p := range parts {
		n, err := strconv.ParseFloat(p, 64)
		if err != nil || n < 0 {
			return Distribution{}, errs.New("%q: %q is not a positive number", text, p)
		}
		d.numbers = append(d.numbers, n)
	}
	return d, nil
}

// String returns the text form.
func (d Distribution) String() string { return d.text }

// Draw returns the next number.
func (d Distribution) Draw(r *rand.Rand) float64 {
	n := d.numbers
	switch d.shape {
	case "uniform":
		return n[0] + r.Float64()*(n[1]-n[0])
	case "exp":
		return r.ExpFloat64() * n[0]
	case "lognormal":
		return n[0] * math.Exp(n[1]*r.NormFloat64())
	case "pareto":
		return n[0] / math.Pow(1-r.Float64(), 1/n[1])
	case "mix":
		if r.Float64() < n[1] {
			return n[0]
		}
		return n[2]
	}
	return n[0]
}

// Arrivals draws the times between jobs.
type Arrivals struct {
	Rate   float64       // jobs a second, outside bursts
	Even   bool          // equal gaps in place of a Poisson process
	Factor float64       // of the rate, in a burst; zero means no bursts
	Every  time.Duration // from the beginning of one burst to the next
	Length time.Duration // of a burst
}

// Gap returns the time from a job at the given time of the run to the next.
func (a Arrivals) Gap(at time.Duration, r *rand.Rand) time.Duration {
	rate := a.Rate
	if a.Factor > 0 && a.Every > 0 && at%a.Every < a.Length {
		rate *= a.Factor
	}
	gap := 1.0
	if !a.Even {
		gap = r.ExpFloat64()
	}
	return time.Duration(gap / rate * float64(time.Second))
}

// String describes the arrivals for reports.
func (a Arrivals) String() string {
	s := fmt.Sprintf("poisson %g/s", a.Rate)
	if a.Even {
		s = fmt.Sprintf("even %g/s", a.Rate)
	}
	if a.Factor > 0 {
		s += fmt.Sprintf(", bursts of %gx for %s every %s", a.Factor, a.Length, a.Every)
	}
	return s
}
