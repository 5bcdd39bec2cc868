package load

import (
	"fmt"
	"io"
	"slices"
	"sort"
)

// Spread is the median and the range of a figure over several runs.
type Spread struct {
	Median float64 `json:"median"`
	Low    float64 `json:"low"`
	High   float64 `json:"high"`
}

// String returns the median, followed by the range in brackets.
func (s Spread) String() string { return fmt.Sprintf("%.3f (%.3f-%.3f)", s.Median, s.Low, s.High) }

// SpreadOf returns the spread of a figure over runs, or zero without runs.
func SpreadOf(runs []Summary, figure func(Summary) float64) Spread {
	values := make([]float64, len(runs))
	for i, r := range runs {
		values[i] = figure(r)
	}
	if len(values) == 0 {
		return Spread{}
	}
	slices.Sort(values)
	mid := values[len(values)/2]
	if len(values)%2 == 0 {
		mid = (mid + values[len(values)/2-1]) / 2
	}
	return Spread{Median: mid, Low: values[0], High: values[len(values)-1]}
}

// figure is a row of the table that WriteSpreads writes.
type figure struct {
	name string
	of   func(Summary) float64
}

var figures = []figure{
	{"complete, share of jobs", func(s Summary) float64 { return float64(s.Complete) / float64(max(1, s.Jobs)) }},
	{"wrong answers", func(s Summary) float64 { return float64(s.Wrong) }},
	{"tasks/s", func(s Summary) float64 { return float64(s.Tasks) / max(s.Seconds, 1e-9) }},
	{"goodput, tasks/s of complete jobs", func(s Summary) float64 { return s.Goodput }},
	{"refused p50, ms", func(s Summary) float64 { return s.RefusedMS.P50 }},
	{"refused p99, ms", func(s Summary) float64 { return s.RefusedMS.P99 }},
	{"latency p50, ms", func(s Summary) float64 { return s.LatencyMS.P50 }},
	{"latency p99, ms", func(s Summary) float64 { return s.LatencyMS.P99 }},
	{"over ideal p50, ms", func(s Summary) float64 { return s.OverMS.P50 }},
	{"over ideal p90, ms", func(s Summary) float64 { return s.OverMS.P90 }},
	{"over ideal p99, ms", func(s Summary) float64 { return s.OverMS.P99 }},
	{"over ideal p99.9, ms", func(s Summary) float64 { return s.OverMS.P999 }},
	{"over ideal p50 of single tasks, ms", func(s Summary) float64 { return s.SingleMS.P50 }},
	{"over ideal p99 of single tasks, ms", func(s Summary) float64 { return s.SingleMS.P99 }},
	{"messages/task, wasted", func(s Summary) float64 { return s.WastedMessages }},
	{"messages/task, all", func(s Summary) float64 { return s.AllMessages() }},
}

// AllMessages returns the number of messages per task, of all kinds together.
func (s Summary) AllMessages() float64 {
	var sum float64
	for _, n := range s.Messages {
		sum += n
	}
	return sum
}

// WriteSpreads writes the spreads over several runs of one plan as a Markdown table.
func WriteSpreads(w io.Writer, runs []Summary) {
	if len(runs) == 0 {
		return
	}
	fmt.Fprintf(w, "%d runs; arrivals %s; fan-out %s; task time %s ms\n\n", len(runs), runs[0].Arrivals, runs[0].FanOut, runs[0].TaskTimeMS)
	fmt.Fprintln(w, "| figure | median (range) |\n| --- | --- |")
	for _, f := range figures {
		fmt.Fprintf(w, "| %s | %s |\n", f.name, SpreadOf(runs, f.of))
	}
	for _, k := range messageKinds(runs) {
		fmt.Fprintf(w, "| messages/task, %s | %s |\n", k, SpreadOf(runs, func(s Summary) float64 { return s.Messages[k] }))
	}
}

// messageKinds returns, in order, the kinds of message that any run sent.
func messageKinds(runs []Summary) []string {
	seen := make(map[string]bool)
	for _, r := range runs {
		for k, n := range r.Messages {
			if n > 0 {
				seen[k] = true
			}
		}
	}
	kinds := make([]string, 0, len(seen))
	for k := range seen {
		kinds = append(kinds, k)
	}
	sort.Strings(kinds)
	return kinds
}
