package worker

import (
	"time"

	"github.com/lichenfall/lichenfall/jobs/runtable"
	"github.com/lichenfall/lichenfall/lib/loop"
)

// Overview is what a worker says of itself to operators.
type Overview struct {
	Box        string `json:"box"`
	DataCentre string `json:"data_centre"`
	runtable.View
}

// overviewWanted asks for the overview.
type overviewWanted struct{ answer chan<- Overview }

func (e overviewWanted) apply(w *Worker, now time.Time) {
	e.answer <- Overview{Box: w.cfg.Box.Name, DataCentre: w.cfg.Box.DataCentre, View: w.table.View(now)}
}

// Overview returns what the worker says of itself to operators; ok is false after its end.
func (w *Worker) Overview() (o Overview, ok bool) {
	return loop.Call(w.loop, func(answer chan<- Overview) event { return overviewWanted{answer} })
}
