package runtable

import (
	"fmt"
	"time"
)

// progress is how far a run has come, and its expected duration at its present pace.
type progress struct {
	at       time.Time     // when percent was listed, or the start of the run
	percent  int           // as of then
	expected time.Duration // duration from start to end; 0 if not known
}

// The pace is measured over at least minPaceWindow, and over paceWindowShare of the estimate for
// longer runs, since the percentage is a whole number and partly random.
const (
	minPaceWindow   = 60 * time.Millisecond // for short tasks
	paceWindowShare = 0.25                  // of the estimate
)

// stalledTime is the expected duration of a run that makes no progress: longer than any limit.
const stalledTime = 24 * time.Hour

// donePercent is the progress of a finished run.
const donePercent = 100

// noteProgress records the progress of the runs in a list. A list that is older than the last
// one is ignored.
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

// updatePace measures the pace of the run if enough time has elapsed since the last measurement.
func (r *run) updatePace(now time.Time, percent int) {
	if r.progress.at.IsZero() {
		r.progress.at = r.started
	}
	elapsed := now.Sub(r.progress.at)
	if elapsed < max(minPaceWindow, time.Duration(paceWindowShare*float64(r.estimate()))) {
		return
	}
	left := stalledTime
	if gained := percent - r.progress.percent; gained > 0 {
		left = elapsed * time.Duration(donePercent-percent) / time.Duration(gained)
	}
	r.progress = progress{at: now, percent: percent, expected: now.Sub(r.started) + left}
}

// expected returns the duration of the run from start to end: at its present pace, or its
// duration so far if that is longer or no pace is known.
func (r *run) expected(now time.Time) time.Duration {
	return max(r.lasted(now), r.progress.expected)
}

// remaining returns how much longer the run takes at its present pace. A run that has exceeded
// its expected duration is assumed to need as long again as it has exceeded it; one without a
// known pace never ends.
func (r *run) remaining(now time.Time) time.Duration {
	if r.progress.expected == 0 {
		return stalledTime
	}
	return (r.progress.expected - now.Sub(r.started)).Abs()
}

// Costs of starting a task again elsewhere, beyond its estimate.
const (
	restartSpread   = 1.4                   // factor on the estimate for the spread of run times
	restartOverhead = 50 * time.Millisecond // to stop, report, order and start
)

// restartTime returns how long the task would take if it were started again elsewhere.
func (r *run) restartTime() time.Duration {
	return restartOverhead + time.Duration(restartSpread*float64(r.estimate()))
}

func (r *run) estimate() time.Duration { return time.Duration(r.order.EstimateMS) * time.Millisecond }

// paceText returns for the log the run's duration so far, its expected duration and its limit.
func (r *run) paceText(now time.Time) string {
	took := now.Sub(r.started).Round(time.Millisecond)
	expected := r.expected(now).Round(time.Millisecond)
	if expected >= stalledTime {
		return fmt.Sprintf("stands still after %v, limit %v", took, r.limit())
	}
	return fmt.Sprintf("%v of %v, limit %v", took, expected, r.limit())
}
