package main

import (
	"fmt"
	"math"
	"strings"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// difference is the mean difference of n pairs. Its 95 % confidence interval is mean ± halfWidth.
type difference struct {
	mean, halfWidth float64
	n               int
}

// differenceOf returns the mean of the differences and its confidence interval by Student's
// t distribution. The half width for fewer than two pairs is NaN.
func differenceOf(x []float64) difference {
	d := difference{n: len(x), halfWidth: math.NaN()}
	if d.n > 0 {
		d.mean = stat.Mean(x, nil)
	}
	if d.n < 2 {
		return d
	}
	const twoSided95 = 0.975
	t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(d.n - 1)}
	d.halfWidth = t.Quantile(twoSided95) * stat.StdErr(stat.StdDev(x, nil), float64(d.n))
	return d
}

// String formats the difference as a cell of the table.
func (d difference) String() string {
	switch d.n {
	case 0:
		return "not played"
	case 1:
		return fmt.Sprintf("%+.4f, one pair", d.mean)
	}
	return fmt.Sprintf("%+.4f ± %.4f", d.mean, d.halfWidth)
}

// worthDifferences returns by how much the worth of the variant exceeds that of the base, for each
// seed that both have been played with.
func worthDifferences(d *day, base, variant string) []float64 {
	var x []float64
	for _, seed := range d.seeds(base, variant) {
		x = append(x, d.reports[variant][seed].Worth-d.reports[base][seed].Worth)
	}
	return x
}

// totals are the results of a variant over several reports.
type totals struct {
	worth  []float64 // of each report
	calls  calls     // sums; P99 is not used
	p99    []float64 // of each report, in milliseconds
	broken int       // reports with a broken rule
}

// add adds a report.
func (s *totals) add(r report) {
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

// row formats the totals as a row of the table, with the calls in percent of all calls.
func (s *totals) row(name string) string {
	percent := func(n int) float64 { return 100 * float64(n) / float64(max(1, s.calls.N)) }
	return fmt.Sprintf("| %s | %.4f | %.2f | %.2f | %.2f | %.2f | %.0f | %d |\n", name, stat.Mean(s.worth, nil),
		percent(s.calls.InTime), percent(s.calls.Late), percent(s.calls.Refused), percent(s.calls.Failed), stat.Mean(s.p99, nil), s.broken)
}

// table returns the comparison as a page in Markdown: the differences in worth by day, and for
// each variant the outcomes of its calls.
func table(days []day, variants []string) string {
	var b strings.Builder
	writeDifferences(&b, days, variants)
	b.WriteString("\n| variant | worth | in time % | late % | refused % | failed % | p99 ms | days with a broken rule |\n| --- | --- | --- | --- | --- | --- | --- | --- |\n")
	for _, v := range variants {
		b.WriteString(totalsOf(days, v).row(v))
	}
	return b.String()
}

// writeDifferences writes a row for each day and one for all days. The first variant is the base
// of the differences; its own column has its mean worth.
func writeDifferences(b *strings.Builder, days []day, variants []string) {
	base, others := variants[0], variants[1:]
	b.WriteString("| day | pairs | " + strings.Join(variants, " | ") + " |\n| --- |" + strings.Repeat(" --- |", len(variants)+1) + "\n")
	all := make(map[string][]float64)
	for i := range days {
		s := totalsOf(days[i:i+1], base)
		fmt.Fprintf(b, "| %s | %d | %.4f", days[i].name, len(s.worth), stat.Mean(s.worth, nil))
		for _, v := range others {
			x := worthDifferences(&days[i], base, v)
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

// totalsOf adds up the reports of a variant on the days.
func totalsOf(days []day, variant string) *totals {
	s := &totals{}
	for i := range days {
		for _, r := range days[i].reports[variant] {
			s.add(r)
		}
	}
	return s
}
