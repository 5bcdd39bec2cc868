package main

import (
	"fmt"
	"math"
	"strings"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// difference is a mean difference between pairs, with half of its 95 % interval.
type difference struct {
	mean, half float64
	n          int
}

// differenceOf returns the mean of the differences and the interval by Student's t;
// the interval of one pair is not known.
func differenceOf(x []float64) difference {
	d := difference{n: len(x), half: math.NaN()}
	if d.n > 0 {
		d.mean = stat.Mean(x, nil)
	}
	if d.n < 2 {
		return d
	}
	const twoSided95 = 0.975
	t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(d.n - 1)}
	d.half = t.Quantile(twoSided95) * stat.StdErr(stat.StdDev(x, nil), float64(d.n))
	return d
}

// String returns the difference as the table shows it.
func (d difference) String() string {
	switch d.n {
	case 0:
		return "not played"
	case 1:
		return fmt.Sprintf("%+.4f, one pair", d.mean)
	}
	return fmt.Sprintf("%+.4f ± %.4f", d.mean, d.half)
}

// pairsOf returns the differences in worth of a variant from the base, seed by seed.
func pairsOf(d *day, base, variant string) []float64 {
	var x []float64
	for _, seed := range d.seeds(base, variant) {
		x = append(x, d.reports[variant][seed].Worth-d.reports[base][seed].Worth)
	}
	return x
}

// shares are the calls of all days of a variant, added up, and what was broken.
type shares struct {
	worth  []float64
	calls  calls
	p99    []float64
	broken int // days with a broken rule
}

func (s *shares) add(r report) {
	s.worth = append(s.worth, r.Worth)
	s.p99 = append(s.p99, r.All.P99)
	s.calls.N += r.All.N
	s.calls.InTime += r.All.InTime
	s.calls.Late += r.All.Late
	s.calls.Refused += r.All.Refused
	s.calls.Failed += r.All.Failed
	if len(r.Broken) > 0 {
		s.broken++
	}
}

func (s *shares) row(name string) string {
	of := func(n int) float64 { return 100 * float64(n) / float64(max(1, s.calls.N)) }
	return fmt.Sprintf("| %s | %.4f | %.2f | %.2f | %.2f | %.2f | %.0f | %d |\n", name, stat.Mean(s.worth, nil),
		of(s.calls.InTime), of(s.calls.Late), of(s.calls.Refused), of(s.calls.Failed), stat.Mean(s.p99, nil), s.broken)
}

// table returns the comparison as a page: the differences by day, and for each
// variant what became of the calls.
func table(days []day, variants []string) string {
	var b strings.Builder
	writeDifferences(&b, days, variants)
	b.WriteString("\n| variant | worth | in time % | late % | refused % | failed % | p99 ms | days with a broken rule |\n| --- | --- | --- | --- | --- | --- | --- | --- |\n")
	for _, v := range variants {
		b.WriteString(sharesOf(days, v).row(v))
	}
	return b.String()
}

// writeDifferences writes a row for each day, and one for all.
func writeDifferences(b *strings.Builder, days []day, variants []string) {
	base, others := variants[0], variants[1:]
	b.WriteString("| day | pairs | " + strings.Join(variants, " | ") + " |\n| --- |" + strings.Repeat(" --- |", len(variants)+1) + "\n")
	all := make(map[string][]float64)
	for i := range days {
		s := sharesOf(days[i:i+1], base)
		fmt.Fprintf(b, "| %s | %d | %.4f", days[i].name, len(s.worth), stat.Mean(s.worth, nil))
		for _, v := range others {
			x := pairsOf(&days[i], base, v)
			all[v] = append(all[v], x...)
			b.WriteString(" | " + differenceOf(x).String())
		}
		b.WriteString(" |\n")
	}
	b.WriteString("| all | |")
	for _, v := range others {
		b.WriteString(" | " + differenceOf(all[v]).String())
	}
	b.WriteString(" |\n")
}

// sharesOf adds up the reports of a variant on the days.
func sharesOf(days []day, variant string) *shares {
	s := &shares{}
	for i := range days {
		for _, r := range days[i].reports[variant] {
			s.add(r)
		}
	}
	return s
}
