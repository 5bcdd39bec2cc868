package scheduler

import (
	"time"

	"github.com/lichenfall/lichenfall/lib/ordered"
)

// WorkerView is what the core believes of a worker, for operators.
type WorkerView struct {
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"` // empty until it has been connected
	Connected  bool   `json:"connected"`
	Ready      bool   `json:"ready"`     // takes tasks, by its own word
	Evacuated  bool   `json:"evacuated"` // operators want no task started there
	Ejected    bool   `json:"ejected"`   // its runs are slow or fail
	Asked      bool   `json:"asked"`     // for room, for what waits here
	// TimeFactor is the usual time of runs there over their estimates, and Slowness that of the
	// latest over what is usual, both in percent and by its own word; 0 if not known.
	TimeFactor uint32 `json:"time_factor"`
	Slowness   uint32 `json:"slowness"`
	Capacity   int64  `json:"capacity"` // thousandths of a core
	Free       int64  `json:"free"`     // the same; may be negative
	Runs       int    `json:"runs"`     // of this coordinator, on their way or at work
}

// Workers returns what is believed of all known workers, by address.
func (c *Core) Workers() []WorkerView {
	out := make([]WorkerView, 0, len(c.order))
	for _, w := range c.order {
		out = append(out, WorkerView{
			Address:    w.name,
			DataCentre: w.dataCentre,
			Connected:  w.up,
			Ready:      w.up && w.status.Ready,
			Evacuated:  c.Evacuated(w.dataCentre),
			Ejected:    w.outlier,
			TimeFactor: w.timeFactorPercent(),
			Slowness:   w.status.Slowness,
			Asked:      w.up && w.request.active,
			Capacity:   w.identity.Capacity.CPU,
			Free:       w.free().CPU,
			Runs:       len(w.assigned),
		})
	}
	return out
}

// EvacuationView is an evacuated data centre, for operators.
type EvacuationView struct {
	DataCentre string    `json:"data_centre"`
	Since      time.Time `json:"since"` // when this coordinator heard of it
	Runs       int       `json:"runs"`  // of this coordinator, that are left to end there
}

// EvacuationViews returns the evacuated data centres.
func (c *Core) EvacuationViews() []EvacuationView {
	out := make([]EvacuationView, 0, len(c.evacuatedAt))
	for _, dataCentre := range ordered.Keys(c.evacuatedAt) {
		v := EvacuationView{DataCentre: dataCentre, Since: c.evacuatedAt[dataCentre]}
		for _, w := range c.order {
			if w.dataCentre == dataCentre {
				v.Runs += len(w.assigned)
			}
		}
		out = append(out, v)
	}
	return out
}

// Refusals are counted for operators over a while, in steps: what goes wrong now, and not
// what went wrong today.
const (
	refusalSpan  = 10 * time.Second
	refusalSteps = 10 // of a second each, by which the count is too low at most
)

// refusals counts the calls of one queue that were refused lately.
type refusals struct {
	steps [refusalSteps]uint32
	step  int64 // the newest, since 1970
}

// at returns the number of the step that a moment is in.
func (r *refusals) at(now time.Time) int64 { return now.UnixNano() / int64(refusalSpan/refusalSteps) }

// rotate empties the steps that are over.
func (r *refusals) rotate(now time.Time) {
	newest := r.at(now)
	for step := max(r.step+1, newest-refusalSteps+1); step <= newest; step++ {
		r.steps[step%refusalSteps] = 0
	}
	r.step = max(r.step, newest)
}

func (r *refusals) add(now time.Time) {
	r.rotate(now)
	r.steps[r.step%refusalSteps]++
}

func (r *refusals) count(now time.Time) uint32 {
	r.rotate(now)
	n := uint32(0)
	for _, k := range r.steps {
		n += k
	}
	return n
}

// noteRefusal counts a refused job for operators.
func (c *Core) noteRefusal(now time.Time, queue string) {
	r := c.refusals[queue]
	if r == nil {
		r = &refusals{}
		c.refusals[queue] = r
	}
	r.add(now)
}

// Refused returns, by queue, how many calls were refused in the last ten seconds.
func (c *Core) Refused(now time.Time) map[string]uint32 {
	out := make(map[string]uint32)
	for queue, r := range c.refusals {
		if n := r.count(now); n > 0 {
			out[queue] = n
		}
	}
	return out
}
