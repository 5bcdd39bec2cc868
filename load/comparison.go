package load

import (
	"fmt"
	"io"
)

// Variant is the runs of one set of settings.
type Variant struct {
	Name string
	Runs []Summary
}

type column struct {
	name   string
	of     func(Summary) float64
	digits int
	bound  bool // a central queue has it too
}

var columns = []column{
	{"over ideal p50, ms", func(s Summary) float64 { return s.OverMS.P50 }, 1, true},
	{"p99, ms", func(s Summary) float64 { return s.OverMS.P99 }, 1, true},
	{"p99.9, ms", func(s Summary) float64 { return s.OverMS.P999 }, 1, true},
	{"single tasks p99, ms", func(s Summary) float64 { return s.SingleMS.P99 }, 1, false},
	{"complete, share", func(s Summary) float64 { return float64(s.Complete) / float64(max(1, s.Jobs)) }, 2, false},
	{"goodput, tasks/s", func(s Summary) float64 { return s.Goodput }, 0, false},
	{"refused p99, ms", func(s Summary) float64 { return s.RefusedMS.P99 }, 1, false},
	{"messages/task", Summary.AllMessages, 2, false},
	{"of them wasted", func(s Summary) float64 { return s.WastedMessages }, 2, false},
}

// WriteComparison writes variants that ran on the same arrivals as a Markdown
// table, with the bounds of a central queue on top.
func WriteComparison(w io.Writer, bounds []Quantiles, variants []Variant) {
	fmt.Fprint(w, "| variant |")
	for _, c := range columns {
		fmt.Fprintf(w, " %s |", c.name)
	}
	fmt.Fprint(w, "\n| --- |")
	for range columns {
		fmt.Fprint(w, " --- |")
	}
	fmt.Fprint(w, "\n| *central queue* |")
	central := make([]Summary, len(bounds))
	for i, b := range bounds {
		central[i].OverMS = b
	}
	for _, c := range columns {
		writeCell(w, c, central, c.bound)
	}
	for _, v := range variants {
		fmt.Fprintf(w, "\n| %s |", v.Name)
		for _, c := range columns {
			writeCell(w, c, v.Runs, true)
		}
	}
	fmt.Fprintln(w)
}

func writeCell(w io.Writer, c column, runs []Summary, filled bool) {
	if !filled {
		fmt.Fprint(w, " |")
		return
	}
	s := SpreadOf(runs, c.of)
	fmt.Fprintf(w, " %.*f (%.*f-%.*f) |", c.digits, s.Median, c.digits, s.Low, c.digits, s.High)
}
