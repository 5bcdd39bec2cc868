package runtable

import (
	"math"
	"time"

	"github.com/lichenfall/lichenfall/jobs/speed"
	"github.com/lichenfall/lichenfall/wire"
)

// smoothing is the weight of one more run in the share that failed.
const smoothing = 0.2

// outcomes is what the runs of this life were like, of all owners together: each owner
// alone would learn as many times more slowly as there are owners.
type outcomes struct {
	speed   *speed.Meter
	failing float64 // smoothed: share of runs that failed
	told    toldSpeed
}

func newOutcomes() outcomes { return outcomes{speed: speed.New()} }

// ended takes the end of a run.
func (o *outcomes) ended(now time.Time, r *run, how wire.End) {
	switch how {
	case wire.EndDone:
		o.ran(now, r, now.Sub(r.started))
		o.failing -= smoothing * o.failing
	case wire.EndStraggled:
		o.ran(now, r, r.expected(now))
	case wire.EndFailed:
		o.failing += smoothing * (1 - o.failing)
	}
}

// ran takes how long a run took, or would have.
func (o *outcomes) ran(now time.Time, r *run, took time.Duration) {
	if r.measured() {
		o.speed.RunEnded(now, r.ratio(took))
	}
}

// slownessNow returns how the latest runs compare with what is usual here, with those that
// go on: by their time until now, or at their present pace.
func (t *Table) slownessNow(now time.Time) float64 {
	var running []speed.Running
	for _, ref := range t.refsWhere(func(r *run) bool { return r.state == runRunning && r.measured() }) {
		r := t.runs[ref]
		running = append(running, speed.Running{MinRatio: r.ratio(r.expected(now)), EndedBefore: r.before})
	}
	return t.outcomes.speed.Slowness(running)
}

// measured returns whether the run's time says something of the speed of the life in force.
func (r *run) measured() bool {
	return r.order.EstimateMS > 0 && !r.started.IsZero() && !r.needUnknown && !r.cold && r.lost == nil
}

// ratio returns so long a time as a multiple of the run's estimate.
func (r *run) ratio(took time.Duration) float64 {
	return took.Seconds() / r.estimate().Seconds()
}

// inPercent returns a share or factor as messages carry it.
func inPercent(x float64) uint32 { return uint32(math.Round(100 * x)) }
