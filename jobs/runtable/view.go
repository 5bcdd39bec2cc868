package runtable

import (
	"time"

	"github.com/lichenfall/lichenfall/jobs/room"
)

// View is the state of the table, for operators.
type View struct {
	Incarnation string `json:"life"`      // of the backend server; empty if none is known
	Ready       bool   `json:"ready"`     // runs may start
	Silent      bool   `json:"silent"`    // the backend server does not answer
	Evacuated   bool   `json:"evacuated"` // operators want no task started here
	// TimeFactor is the baseline, the usual time of runs over their estimates, in percent; 0 if
	// not known.
	TimeFactor uint32 `json:"time_factor"`
	Slowness   uint32 `json:"slowness"` // time of the latest runs over the baseline, in percent
	Failing    uint32 `json:"failing"`  // share of the latest runs that failed, in percent
	Capacity   int64  `json:"capacity"` // thousandths of a core
	Free       int64  `json:"free"`     // thousandths of a core; may be negative
	Runs       int    `json:"runs"`
	// Coordinators maps the names of connections to the coordinators' process IDs.
	Coordinators map[string]string  `json:"coordinators"`
	Asks         []room.RequestView `json:"asks"`
	Grants       []room.GrantView   `json:"grants"`
}

// View returns the state of the table.
func (t *Table) View(now time.Time) View {
	v := View{
		Incarnation:  t.identity.Incarnation().String(),
		Ready:        t.canStart(),
		Silent:       t.silent,
		Evacuated:    t.evacuated,
		TimeFactor:   percent(t.outcomes.speed.TimeFactor()),
		Slowness:     percent(t.slowness(now)),
		Failing:      percent(t.outcomes.failing),
		Capacity:     t.identity.Capacity.CPU,
		Free:         t.free().CPU,
		Runs:         len(t.runs),
		Coordinators: make(map[string]string, len(t.owners)),
	}
	for conn, o := range t.owners {
		v.Coordinators[conn] = o.member
	}
	v.Asks, v.Grants = t.room.Views(now)
	return v
}
