package coordinator

import (
	"time"

	"github.com/lichenfall/lichenfall/jobs/scheduler"
	"github.com/lichenfall/lichenfall/lib/loop"
	"github.com/lichenfall/lichenfall/lib/ordered"
)

// QueueLoad is the load of one queue at a coordinator.
type QueueLoad struct {
	Queue   string `json:"queue"`
	Waiting uint32 `json:"waiting"` // jobs here none of whose tasks has started
	Refused uint32 `json:"refused"` // calls that were refused here in the last ten seconds
}

// Overview is the status of a coordinator as it is reported to operators.
type Overview struct {
	Box         string                     `json:"box"`
	DataCentre  string                     `json:"data_centre"`
	Member      string                     `json:"member"` // its name in the group of partition owners
	Ready       bool                       `json:"ready"`
	Stopping    bool                       `json:"stopping"`
	Partitions  int                        `json:"partitions"`
	Evacuations []scheduler.EvacuationView `json:"evacuations"`
	Queues      []QueueLoad                `json:"queues"`
	Workers     []scheduler.WorkerView     `json:"workers"`
}

// overviewRequested asks the control goroutine for the overview.
type overviewRequested struct{ answer chan<- Overview }

func (e overviewRequested) apply(c *Coordinator, now time.Time) { e.answer <- c.overview(now) }

// Overview returns the status of the coordinator; ok is false after Close.
func (c *Coordinator) Overview() (o Overview, ok bool) {
	return loop.Call(c.loop, func(answer chan<- Overview) event { return overviewRequested{answer} })
}

func (c *Coordinator) overview(now time.Time) Overview {
	return Overview{
		Box:         c.cfg.Box.Name,
		DataCentre:  c.cfg.Box.DataCentre,
		Member:      c.member,
		Ready:       c.Ready(),
		Stopping:    c.Stopping(),
		Partitions:  len(c.core.Partitions()),
		Evacuations: c.core.EvacuationViews(),
		Queues:      c.queueLoads(now),
		Workers:     c.core.Workers(),
	}
}

// queueLoads returns the queues that have waiting jobs here, or had calls refused recently, in order
// of their names.
func (c *Coordinator) queueLoads(now time.Time) []QueueLoad {
	waiting, refused := c.core.Waiting(), c.core.Refused(now)
	loads := make(map[string]QueueLoad)
	for queue, n := range waiting {
		loads[queue] = QueueLoad{Queue: queue, Waiting: n}
	}
	for queue, n := range refused {
		load := loads[queue]
		load.Queue, load.Refused = queue, n
		loads[queue] = load
	}
	return ordered.Values(loads)
}
