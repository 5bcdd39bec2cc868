package coordinator

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/lichenfall/lichenfall/jobs/registration"
	"github.com/lichenfall/lichenfall/jobs/scheduler"
	"github.com/lichenfall/lichenfall/jobs/store"
	"github.com/lichenfall/lichenfall/jobs/subset"
	"github.com/lichenfall/lichenfall/wire"
)

// register registers this coordinator in the store, however long that takes.
func (c *Coordinator) register(r *registration.Registrar) {
	m := store.Member{Address: c.peers.Advertised(), Role: store.RoleCoordinator, DataCentre: c.cfg.Box.DataCentre}
	never := func() bool { return false }
	r.Register(c.ctx, m, never)
}

// followMembers posts the registered processes and their changes. The first reading also shows
// whether this coordinator is registered, and starts its registration.
func (c *Coordinator) followMembers() {
	r := registration.NewRegistrar(c.store, c.log)
	first := true
	c.store.WatchMembers(c.ctx, func(members []store.Member) {
		c.loop.Post(membersReceived{members})
		if !first {
			return
		}
		first = false
		close(c.membersRead)
		r.SetRecorded(store.MemberAt(members, c.peers.Advertised()))
		go c.register(r)
	})
}

// syncMembers posts the processes that have registered by now.
func (c *Coordinator) syncMembers() error {
	ctx, cancel := context.WithTimeout(c.ctx, c.cfg.Ownership.CallLimit.D())
	defer cancel()
	return c.store.SyncMembers(ctx)
}

// updateMembers records processes that are new or have changed, connects to new coordinators, and
// chooses again which workers to connect to.
func (c *Coordinator) updateMembers(now time.Time, members []store.Member) {
	c.logNewMembers(members)
	c.dedup.SetInitialPeers(now, c.otherCoordinators(members))
	for _, m := range members {
		if m.Address == c.peers.Advertised() {
			continue
		}
		c.members[m.Address] = m
		if m.Role == store.RoleWorker {
			c.core.WorkerKnown(now, m.Address)
		} else if c.links[m.Address] == nil {
			c.connect(now, m.Address, wire.RoleCoordinator)
		}
	}
	c.chooseWorkers(now)
}

// otherCoordinators returns the addresses of the coordinators among members, without our own.
func (c *Coordinator) otherCoordinators(members []store.Member) []string {
	var out []string
	for _, m := range members {
		if m.Role == store.RoleCoordinator && m.Address != c.peers.Advertised() {
			out = append(out, m.Address)
		}
	}
	return out
}

// maxNamedMembers is the largest number of new processes of one reading that are logged by address.
// When all processes start at once there are as many as boxes, and a line for each at every
// coordinator would only repeat what the store has.
const maxNamedMembers = 32

// logNewMembers logs the processes that are new: each address, or only their number if there are
// many.
func (c *Coordinator) logNewMembers(members []store.Member) {
	var fresh []store.Member
	for _, m := range members {
		if _, known := c.members[m.Address]; !known && m.Address != c.peers.Advertised() {
			fresh = append(fresh, m)
		}
	}
	if len(fresh) > maxNamedMembers {
		c.log.Info("members_known", zap.Int("members", len(fresh)))
		return
	}
	for _, m := range fresh {
		c.log.Info("member_known", zap.String("address", m.Address), zap.String("role", string(m.Role)))
	}
}

const (
	// chooseInterval is how often the workers to connect to are chosen again. They are also chosen
	// again when the registered processes change.
	chooseInterval = time.Second
	// unmetInterval is the least time between two choices that are made for tasks which no chosen worker
	// can run.
	unmetInterval = 100 * time.Millisecond
	// workerUnreachableAfter is how long a worker without a connection still counts towards the
	// number of chosen workers. It is longer than a restart takes.
	workerUnreachableAfter = 2 * time.Second
	// coordinatorGoneAfter is how long a coordinator without a connection keeps its position in the
	// ring. It is longer than a replacement takes.
	coordinatorGoneAfter = 10 * time.Second
)

