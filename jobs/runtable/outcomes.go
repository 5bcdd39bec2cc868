package runtable

import (
	"time"

	"github.com/lichenfall/lichenfall/wire"
)

// The weight of one more run in outcomes, and of one that took less than half of what was
// thought: the backend server has recovered, and few runs come to say so while it gets
// probes alone. Chosen, not measured.
const (
	smoothing  = 0.2 // share of the new run
	recovering = 0.5 // the same
)

// outcomes is what the runs here were like lately, of all owners together: each owner
// alone would learn as many times more slowly as there are owners.
type outcomes struct {
	slowness float64 // smoothed: time of a run over its estimate
	failing  float64 // smoothed: share of runs that failed
}

func newOutcomes() outcomes { return outcomes{slowness: 1} }

// ended takes the end of a run.
func (o *outcomes) ended(now time.Time, r *run, how wire.End) {
	switch how {
	case wire.EndDone:
		o.ran(r.slowness(now.Sub(r.started)))
		o.failing -= smoothing * o.failing
	case wire.EndStraggled:
		o.ran(r.slowness(r.expected(now)))
	case wire.EndFailed:
		o.failing += smoothing * (1 - o.failing)
	}
}

func (o *outcomes) ran(slowness float64) {
	weight := smoothing
	if slowness < o.slowness/2 {
		weight = recovering
	}
	o.slowness += weight * (slowness - o.slowness)
}

// outcomesNow returns the outcomes as if the runs had ended that take longer than most by
// now, or will at their present pace: a backend server that has become slow, or does
// nothing, is known before its runs end.
func (t *Table) outcomesNow(now time.Time) outcomes {
	o := t.outcomes
	slower := func(r *run) bool { return r.state == runRunning && r.slowness(r.expected(now)) > t.outcomes.slowness }
	for _, ref := range t.refsWhere(slower) {
		r := t.runs[ref]
		o.ran(r.slowness(r.expected(now)))
	}
	return o
}

// mostSlowness bounds what one run can say: one that stands still would take for ever.
// Chosen, not measured: it ejects at once and is forgotten in five sound runs.
const mostSlowness = 20

// slowness returns so long a time as a multiple of the run's estimate; 1 if that is not
// known.
func (r *run) slowness(took time.Duration) float64 {
	if r.order.EstimateMS <= 0 || r.started.IsZero() || r.needUnknown || r.cold {
		return 1
	}
	return min(mostSlowness, float64(took.Milliseconds())/float64(r.order.EstimateMS))
}
