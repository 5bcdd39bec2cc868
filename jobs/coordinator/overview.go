package coordinator

import (
	"time"

	"github.com/lichenfall/lichenfall/jobs/scheduler"
	"github.com/lichenfall/lichenfall/lib/loop"
	"github.com/lichenfall/lichenfall/lib/ordered"
)

// QueueLoad is what a coordinator has of one queue.
type QueueLoad struct {
	Queue   string `json:"queue"`
	Waiting uint32 `json:"waiting"` // jobs here none of whose tasks has begun
	Refused uint32 `json:"refused"` // calls that were refused here in the last ten seconds
}

// Overview is what a coordinator says of itself to operators.
type Overview struct {
	Box         string                     `json:"box"`
	DataCentre  string                     `json:"data_centre"`
	Member      string                     `json:"member"` // its name in the group of owners
	Ready       bool                       `json:"ready"`
	Stopping    bool                       `json:"stopping"`
	Partitions  int                        `json:"partitions"`
	Evacuations []scheduler.EvacuationView `json:"evacuations"`
	Queues      []QueueLoad                `json:"queues"`
	Workers     []scheduler.WorkerView     `json:"workers"`
}

// overviewRequested asks for the overview.
type overviewRequested struct{ answer chan<- Overview }

func (e overviewRequested) apply(c *Coordinator, now time.Time) { e.answer <- c.overview(now) }

// Overview returns what the coordinator says of itself to operators; ok is false after its end.
func (c *Coordinator) Overview() (o Overview, ok bool) {
	return loop.Ask(c.loop, func(answer chan<- Overview) event { return overviewRequested{answer} })
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

// queueLoads returns the queues of which jobs wait here, or were refused lately.
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
