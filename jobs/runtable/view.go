package runtable

import (
	"time"

	"github.com/lichenfall/lichenfall/jobs/room"
)

// View is what the table believes, for operators.
type View struct {
	Incarnation string `json:"life"`        // of the backend server; empty while none is known
	Ready       bool   `json:"ready"`       // runs may start
	Silent      bool   `json:"silent"`      // the backend server does not answer
	Evacuated   bool   `json:"evacuated"`   // operators want no task started here
	TimeFactor  uint32 `json:"time_factor"` // usual time of runs over their estimates, in percent; 0 if not known
	Slowness    uint32 `json:"slowness"`    // of the latest runs over what is usual, in percent
	Failing     uint32 `json:"failing"`     // share of the latest runs, in percent
	Capacity    int64  `json:"capacity"`    // thousandths of a core
	Free        int64  `json:"free"`        // the same; may be negative
	Runs        int    `json:"runs"`
	// Coordinators are the processes behind the names of connections.
	Coordinators map[string]string  `json:"coordinators"`
	Asks         []room.RequestView `json:"asks"`
	Grants       []room.GrantView   `json:"grants"`
}

// View returns what the table believes.
func (t *Table) View(now time.Time) View {
	v := View{
		Incarnation:  t.identity.Incarnation().String(),
		Ready:        t.canStart(),
		Silent:       t.silent,
		Evacuated:    t.evacuated,
		TimeFactor:   inPercent(t.outcomes.speed.TimeFactor()),
		Slowness:     inPercent(t.slownessNow(now)),
		Failing:      inPercent(t.outcomes.failing),
		Capacity:     t.identity.Capacity.CPU,
		Free:         t.free().CPU,
		Runs:         len(t.runs),
		Coordinators: make(map[string]string, len(t.owners)),
	}
	for name, o := range t.owners {
		v.Coordinators[name] = o.member
	}
	v.Asks, v.Grants = t.room.Views(now)
	return v
}
