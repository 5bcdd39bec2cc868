package runtable

import (
	"math"
	"time"

	"github.com/lichenfall/lichenfall/jobs/speed"
	"github.com/lichenfall/lichenfall/wire"
)

// failureWeight is the weight of one more run in the smoothed share of failed runs.
const failureWeight = 0.2

// outcomes summarises the runs of this incarnation, of all owners together. Each owner alone sees
// only its share of the runs, and would take that much longer to detect a change.
type outcomes struct {
	speed   *speed.Meter
	failing float64 // smoothed share of runs that failed
	logged  loggedSpeed
}

func newOutcomes() outcomes { return outcomes{speed: speed.New()} }

// ended records the end of a run.
func (o *outcomes) ended(now time.Time, r *run, how wire.End) {
	switch how {
	case wire.EndDone:
		o.addTime(now, r, r.lasted(now))
		o.failing -= failureWeight * o.failing
	case wire.EndStraggled:
		o.addTime(now, r, r.expected(now))
	case wire.EndFailed:
		o.failing += failureWeight * (1 - o.failing)
	}
}

// addTime records how long a run took, or would have taken.
func (o *outcomes) addTime(now time.Time, r *run, took time.Duration) {
	if r.measured() {
		o.speed.RunEnded(now, r.ratio(took))
	}
}

// slowness returns how the latest runs compare with the baseline here. Runs that have not ended
// count by their duration so far, or at their present pace.
func (t *Table) slowness(now time.Time) float64 {
	var running []speed.Running
	for _, ref := range t.refsWhere(func(r *run) bool { return r.state == runRunning && !r.over() && r.measured() }) {
		r := t.runs[ref]
		running = append(running, speed.Running{MinRatio: r.ratio(r.expected(now)), EndedBefore: r.endedBefore})
	}
	return t.outcomes.speed.Slowness(running)
}

// measured returns whether the run's time is a measure of the speed of the incarnation in force.
func (r *run) measured() bool {
	return r.order.EstimateMS > 0 && !r.started.IsZero() && !r.needUnknown && !r.cold && r.earlierEnd == nil
}

// ratio returns a duration as a multiple of the run's estimate.
func (r *run) ratio(took time.Duration) float64 {
	return took.Seconds() / r.estimate().Seconds()
}

// percent returns a share or factor in percent, as messages carry it.
func percent(x float64) uint32 { return uint32(math.Round(100 * x)) }
