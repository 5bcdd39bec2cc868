package load

import (
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/lichenfall/lichenfall/lib/failure"
	"github.com/lichenfall/lichenfall/submissions/job"
)

// The range of the histograms, in microseconds, and their precision.
const (
	histLow    = 1 // microsecond
	histHigh   = int64(10 * time.Minute / time.Microsecond)
	histDigits = 3 // significant
)

// Report is what came of a plan.
type Report struct {
	Plan    Plan
	Elapsed time.Duration

	mu       sync.Mutex
	jobs     int
	tasks    int
	complete int
	done     int // tasks of complete jobs
	wrong    int
	kinds    map[string]int // failures by kind; "no_answer" for errors of transport
	ran      map[string]int // failures by what they say of having run
	resends  map[string]int // by what they were answered
	latency  *hdrhistogram.Histogram
	over     *hdrhistogram.Histogram
	single   *hdrhistogram.Histogram // over ideal, of jobs of one task
	ratio    *hdrhistogram.Histogram // thousandths
	refused  *hdrhistogram.Histogram // time of answers that say "not run"
}

func newReport(p Plan) *Report {
	h := func() *hdrhistogram.Histogram { return hdrhistogram.New(histLow, histHigh, histDigits) }
	return &Report{
		Plan: p, kinds: make(map[string]int), ran: make(map[string]int), resends: make(map[string]int),
		latency: h(), over: h(), single: h(), ratio: h(), refused: h(),
	}
}

const noAnswer = "no_answer"

func (r *Report) add(q *job.Request, a *job.Answer, err error, took, ideal time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.jobs++
	r.tasks += len(q.Tasks)
	switch {
	case err != nil:
		r.kinds[noAnswer]++
	case a.Error != nil:
		r.kinds[a.Error.Kind]++
		r.ran[a.Error.Ran]++
		if a.Error.Ran == failure.NotRun.String() {
			_ = r.refused.RecordValue(max(histLow, took.Microseconds()))
		}
	case !right(q, a):
		r.wrong++
	default:
		r.complete++
		r.done += len(q.Tasks)
		_ = r.latency.RecordValue(max(histLow, took.Microseconds()))
		_ = r.over.RecordValue(max(histLow, (took - ideal).Microseconds()))
		if len(q.Tasks) == 1 {
			_ = r.single.RecordValue(max(histLow, (took - ideal).Microseconds()))
		}
		if ideal > 0 {
			_ = r.ratio.RecordValue(max(histLow, int64(took)*1000/int64(ideal)))
		}
	}
}

func (r *Report) addResend(q *job.Request, a *job.Answer, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case err != nil:
		r.resends[noAnswer]++
	case a.Error != nil:
		r.resends[a.Error.Kind]++
	case !right(q, a):
		r.wrong++
	default:
		r.resends[string(a.State)]++
	}
}

// Quantiles are points of a distribution, in milliseconds; of a ratio, plain
// numbers.
type Quantiles struct {
	P50  float64 `json:"p50"`
	P90  float64 `json:"p90"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p99_9"`
	Max  float64 `json:"max"`
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	q := func(p float64) float64 { return float64(h.ValueAtQuantile(p)) / 1000 }
	return Quantiles{P50: q(50), P90: q(90), P99: q(99), P999: q(99.9), Max: float64(h.Max()) / 1000}
}

