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

// The range of the histograms in microseconds, and their precision.
const (
	histLow    = 1 // microsecond
	histHigh   = int64(10 * time.Minute / time.Microsecond)
	histDigits = 3 // significant digits
)

// Report collects the results of a run. Summary may be called while the run goes on; Elapsed is set at
// its end.
type Report struct {
	Plan    Plan
	Elapsed time.Duration

	mu            sync.Mutex
	jobs          int
	tasks         int
	complete      int
	completeTasks int // tasks of complete jobs
	wrong         int
	kinds         map[string]int // failures by kind; kindNoAnswer counts requests without an answer
	ran           map[string]int // failures by whether tasks ran, as the answer states
	resends       map[string]int // answers to resent jobs, by state or kind of failure
	latency       *hdrhistogram.Histogram
	over          *hdrhistogram.Histogram
	overSingle    *hdrhistogram.Histogram // over ideal, for jobs of one task
	ratio         *hdrhistogram.Histogram // latency to ideal, in thousandths
	refused       *hdrhistogram.Histogram // latency of answers that state that no task ran
}

func newReport(p Plan) *Report {
	h := func() *hdrhistogram.Histogram { return hdrhistogram.New(histLow, histHigh, histDigits) }
	return &Report{
		Plan: p, kinds: make(map[string]int), ran: make(map[string]int), resends: make(map[string]int),
		latency: h(), over: h(), overSingle: h(), ratio: h(), refused: h(),
	}
}

// kindNoAnswer is the kind under which requests are counted that got no answer.
const kindNoAnswer = "no_answer"

// recordAnswer records the answer to a job, or the error of its request. ideal is the time of the
// job's longest task.
func (r *Report) recordAnswer(q *job.Request, a *job.Answer, err error, took, ideal time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.jobs++
	r.tasks += len(q.Tasks)
	switch {
	case err != nil:
		r.kinds[kindNoAnswer]++
	case a.Error != nil:
		r.kinds[a.Error.Kind]++
		r.ran[a.Error.Ran]++
		if a.Error.Ran == failure.NotRun.String() {
			_ = r.refused.RecordValue(max(histLow, took.Microseconds()))
		}
	case !correct(q, a):
		r.wrong++
	default:
		r.complete++
		r.completeTasks += len(q.Tasks)
		_ = r.latency.RecordValue(max(histLow, took.Microseconds()))
		_ = r.over.RecordValue(max(histLow, (took - ideal).Microseconds()))
		if len(q.Tasks) == 1 {
			_ = r.overSingle.RecordValue(max(histLow, (took - ideal).Microseconds()))
		}
		if ideal > 0 {
			_ = r.ratio.RecordValue(max(histLow, int64(took)*1000/int64(ideal)))
		}
	}
}

// recordResend records the answer to a job that was sent a second time.
func (r *Report) recordResend(q *job.Request, a *job.Answer, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case err != nil:
		r.resends[kindNoAnswer]++
	case a.Error != nil:
		r.resends[a.Error.Kind]++
	case !correct(q, a):
		r.wrong++
	default:
		r.resends[string(a.State)]++
	}
}

// Quantiles are quantiles of a time in milliseconds, or of a ratio.
type Quantiles struct {
	P50  float64 `json:"p50"`
	P90  float64 `json:"p90"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p99_9"`
	Max  float64 `json:"max"`
}

// quantiles returns the quantiles of h, whose values are in thousandths of the unit returned.
func quantiles(h *hdrhistogram.Histogram) Quantiles {
	q := func(p float64) float64 { return float64(h.ValueAtQuantile(p)) / 1000 }
	return Quantiles{P50: q(50), P90: q(90), P99: q(99), P999: q(99.9), Max: float64(h.Max()) / 1000}
}

// Summary holds the figures of a report.
type Summary struct {
	Arrivals   string         `json:"arrivals"`
	FanOut     string         `json:"fan_out"`
	TaskTimeMS string         `json:"task_time_ms"`
	Seconds    float64        `json:"seconds"`
	Jobs       int            `json:"jobs"`
	Tasks      int            `json:"tasks"`
	Complete   int            `json:"complete"`
	Goodput    float64        `json:"goodput"` // tasks of complete jobs per second
	Wrong      int            `json:"wrong"`
	Failed     map[string]int `json:"failed"`
	FailedRan  map[string]int `json:"failed_ran"`
	Resends    map[string]int `json:"resends"`
	LatencyMS  Quantiles      `json:"latency_ms"`
	OverMS     Quantiles      `json:"over_ideal_ms"`        // latency beyond the longest task's time
	SingleMS   Quantiles      `json:"over_ideal_single_ms"` // latency beyond the task's time, for jobs of one task
	Ratio      Quantiles      `json:"ratio_to_ideal"`
	RefusedMS  Quantiles      `json:"refused_ms"` // latency of answers that state that no task ran
	// Messages is the number of messages between processes per task, by kind. It is empty if no
	// process was scraped.
	Messages map[string]float64 `json:"messages_per_task,omitempty"`
	// WastedMessages is the number of messages per task that carry no useful work.
	WastedMessages float64 `json:"wasted_messages_per_task"`
}

// Summary returns the figures of the answers recorded so far.
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
		Goodput:    float64(r.completeTasks) / max(r.Elapsed.Seconds(), 1e-9),
		Wrong:      r.wrong,
		Failed:     copyCounts(r.kinds),
		FailedRan:  copyCounts(r.ran),
		Resends:    copyCounts(r.resends),
		LatencyMS:  quantiles(r.latency),
		OverMS:     quantiles(r.over),
		SingleMS:   quantiles(r.overSingle),
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

// WriteText writes the summary as text for people to read.
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
