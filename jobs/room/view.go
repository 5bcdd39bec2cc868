package room

import (
	"time"

	"github.com/lichenfall/lichenfall/lib/ordered"
)

// RequestView is what waits of one priority at one coordinator, for operators.
type RequestView struct {
	Owner         string `json:"owner"` // the name of its connection
	Priority      int32  `json:"priority"`
	FirstMS       int64  `json:"first_ms"` // the turn of the next task, from now; negative once it has passed
	Tasks         int    `json:"tasks"`    // that have not been granted room
	Need          int64  `json:"need"`     // of each, in thousandths of a core
	Deprioritised bool   `json:"set_aside"`
}

// GrantView is room that is kept for a task of a coordinator, for operators.
type GrantView struct {
	Owner      string `json:"owner"`
	Need       int64  `json:"need"` // thousandths of a core
	EndsMS     int64  `json:"ends_ms"`
	Advertised bool   `json:"was_told"`
}

// Views returns the asks that stand and the grants.
func (t *Table) Views(now time.Time) (asks []RequestView, grants []GrantView) {
	for _, owner := range ordered.Keys(t.askers) {
		a := t.askers[owner]
		for _, w := range a.waits {
			asks = append(asks, RequestView{
				Owner:         owner,
				Priority:      w.priority,
				FirstMS:       w.turn().Sub(now).Milliseconds(),
				Tasks:         w.left(),
				Need:          w.need.CPU,
				Deprioritised: now.Before(a.setAside),
			})
		}
	}
	for _, g := range t.grants {
		grants = append(grants, GrantView{Owner: g.owner, Need: g.need.CPU, EndsMS: g.until.Sub(now).Milliseconds(), Advertised: g.stamp != 0})
	}
	return asks, grants
}