// chooseWorkers connects to the workers of our subset, and disconnects from workers that are no
// longer in it and have no tasks of ours. While run reports of workers are awaited for a
// partition, it stays connected to all workers.
func (c *Coordinator) chooseWorkers(now time.Time) {
	c.chosenAt = now
	workers := c.knownWorkers(now)
	demand := c.workerDemand(now, workers)
	chosen := subset.Choose(c.cfg.Subset.Core(), c.peers.Advertised(), c.ringCoordinators(now), workers, demand)
	c.widenChoice(now, workers, chosen)
	awaiting := c.core.AwaitingReports()
	for _, w := range workers {
		preferred, isChosen := chosen[w.Address]
		c.core.SetPreference(w.Address, preference(preferred, isChosen))
		l := c.links[w.Address]
		if l == nil && (awaiting || isChosen) {
			c.connect(now, w.Address, wire.RoleWorker)
		}
		if l != nil && !awaiting && !isChosen && !c.core.Busy(w.Address) {
			c.disconnect(now, w.Address, l)
		}
	}
	c.updateSharers(workers, demand)
	c.chooseWitnesses(now)
}

// workerDemand returns how many workers of each service our own jobs need.
func (c *Coordinator) workerDemand(now time.Time, workers []subset.Worker) subset.Demand {
	demand := make(subset.Demand)
	for _, w := range workers {
		if _, known := demand[w.Service]; known {
			continue
		}
		n, all := c.core.WorkersWanted(now, w.Service)
		if all {
			n = c.cfg.Subset.Size
		}
		demand[w.Service] = n
	}
	return demand
}

// choiceDue returns whether the workers have to be chosen again: every chooseInterval, as soon as
// some task fits at none of the chosen workers, and soon after none of them can run some task at all.
func (c *Coordinator) choiceDue(now time.Time) bool {
	age := now.Sub(c.chosenAt)
	return age >= chooseInterval || c.core.ShortageSince(c.chosenAt) || age >= unmetInterval && c.core.UnmetSince(c.chosenAt)
}

func preference(preferred, chosen bool) scheduler.Preference {
	switch {
	case !chosen:
		return scheduler.Excluded
	case preferred:
		return scheduler.Preferred
	}
	return scheduler.Neutral
}

// disconnect removes the link to a worker that is no longer chosen.
func (c *Coordinator) disconnect(now time.Time, address string, l *link) {
	l.stop()
	delete(c.links, address)
	c.core.WorkerDown(now, address)
	c.log.Info("worker_not_chosen", zap.String("worker", address))
}

// updateSharers updates for the core how many coordinators share each worker of a service.
func (c *Coordinator) updateSharers(workers []subset.Worker, demand subset.Demand) {
	byService := make(map[string]int)
	for _, w := range workers {
		if !w.Evacuated {
			byService[w.Service]++
		}
	}
	settings := c.cfg.Subset.Core()
	for service, n := range byService {
		c.core.SetSharers(service, settings.Sharers(service, n, 1+c.connectedCoordinators(), demand))
	}
}

// knownWorkers returns the registered workers with what is known of each.
func (c *Coordinator) knownWorkers(now time.Time) []subset.Worker {
	var out []subset.Worker
	for address, m := range c.members {
		if m.Role != store.RoleWorker {
			continue
		}
		w := subset.Worker{Address: address}
		if m.Backend != nil {
			w.Service, w.Capacity, w.Labels = m.Backend.Service, m.Backend.Capacity, m.Backend.Labels
		}
		w.Evacuated = c.core.Evacuated(m.DataCentre)
		if l := c.links[address]; l != nil && l.conn == nil {
			w.Unreachable = now.Sub(l.changed) > workerUnreachableAfter
		}
		out = append(out, w)
	}
	return out
}

// ringCoordinators returns the addresses of the other coordinators that keep a position in the ring:
// those that are connected, or were within coordinatorGoneAfter.
func (c *Coordinator) ringCoordinators(now time.Time) []string {
	var out []string
	for address, l := range c.links {
		if l.role == wire.RoleCoordinator && (l.conn != nil || now.Sub(l.changed) < coordinatorGoneAfter) {
			out = append(out, address)
		}
	}
	return out
}

// connectedCoordinators returns how many other coordinators are connected.
func (c *Coordinator) connectedCoordinators() int {
	n := 0
	for _, l := range c.links {
		if l.conn != nil && l.role == wire.RoleCoordinator {
			n++
		}
	}
	return n
}
