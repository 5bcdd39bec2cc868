package worker

import (
	"time"

	"github.com/lichenfall/lichenfall/jobs/runtable"
	"github.com/lichenfall/lichenfall/lib/loop"
)

// Overview is the state of a worker, for operators.
type Overview struct {
	Box        string `json:"box"`
	DataCentre string `json:"data_centre"`
	runtable.View
}

// overviewRequested requests the overview.
type overviewRequested struct{ answer chan<- Overview }

func (e overviewRequested) apply(w *Worker, now time.Time) {
	e.answer <- Overview{Box: w.cfg.Box.Name, DataCentre: w.cfg.Box.DataCentre, View: w.table.View(now)}
}

// Overview returns the state of the worker, for operators; ok is false after Close.
func (w *Worker) Overview() (o Overview, ok bool) {
	return loop.Call(w.loop, func(answer chan<- Overview) event { return overviewRequested{answer} })
}
