package room

import (
	"time"

	"github.com/lichenfall/lichenfall/lib/ordered"
)

// RequestView shows operators a group of tasks of one priority that wait at one coordinator.
type RequestView struct {
	Owner         string `json:"owner"` // the name of its connection
	Priority      int32  `json:"priority"`
	FirstMS       int64  `json:"first_ms"`  // virtual deadline of the next task, from now; negative once it has passed
	Tasks         int    `json:"tasks"`     // that have not been granted capacity
	Need          int64  `json:"need"`      // of each task, in thousandths of a core
	Deprioritised bool   `json:"set_aside"` // because its owner let grants lapse
}

// GrantView shows operators a grant: capacity that is held for a task of a coordinator.
type GrantView struct {
	Owner      string `json:"owner"`
	Need       int64  `json:"need"` // thousandths of a core
	EndsMS     int64  `json:"ends_ms"`
	Advertised bool   `json:"was_told"` // a status to the owner has included it
}

// Views returns the standing requests and the grants.
func (t *Table) Views(now time.Time) (requests []RequestView, grants []GrantView) {
	for _, owner := range ordered.Keys(t.requesters) {
		r := t.requesters[owner]
		for _, w := range r.waiting {
			requests = append(requests, RequestView{
				Owner:         owner,
				Priority:      w.priority,
				FirstMS:       w.nextDeadline().Sub(now).Milliseconds(),
				Tasks:         w.remaining(),
				Need:          w.need.CPU,
				Deprioritised: now.Before(r.deprioritisedUntil),
			})
		}
	}
	for _, g := range t.grants {
		grants = append(grants, GrantView{Owner: g.owner, Need: g.need.CPU, EndsMS: g.until.Sub(now).Milliseconds(), Advertised: g.stamp != 0})
	}
	return requests, grants
}
