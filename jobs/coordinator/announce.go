package coordinator

import (
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/lichenfall/lichenfall/jobs/dedup"
	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/wire"
)

// route is the owner of a partition, as it has announced itself.
type route struct {
	address string
	epoch   uint64 // of its ownership
}

const (
	// maxAnnounceInterval is the longest time between two announcements. Users require
	// that the counts of our waiting jobs at other coordinators are at most 2 s old.
	maxAnnounceInterval = time.Second
	// jobHeldTwice is the log message and metric label of a best-effort job that another
	// coordinator holds too.
	jobHeldTwice = "job_held_twice"
)

// announce sends our partitions, our best-effort jobs and our counts of waiting jobs to the other
// coordinators, at least every maxAnnounceInterval. Every Ownership.Announce it checks whether the
// partitions have changed or a best-effort job is due to be announced. It then sends at once, since
// others might otherwise route a call wrongly.
func (c *Coordinator) announce(now time.Time) {
	if now.Sub(c.countedAt) < c.cfg.Ownership.Announce.D() && !c.announcedAt.IsZero() {
		return
	}
	c.countedAt = now
	mine := c.core.Waiting()
	c.sumCounts(mine)
	m := &wire.QueueCounts{Partitions: c.core.Partitions(), BestEffort: c.core.BestEffortOlderThan(now, c.dedup.Settings().AnnounceAfter())}
	if now.Sub(c.announcedAt) < maxAnnounceInterval && !routesDiffer(m, c.announced) {
		return
	}
	c.announcedAt = now
	c.announced = m
	for queue, jobs := range mine {
		m.Counts = append(m.Counts, wire.QueueCount{Queue: queue, Jobs: jobs})
	}
	c.broadcast(m)
}

// routesDiffer returns whether other coordinators, with before as our last announcement, could
// route a call wrongly: the partitions differ from those in m, or m lists a best-effort job that
// is new. Jobs that have ended don't count.
func routesDiffer(m, before *wire.QueueCounts) bool {
	if !slices.Equal(m.Partitions, before.Partitions) {
		return true
	}
	for _, id := range m.BestEffort {
		if _, found := slices.BinarySearch(before.BestEffort, id); !found {
			return true
		}
	}
	return false
}

// sumCounts adds up the waiting jobs of all coordinators by queue, for Waiting.
func (c *Coordinator) sumCounts(mine map[string]uint32) {
	all := maps.Clone(mine)
	for _, counts := range c.peerCounts {
		for queue, jobs := range counts {
			all[queue] += jobs
		}
	}
	c.waiting.Store(&all)
}

// handleAnnouncement stores the announcement of another coordinator in place of its previous one,
// and updates the routes.
func (c *Coordinator) handleAnnouncement(now time.Time, from dedup.Peer, m *wire.QueueCounts) {
	counts := make(map[string]uint32, len(m.Counts))
	for _, q := range m.Counts {
		counts[q.Queue] = q.Jobs
	}
	c.peerCounts[from.Address] = counts
	c.logHeldTwice(from.Address, m.BestEffort)
	c.dedup.Update(now, from, m.BestEffort)
	c.dropRoutes(from.Address)
	for _, p := range m.Partitions {
		if r, ok := c.routes[p.Partition]; !ok || p.Epoch >= r.epoch {
			c.routes[p.Partition] = route{from.Address, p.Epoch}
		}
	}
}

// logHeldTwice logs each best-effort job in ids that we hold too, so that its tasks may run
// twice. ids are from an announcement; jobs that were in the previous one are left out.
func (c *Coordinator) logHeldTwice(from string, ids []durable.JobID) {
	for _, id := range ids {
		if c.dedup.HeldBy(from, id) || !c.core.HasBestEffort(id) {
			continue
		}
		c.metrics.Decision(jobHeldTwice)
		c.log.Warn(jobHeldTwice, zap.String("job", string(id)), zap.String("peer", from))
	}
}

// giveUpUnannounced gives up the best-effort jobs that we have not announced in time: their callers
// may have sent them again, to a coordinator that does not know that we hold them.
func (c *Coordinator) giveUpUnannounced(now time.Time) {
	old := c.core.BestEffortOlderThan(now, c.dedup.Settings().AnnounceDeadline())
	for _, id := range dedup.Unannounced(old, c.announced.BestEffort) {
		c.core.GiveUpUnannounced(now, id)
	}
}

// peerLost discards the announcement of an unreachable coordinator, except for the best-effort jobs
// that it may still run.
func (c *Coordinator) peerLost(now time.Time, from string) {
	delete(c.peerCounts, from)
	c.dedup.LinkLost(now, from)
	c.dropRoutes(from)
	c.failForwarded(from)
}

// dropRoutes removes the routes to the coordinator.
func (c *Coordinator) dropRoutes(from string) {
	for p, r := range c.routes {
		if r.address == from {
			delete(c.routes, p)
		}
	}
}
