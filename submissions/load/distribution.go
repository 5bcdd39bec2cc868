// Package load is an open-loop load generator for entries: it sends each job at its planned time,
// whether or not earlier jobs are answered, and checks every answer. It relies on backend servers
// that interpret payloads as package fakebackend does.
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

// Distribution is a distribution of non-negative numbers. Its text form is a name, a colon and
// parameters separated by hyphens: const:20, uniform:1-150, exp:100 (mean), lognormal:100-0.5
// (median and sigma), pareto:50-1.5 (minimum and shape), mix:1-0.8-150 (the first value with the
// given probability, else the last).
type Distribution struct {
	text    string
	shape   string
	numbers []float64
}

// shapes maps the name of each distribution to its number of parameters.
var shapes = map[string]int{"const": 1, "uniform": 2, "exp": 1, "lognormal": 2, "pareto": 2, "mix": 3}

// ParseDistribution parses the text form.
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

// Draw draws a number with r.
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

// Arrivals describes the process by which jobs arrive.
type Arrivals struct {
	Rate   float64       // jobs a second, outside bursts
	Even   bool          // equal gaps instead of a Poisson process
	Factor float64       // multiplies the rate during a burst; zero means no bursts
	Every  time.Duration // from the start of one burst to the start of the next
	Length time.Duration // of a burst
}

// Gap draws the time between the job that arrives at the given time of the run and the next job.
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

// String returns a description for reports.
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
