package coordinator

import (
	"time"

	"go.uber.org/zap"

	"github.com/lichenfall/lichenfall/jobs/scheduler"
	"github.com/lichenfall/lichenfall/jobs/store"
	"github.com/lichenfall/lichenfall/jobs/subset"
	"github.com/lichenfall/lichenfall/wire"
)

const (
	// chooseEvery is how often the workers to connect to are chosen anew; they
	// are as soon as the registered processes change, too.
	chooseEvery = time.Second
	// lostAfter is how long a worker without connection counts among those chosen.
	lostAfter = 2 * time.Second
	// goneAfter is how long a coordinator without connection keeps its place.
	goneAfter = 10 * time.Second
)

// chooseWorkers connects to the workers of our subset, and gives up those that
// are no longer in it and have nothing of ours. While workers are to tell what
// they have of a partition, all of them are connected to.
func (c *Coordinator) chooseWorkers(now time.Time) {
	c.chosenAt = now
	workers := c.knownWorkers(now)
	chosen := subset.Choose(c.cfg.Subset.Core(), c.address(), c.liveCoordinators(now), workers)
	asking := c.core.Asking()
	for _, w := range workers {
		home, isChosen := chosen[w.Address]
		c.core.Prefer(w.Address, preference(home, isChosen))
		l := c.links[w.Address]
		if l == nil && (asking || isChosen) {
			c.connect(now, w.Address, wire.RoleWorker)
		}
		if l != nil && !asking && !isChosen && !c.core.Busy(w.Address) {
			c.disconnect(now, w.Address, l)
		}
	}
	c.shareWorkers(workers)
}

func preference(home, chosen bool) scheduler.Preference {
	switch {
	case !chosen:
		return scheduler.PassedOver
	case home:
		return scheduler.Home
	}
	return scheduler.Shared
}

// disconnect gives up a connection to a worker.
func (c *Coordinator) disconnect(now time.Time, address string, l *link) {
	l.stop()
	delete(c.links, address)
	c.core.WorkerDown(now, address)
	c.log.Info("worker_not_chosen", zap.String("worker", address))
}

// shareWorkers tells the core how many coordinators share its workers.
func (c *Coordinator) shareWorkers(workers []subset.Worker) {
	byService := make(map[string]int)
	for _, w := range workers {
		byService[w.Service]++
	}
	settings := c.cfg.Subset.Core()
	for service, n := range byService {
		c.core.Shared(service, settings.Sharers(n, 1+c.reachable()))
	}
}

// knownWorkers returns the registered workers.
func (c *Coordinator) knownWorkers(now time.Time) []subset.Worker {
	var out []subset.Worker
	for address, m := range c.members {
		if m.Role != store.RoleWorker {
			continue
		}
		w := subset.Worker{Address: address}
		if m.Backend != nil {
			w.Service = m.Backend.Service
		}
		if l := c.links[address]; l != nil && l.conn == nil {
			w.Lost = now.Sub(l.changed) > lostAfter
		}
		out = append(out, w)
	}
	return out
}

// liveCoordinators returns the addresses of the other coordinators that are
// connected, or were until a while ago.
func (c *Coordinator) liveCoordinators(now time.Time) []string {
	var out []string
	for address, l := range c.links {
		if l.role == wire.RoleCoordinator && (l.conn != nil || now.Sub(l.changed) < goneAfter) {
			out = append(out, address)
		}
	}
	return out
}
