package runtable

import (
	"fmt"
	"time"
)

// progress is how far a run has come, and how long it will take at its present pace.
type progress struct {
	at       time.Time     // when percent was heard, or the run started
	percent  int           // then
	expected time.Duration // from its start to its end; 0 while that is not known
}

// A pace is worked out over minPaceWindow, and over the paceWindowShare of longer runs: the percent
// is a whole number, and some of it is chance.
const (
	minPaceWindow   = 60 * time.Millisecond // a short task
	paceWindowShare = 0.25                  // of the estimate
)

// stalledTime is how long a run is expected to take that does not advance: more than any limit.
const stalledTime = 24 * time.Hour

// donePercent is the percent of a run that has ended.
const donePercent = 100

// noteProgress takes what a list says of the runs here. A list that was overtaken says
// nothing.
func (t *Table) noteProgress(now time.Time, seq uint64, running []ListedRun) {
	if seq <= t.progressSeq {
		return
	}
	t.progressSeq = seq
	for i := range running {
		l := &running[i]
		t.reportsProgress = t.reportsProgress || l.Percent > 0
		if r := t.runs[l.Ref]; r != nil && r.state == runRunning && t.reportsProgress {
			r.updatePace(now, l.Percent)
		}
	}
}

// updatePace works out the pace of the run once enough time has passed since the last time.
func (r *run) updatePace(now time.Time, percent int) {
	if r.progress.at.IsZero() {
		r.progress.at = r.started
	}
	passed := now.Sub(r.progress.at)
	if passed < max(minPaceWindow, time.Duration(paceWindowShare*float64(r.estimate()))) {
		return
	}
	left := stalledTime
	if made := percent - r.progress.percent; made > 0 {
		left = passed * time.Duration(donePercent-percent) / time.Duration(made)
	}
	r.progress = progress{at: now, percent: percent, expected: now.Sub(r.started) + left}
}

// expected returns how long the run takes from its start to its end: at its present pace,
// or as long as it has been running where that is more, or no pace is known.
func (r *run) expected(now time.Time) time.Duration {
	return max(now.Sub(r.started), r.progress.expected)
}

// remaining returns how long the run goes on, at its present pace. One that is over what was
// expected is thought to take as long again as it is over; one of which no pace is known, for
// ever.
func (r *run) remaining(now time.Time) time.Duration {
	if r.progress.expected == 0 {
		return stalledTime
	}
	return (r.progress.expected - now.Sub(r.started)).Abs()
}

// What a start anew takes beyond the estimate.
const (
	restartSpread   = 1.4                   // times the estimate: runs scatter by so much
	restartOverhead = 50 * time.Millisecond // to stop, report, order and start
)

// restartTime returns how long the task would take if it were started elsewhere.
func (r *run) restartTime() time.Duration {
	return restartOverhead + time.Duration(restartSpread*float64(r.estimate()))
}

func (r *run) estimate() time.Duration { return time.Duration(r.order.EstimateMS) * time.Millisecond }

// paceText says for the log how long the run has taken, will take, and may take.
func (r *run) paceText(now time.Time) string {
	took := now.Sub(r.started).Round(time.Millisecond)
	expected := r.expected(now).Round(time.Millisecond)
	if expected >= stalledTime {
		return fmt.Sprintf("stands still after %v, limit %v", took, r.limit())
	}
	return fmt.Sprintf("%v of %v, limit %v", took, expected, r.limit())
}
