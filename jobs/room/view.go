package room

import (
	"time"

	"github.com/lichenfall/lichenfall/lib/ordered"
)

// AskView is what waits of one priority at one coordinator, for operators.
type AskView struct {
	Owner    string `json:"owner"` // the name of its connection
	Priority int32  `json:"priority"`
	FirstMS  int64  `json:"first_ms"` // the turn of the next task, from now; negative once it has passed
	Tasks    int    `json:"tasks"`    // that have not been granted room
	Need     int64  `json:"need"`     // of each, in thousandths of a core
	SetAside bool   `json:"set_aside"`
}

// GrantView is room that is kept for a task of a coordinator, for operators.
type GrantView struct {
	Owner   string `json:"owner"`
	Need    int64  `json:"need"` // thousandths of a core
	EndsMS  int64  `json:"ends_ms"`
	WasTold bool   `json:"was_told"`
}

// Views returns the asks that stand and the grants.
func (t *Table) Views(now time.Time) (asks []AskView, grants []GrantView) {
	for _, owner := range ordered.Keys(t.askers) {
		a := t.askers[owner]
		for _, w := range a.waits {
			asks = append(asks, AskView{
				Owner:    owner,
				Priority: w.priority,
				FirstMS:  w.turn().Sub(now).Milliseconds(),
				Tasks:    w.left(),
				Need:     w.need.CPU,
				SetAside: now.Before(a.setAside),
			})
		}
	}
	for _, g := range t.grants {
		grants = append(grants, GrantView{Owner: g.owner, Need: g.need.CPU, EndsMS: g.until.Sub(now).Milliseconds(), WasTold: g.stamp != 0})
	}
	return asks, grants
}
