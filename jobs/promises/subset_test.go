package promises

import (
	"time"

	"github.com/lichenfall/lichenfall/jobs/scheduler"
	"github.com/lichenfall/lichenfall/jobs/subset"
)

// Constants that package coordinator has too.
const (
	chooseInterval = time.Second
	unmetInterval  = 100 * time.Millisecond
)

// isChosen returns whether the coordinator connects to the worker.
func (n *coordinatorNode) isChosen(worker string) bool {
	if n.w.subset == nil || n.core.AwaitingReports() {
		return true
	}
	_, is := n.chosen[worker]
	return is
}

// chooseWorkers chooses the workers to connect to, where that is due. It follows chooseWorkers and
// choiceDue of package coordinator.
func (n *coordinatorNode) chooseWorkers() {
	now := n.now()
	age := now.Sub(n.chosenAt)
	if n.w.subset == nil || age < chooseInterval && !n.core.ShortageSince(n.chosenAt) && (age < unmetInterval || !n.core.UnmetSince(n.chosenAt)) {
		return
	}
	n.chosenAt = now
	var workers []subset.Worker
	for _, w := range n.w.workers {
		workers = append(workers, subset.Worker{Address: w.name, Service: "s", Capacity: w.backend.capacity, Labels: w.backend.labels})
	}
	wanted, all := n.core.WorkersWanted(now, "s")
	if all {
		wanted = n.w.subset.Size
	}
	var others []string
	for _, o := range n.w.coordinators {
		if o != n && o.alive {
			others = append(others, o.name)
		}
	}
	n.chosen = subset.Choose(n.w.subset.Core(), n.name, others, workers, subset.Demand{"s": wanted})
	n.widening.Apply(now, n.name, workers, n.chosen, n.unmetNeeds(now), n.core.OrderedAt)
	for _, w := range n.w.workers {
		preferred, is := n.chosen[w.name]
		n.core.SetPreference(w.name, preferenceOf(preferred, is))
		if c := n.conns[w.name]; c != nil && !n.isChosen(w.name) && !n.core.Busy(w.name) {
			n.disconnect(c)
		}
	}
}

func (n *coordinatorNode) unmetNeeds(now time.Time) []subset.Need {
	var out []subset.Need
	for _, u := range n.core.UnmetNeeds(now) {
		out = append(out, subset.Need{Service: u.Service, Label: u.Label, Resources: u.Resources})
	}
	return out
}

func preferenceOf(preferred, chosen bool) scheduler.Preference {
	switch {
	case !chosen:
		return scheduler.Excluded
	case preferred:
		return scheduler.Preferred
	}
	return scheduler.Neutral
}
