package scheduler

import (
	"slices"
	"time"

	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/lib/ordered"
)

// stallTime is how long tasks of a need may wait without one being ordered, until workers beyond the
// chosen ones are tried. It is a third of the time for which the users let a job stand still.
const stallTime = time.Second

// UnmetNeed is what waiting tasks need of a worker, and what no worker of the present choice gives.
type UnmetNeed struct {
	Service   string
	Label     string // of the backend server; empty if any server will do
	Resources durable.Resources
	since     time.Time // when a task was first found no worker for
}

// recordStall records that no worker was found for the tasks of a group.
func (c *Core) recordStall(now time.Time, g *taskGroup) {
	if !g.stalledAt.IsZero() {
		return
	}
	g.stalledAt = now
	if !c.canBeMet(now, g) {
		c.unmetAt = now
	}
}

// canBeMet returns whether a worker that takes tasks can run the group's tasks once it has free capacity,
// or may yet report that it can.
func (c *Core) canBeMet(now time.Time, g *taskGroup) bool {
	t := g.first()
	service, serving := t.job.sub.Queue.Service, false
	for _, w := range c.eligible {
		if w.identity.Service != service || !c.takesTasks(now, w) {
			continue
		}
		serving = true
		if g.need.resources.Fits(w.identity.Capacity) && allowedOn(t, w) {
			return true
		}
	}
	return !serving || c.anyUnreported(now)
}

// UnmetNeeds returns the needs of waiting tasks that no worker of the present choice can meet, or that have
// not been met for stallTime; the longest unmet first.
func (c *Core) UnmetNeeds(now time.Time) []UnmetNeed {
	var out []UnmetNeed
	for _, service := range ordered.Keys(c.ready) {
		q := c.ready[service]
		for _, g := range slices.Concat(q.onTime.groups, q.overdue.groups) {
			if g.stalledAt.IsZero() || now.Sub(g.stalledAt) < stallTime && c.canBeMet(now, g) {
				continue
			}
			out = addUnmet(out, UnmetNeed{service, g.need.requires, g.need.resources, g.stalledAt})
		}
	}
	slices.SortStableFunc(out, func(a, b UnmetNeed) int { return a.since.Compare(b.since) })
	return out
}

// addUnmet adds the need, unless tasks of other jobs have the same.
func addUnmet(needs []UnmetNeed, n UnmetNeed) []UnmetNeed {
	for i := range needs {
		o := &needs[i]
		if o.Service == n.Service && o.Label == n.Label && o.Resources == n.Resources {
			if n.since.Before(o.since) {
				o.since = n.since
			}
			return needs
		}
	}
	return append(needs, n)
}

// UnmetSince returns whether a need that no connected worker can meet was found after the time.
func (c *Core) UnmetSince(since time.Time) bool { return c.unmetAt.After(since) }

// OrderedAt returns when a run was last ordered at the worker; zero if none was.
func (c *Core) OrderedAt(name string) time.Time {
	if w := c.workers[name]; w != nil {
		return w.orderedAt
	}
	return time.Time{}
}
