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

// route says where calls about a partition go.
type route struct {
	address string
	epoch   uint64
}

const (
	// maxAnnounceInterval is how old the counts that others have of us may get:
	// the users allow 2 s.
	maxAnnounceInterval = time.Second
	// jobHeldTwice names the line of a best-effort job that another coordinator has too.
	jobHeldTwice = "job_held_twice"
)

// announce tells other coordinators what we own and how many jobs wait: soon
// where they would send a call to the wrong place, else now and then.
func (c *Coordinator) announce(now time.Time) {
	if now.Sub(c.countedAt) < c.cfg.Ownership.Announce.D() && !c.announcedAt.IsZero() {
		return
	}
	c.countedAt = now
	mine := c.core.Waiting()
	c.sumCounts(mine)
	m := &wire.QueueCounts{Partitions: c.core.Partitions(), BestEffort: c.core.BestEffortOlderThan(now, c.copies.Settings().AnnounceAfter())}
	if now.Sub(c.announcedAt) < maxAnnounceInterval && !routesDiffer(m, c.announced) {
		return
	}
	c.announcedAt = now
	c.announced = m
	for queue, jobs := range mine {
		m.Counts = append(m.Counts, wire.QueueCount{Queue: queue, Jobs: jobs})
	}
	c.tellCoordinators(m)
}

// routesDiffer returns whether a call could go to the wrong place by what the
// others were told before.
func routesDiffer(m, before *wire.QueueCounts) bool {
	if !slices.Equal(m.Partitions, before.Partitions) {
		return true
	}
	for _, id := range m.BestEffort {
		if _, known := slices.BinarySearch(before.BestEffort, id); !known {
			return true
		}
	}
	return false
}

// sumCounts adds up the waiting jobs of all coordinators, by queue.
func (c *Coordinator) sumCounts(mine map[string]uint32) {
	all := maps.Clone(mine)
	for _, counts := range c.counts {
		for queue, jobs := range counts {
			all[queue] += jobs
		}
	}
	c.waiting.Store(&all)
}

// handleAnnouncement takes what another coordinator has. It replaces all that it
// said before.
func (c *Coordinator) handleAnnouncement(now time.Time, from dedup.Peer, m *wire.QueueCounts) {
	counts := make(map[string]uint32, len(m.Counts))
	for _, q := range m.Counts {
		counts[q.Queue] = q.Jobs
	}
	c.counts[from.Address] = counts
	c.tellHeldTwice(from.Address, m.BestEffort)
	c.copies.Update(now, from, m.BestEffort)
	c.forgetRoutes(from.Address)
	for _, p := range m.Partitions {
		if r, ok := c.remote[p.Partition]; !ok || p.Epoch >= r.epoch {
			c.remote[p.Partition] = route{from.Address, p.Epoch}
		}
	}
}

// tellHeldTwice writes a line for each best-effort job that the other has just said to have,
// and we have too: its tasks may run twice.
func (c *Coordinator) tellHeldTwice(from string, ids []durable.JobID) {
	for _, id := range ids {
		if c.copies.HeldBy(from, id) || !c.core.HasBestEffort(id) {
			continue
		}
		c.metrics.Decision(jobHeldTwice)
		c.log.Warn(jobHeldTwice, zap.String("job", string(id)), zap.String("peer", from))
	}
}

// giveUpUnannounced gives up the best-effort jobs of which the others are told too late: their callers
// may have sent them again, to one that has not heard of them.
func (c *Coordinator) giveUpUnannounced(now time.Time) {
	old := c.core.BestEffortOlderThan(now, c.copies.Settings().AnnounceDeadline())
	for _, id := range dedup.Unannounced(old, c.announced.BestEffort) {
		c.core.GiveUpUntold(now, id)
	}
}

// peerLost forgets what a coordinator said that cannot be reached, but for the jobs that it may
// still run.
func (c *Coordinator) peerLost(now time.Time, from string) {
	delete(c.counts, from)
	c.copies.LinkLost(now, from)
	c.forgetRoutes(from)
	c.failForwarded(from)
}

// forgetRoutes forgets which partitions the coordinator had.
func (c *Coordinator) forgetRoutes(from string) {
	for p, r := range c.remote {
		if r.address == from {
			delete(c.remote, p)
		}
	}
}