// Summary is the report as plain data.
type Summary struct {
	Arrivals   string         `json:"arrivals"`
	FanOut     string         `json:"fan_out"`
	TaskTimeMS string         `json:"task_time_ms"`
	Seconds    float64        `json:"seconds"`
	Jobs       int            `json:"jobs"`
	Tasks      int            `json:"tasks"`
	Complete   int            `json:"complete"`
	Goodput    float64        `json:"goodput"` // tasks of complete jobs a second
	Wrong      int            `json:"wrong"`
	Failed     map[string]int `json:"failed"`
	FailedRan  map[string]int `json:"failed_ran"`
	Resends    map[string]int `json:"resends"`
	LatencyMS  Quantiles      `json:"latency_ms"`
	OverMS     Quantiles      `json:"over_ideal_ms"`        // beyond the longest task's own time
	SingleMS   Quantiles      `json:"over_ideal_single_ms"` // the same, of jobs of one task
	Ratio      Quantiles      `json:"ratio_to_ideal"`
	RefusedMS  Quantiles      `json:"refused_ms"` // time of answers that say "not run"
	// Messages is the number of messages between processes for each task, by
	// kind; empty when no process was scraped.
	Messages map[string]float64 `json:"messages_per_task,omitempty"`
	// WastedMessages is the number of those that carry no useful work.
	WastedMessages float64 `json:"wasted_messages_per_task"`
}

// Summary returns the state of the report.
func (r *Report) Summary() Summary {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Summary{
		Arrivals:   r.Plan.Arrivals.String(),
		FanOut:     r.Plan.FanOut.String(),
		TaskTimeMS: r.Plan.TaskTime.String(),
		Seconds:    r.Elapsed.Seconds(),
		Jobs:       r.jobs,
		Tasks:      r.tasks,
		Complete:   r.complete,
		Goodput:    float64(r.done) / max(r.Elapsed.Seconds(), 1e-9),
		Wrong:      r.wrong,
		Failed:     copyCounts(r.kinds),
		FailedRan:  copyCounts(r.ran),
		Resends:    copyCounts(r.resends),
		LatencyMS:  quantiles(r.latency),
		OverMS:     quantiles(r.over),
		SingleMS:   quantiles(r.single),
		Ratio:      quantiles(r.ratio),
		RefusedMS:  quantiles(r.refused),
	}
}

func copyCounts(m map[string]int) map[string]int {
	out := make(map[string]int, len(m))
	for k, v := range m {
		out[k] = v
	}
	return out
}

// WriteJSON writes the summary as JSON.
func (s Summary) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(s)
}

// WriteText writes the summary for people.
func (s Summary) WriteText(w io.Writer) {
	fmt.Fprintf(w, "arrivals      %s\nfan-out       %s\ntask time ms  %s\n", s.Arrivals, s.FanOut, s.TaskTimeMS)
	fmt.Fprintf(w, "jobs          %d (%d tasks) in %.1f s: %.0f tasks/s\n", s.Jobs, s.Tasks, s.Seconds, float64(s.Tasks)/max(s.Seconds, 1e-9))
	fmt.Fprintf(w, "complete      %d\nwrong         %d\n", s.Complete, s.Wrong)
	writeCounts(w, "failed", s.Failed)
	writeCounts(w, "failed, ran", s.FailedRan)
	writeCounts(w, "resends", s.Resends)
	fmt.Fprintf(w, "%-22s %10s %10s %10s %10s %10s\n", "", "p50", "p90", "p99", "p99.9", "max")
	writeQuantiles(w, "latency ms", s.LatencyMS)
	writeQuantiles(w, "over ideal ms", s.OverMS)
	writeQuantiles(w, "  of single tasks", s.SingleMS)
	writeQuantiles(w, "ratio to ideal", s.Ratio)
	writeQuantiles(w, "refused ms", s.RefusedMS)
	for _, k := range messageKinds([]Summary{s}) {
		fmt.Fprintf(w, "messages/task %-12s %.4f\n", k, s.Messages[k])
	}
}

func writeQuantiles(w io.Writer, name string, q Quantiles) {
	fmt.Fprintf(w, "%-22s %10.3f %10.3f %10.3f %10.3f %10.3f\n", name, q.P50, q.P90, q.P99, q.P999, q.Max)
}

func writeCounts(w io.Writer, name string, m map[string]int) {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	for _, k := range keys {
		fmt.Fprintf(w, "%-13s %s: %d\n", name, k, m[k])
	}
}
