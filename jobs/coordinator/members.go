package coordinator

import (
	"time"

	"go.uber.org/zap"

	"github.com/lichenfall/lichenfall/jobs/registration"
	"github.com/lichenfall/lichenfall/jobs/scheduler"
	"github.com/lichenfall/lichenfall/jobs/store"
	"github.com/lichenfall/lichenfall/jobs/subset"
	"github.com/lichenfall/lichenfall/wire"
)

// register makes the process known, however long that takes.
func (c *Coordinator) register(k *registration.Registrar) {
	m := store.Member{Address: c.peers.Advertised(), Role: store.RoleCoordinator, DataCentre: c.cfg.Box.DataCentre}
	never := func() bool { return false }
	k.Register(c.halt, m, never)
}

// followMembers tells the control goroutine of the registered processes. The first
// reading tells whether we are registered.
func (c *Coordinator) followMembers() {
	k := registration.NewRegistrar(c.store, c.log)
	first := true
	c.store.WatchMembers(c.halt, func(members []store.Member) {
		c.loop.Post(membersHeard{members})
		if !first {
			return
		}
		first = false
		close(c.membersRead)
		k.SetRecorded(store.MemberAt(members, c.peers.Advertised()))
		go c.register(k)
	})
}

// updateMembers connects to processes that are new.
func (c *Coordinator) updateMembers(now time.Time, members []store.Member) {
	c.logNewMembers(members)
	c.copies.SetInitialPeers(now, c.otherCoordinators(members))
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

// otherCoordinators returns the addresses of the coordinators among the processes, without ours.
func (c *Coordinator) otherCoordinators(members []store.Member) []string {
	var out []string
	for _, m := range members {
		if m.Role == store.RoleCoordinator && m.Address != c.peers.Advertised() {
			out = append(out, m.Address)
		}
	}
	return out
}

// namedMembers is up to how many new processes of one reading are named in the log. At a start
// there are as many as boxes, and a line for each at each coordinator would tell nothing that
// the store does not have.
const namedMembers = 32

// logNewMembers writes who is new: by address, or where there are many how many.
func (c *Coordinator) logNewMembers(members []store.Member) {
	var fresh []store.Member
	for _, m := range members {
		if _, known := c.members[m.Address]; !known && m.Address != c.peers.Advertised() {
			fresh = append(fresh, m)
		}
	}
	if len(fresh) > namedMembers {
		c.log.Info("members_known", zap.Int("members", len(fresh)))
		return
	}
	for _, m := range fresh {
		c.log.Info("member_known", zap.String("address", m.Address), zap.String("role", string(m.Role)))
	}
}

const (
	// chooseEvery is how often the workers to connect to are chosen again; they are as soon as
	// the registered processes change, too.
	chooseEvery = time.Second
	// workerLostAfter is how long a worker without connection still counts among those chosen.
	// Longer than a restart takes.
	workerLostAfter = 2 * time.Second
	// coordinatorGoneAfter is how long a coordinator without connection keeps its place in the
	// ring. Longer than a replacement takes.
	coordinatorGoneAfter = 10 * time.Second
)

// chooseWorkers connects to the workers of our subset, and gives up those that
// are no longer in it and have nothing of ours. While workers are to tell what
// they have of a partition, all of them are connected to.
func (c *Coordinator) chooseWorkers(now time.Time) {
	c.chosenAt = now
	workers := c.knownWorkers(now)
	wanted := c.wantedWorkers(now, workers)
	chosen := subset.Choose(c.cfg.Subset.Core(), c.peers.Advertised(), c.liveCoordinators(now), workers, wanted)
	asking := c.core.Asking()
	for _, w := range workers {
		preferred, isChosen := chosen[w.Address]
		c.core.Prefer(w.Address, preference(preferred, isChosen))
		l := c.links[w.Address]
		if l == nil && (asking || isChosen) {
			c.connect(now, w.Address, wire.RoleWorker)
		}
		if l != nil && !asking && !isChosen && !c.core.Busy(w.Address) {
			c.disconnect(now, w.Address, l)
		}
	}
	c.shareWorkers(workers, wanted)
}

// wantedWorkers returns how many workers of each service our own demand asks for.
func (c *Coordinator) wantedWorkers(now time.Time, workers []subset.Worker) subset.Demand {
	wanted := make(subset.Demand)
	for _, w := range workers {
		if _, known := wanted[w.Service]; known {
			continue
		}
		n, all := c.core.WorkersWanted(now, w.Service)
		if all {
			n = c.cfg.Subset.Size
		}
		wanted[w.Service] = n
	}
	return wanted
}

// chooseAgain returns whether the workers are to be chosen again: now and then, and as
// soon as tasks begin to fit at none of them.
func (c *Coordinator) chooseAgain(now time.Time) bool {
	return now.Sub(c.chosenAt) >= chooseEvery || c.core.Short(c.chosenAt)
}

func preference(preferred, chosen bool) scheduler.Preference {
	switch {
	case !chosen:
		return scheduler.Excluded
	case preferred:
		return scheduler.Preferred
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
func (c *Coordinator) shareWorkers(workers []subset.Worker, wanted subset.Demand) {
	byService := make(map[string]int)
	for _, w := range workers {
		if !w.Evacuated {
			byService[w.Service]++
		}
	}
	settings := c.cfg.Subset.Core()
	for service, n := range byService {
		c.core.SetSharers(service, settings.Sharers(service, n, 1+c.reachable(), wanted))
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
		w.Evacuated = c.core.Evacuated(m.DataCentre)
		if l := c.links[address]; l != nil && l.conn == nil {
			w.Unreachable = now.Sub(l.changed) > workerLostAfter
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
		if l.role == wire.RoleCoordinator && (l.conn != nil || now.Sub(l.changed) < coordinatorGoneAfter) {
			out = append(out, address)
		}
	}
	return out
}

// reachable returns how many other coordinators are connected.
func (c *Coordinator) reachable() int {
	n := 0
	for _, l := range c.links {
		if l.conn != nil && l.role == wire.RoleCoordinator {
			n++
		}
	}
	return n
}
