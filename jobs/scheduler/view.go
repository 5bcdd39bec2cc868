package scheduler

import (
	"time"

	"github.com/lichenfall/lichenfall/lib/ordered"
)

// WorkerView is the core's view of a worker, for operators.
type WorkerView struct {
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"` // empty until the first connection
	Connected  bool   `json:"connected"`
	Ready      bool   `json:"ready"`     // takes tasks, as it last reported
	Evacuated  bool   `json:"evacuated"` // operators want no tasks started there
	Ejected    bool   `json:"ejected"`   // its runs are slow or fail
	Asked      bool   `json:"asked"`     // whether a capacity request to it is active
	// TimeFactor is the baseline of the worker's run times over their estimates, and Slowness
	// its latest run times over that baseline. Both are in percent and as the worker reports
	// them; 0 if not known.
	TimeFactor uint32 `json:"time_factor"`
	Slowness   uint32 `json:"slowness"`
	Capacity   int64  `json:"capacity"` // thousandths of a core
	Free       int64  `json:"free"`     // thousandths of a core; may be negative
	Runs       int    `json:"runs"`     // of this coordinator, ordered or at work
}

// Workers returns the views of all known workers, ordered by address.
func (c *Core) Workers() []WorkerView {
	out := make([]WorkerView, 0, len(c.allWorkers))
	for _, w := range c.allWorkers {
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
	Since      time.Time `json:"since"` // when this coordinator first read of its evacuation
	Runs       int       `json:"runs"`  // of this coordinator that have still to end there
}

// EvacuationViews returns the evacuated data centres, ordered by name.
func (c *Core) EvacuationViews() []EvacuationView {
	out := make([]EvacuationView, 0, len(c.evacuatedAt))
	for _, dataCentre := range ordered.Keys(c.evacuatedAt) {
		v := EvacuationView{DataCentre: dataCentre, Since: c.evacuatedAt[dataCentre]}
		for _, w := range c.allWorkers {
			if w.dataCentre == dataCentre {
				v.Runs += len(w.assigned)
			}
		}
		out = append(out, v)
	}
	return out
}

// Refusals are counted over a sliding window, so that operators see what goes wrong now and not
// what went wrong earlier in the day.
const (
	refusalSpan  = 10 * time.Second
	refusalSteps = 10 // of one second each; the window is up to one step short
)

// refusals counts the recently refused calls of one queue.
type refusals struct {
	steps [refusalSteps]uint32 // ring of counts
	step  int64                // number of the newest step, since 1970
}

// at returns the number of the step that the time is in.
func (r *refusals) at(now time.Time) int64 { return now.UnixNano() / int64(refusalSpan/refusalSteps) }

// rotate clears the steps that have left the window.
func (r *refusals) rotate(now time.Time) {
	newest := r.at(now)
	for step := max(r.step+1, newest-refusalSteps+1); step <= newest; step++ {
		r.steps[step%refusalSteps] = 0
	}
	r.step = max(r.step, newest)
}

// add counts one refusal.
func (r *refusals) add(now time.Time) {
	r.rotate(now)
	r.steps[r.step%refusalSteps]++
}

// count returns the number of refusals in the window.
func (r *refusals) count(now time.Time) uint32 {
	r.rotate(now)
	n := uint32(0)
	for _, k := range r.steps {
		n += k
	}
	return n
}

// noteRefusal counts a refused call of the queue.
func (c *Core) noteRefusal(now time.Time, queue string) {
	r := c.refusals[queue]
	if r == nil {
		r = &refusals{}
		c.refusals[queue] = r
	}
	r.add(now)
}

// Refused returns the number of calls of each queue that were refused in the last ten seconds,
// without queues that had none.
func (c *Core) Refused(now time.Time) map[string]uint32 {
	out := make(map[string]uint32)
	for queue, r := range c.refusals {
		if n := r.count(now); n > 0 {
			out[queue] = n
		}
	}
	return out
}
