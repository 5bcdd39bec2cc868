package coordinator

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/jobs/scheduler"
	"github.com/lichenfall/lichenfall/lib/failure"
	"github.com/lichenfall/lichenfall/wire"
)

// A best-effort job is at the coordinator that its caller has called, and no record says at which. So a
// cancel of a job that is not here and that the owner of its partition does not have is passed to all
// other coordinators. Only when all of them have said that they don't have it is there no such job:
// that answer acknowledges the cancel.

// search is the search for the best-effort job that a call cancels.
type search struct {
	otherwise scheduler.Reply // if no coordinator has the job
	open      int             // coordinators that have not answered
	uncertain bool            // one could not be asked, or did not answer
	answered  bool            // the caller has its answer
}

// hasBestEffort returns whether a best-effort job is here, or a call for it waits until jobs are accepted.
func (c *Coordinator) hasBestEffort(id durable.JobID) bool {
	return c.core.HasBestEffort(id) || c.isDeferred(id)
}

func (c *Coordinator) isDeferred(id durable.JobID) bool {
	return slices.ContainsFunc(c.deferred, func(d *call) bool { return d.id == id })
}

// cancelBestEffort cancels a best-effort job here, or answers that it is not here. Calls for it that were
// deferred are answered too: none of its tasks has run.
func (c *Coordinator) cancelBestEffort(now time.Time, cl *call) {
	if c.isDeferred(cl.id) {
		cancelled := scheduler.Reply{ID: cl.id, State: durable.Cancelled}
		for _, d := range c.takeDeferred(cl.id) {
			c.reply(d, cancelled)
		}
		c.reply(cl, cancelled)
		return
	}
	number := scheduler.Call(cl.number)
	c.calls[number] = cl
	c.core.CancelBestEffort(now, number, cl.id)
}

// takeDeferred removes the deferred calls for the job and returns them.
func (c *Coordinator) takeDeferred(id durable.JobID) []*call {
	var taken []*call
	c.deferred = slices.DeleteFunc(c.deferred, func(d *call) bool {
		if d.id == id {
			taken = append(taken, d)
		}
		return d.id == id
	})
	return taken
}

// cancelsUnknown returns whether the reply says that no durable job was cancelled, and no best-effort one
// was searched for.
func (cl *call) cancelsUnknown(r scheduler.Reply) bool {
	return cl.kind == wire.CallCancel && cl.conn == nil && cl.search == nil && r.Failure != failure.None
}

// searchBestEffort passes a cancel to all other coordinators. One that has been lost for so long that all
// runs which it had for its callers have ended is left out.
func (c *Coordinator) searchBestEffort(cl *call, otherwise scheduler.Reply) {
	now := c.clock.Now()
	cl.search = &search{otherwise: otherwise}
	for address, l := range c.links {
		if l.role != wire.RoleCoordinator || l.conn == nil && now.Sub(l.changed) >= c.dedup.Settings().RunsEndWithin {
			continue
		}
		c.lastCall++
		part := &call{kind: wire.CallCancelBestEffort, id: cl.id, number: c.lastCall, parent: cl}
		if c.forward(now, part, address) {
			cl.search.open++
		} else {
			cl.search.uncertain = true
		}
	}
	c.endSearch(cl)
}

// searched handles the answer of one coordinator.
func (c *Coordinator) searched(part *call, r scheduler.Reply) {
	cl := part.parent
	cl.search.open--
	switch {
	case r.Failure == failure.None && !cl.search.answered:
		cl.search.answered = true
		c.log.Info("best_effort_cancelled", zap.String("job", string(cl.id)), zap.String("peer", part.forwardedTo))
		cl.answer <- r
	case r.Failure != failure.None && r.Failure != failure.JobNotFound:
		cl.search.uncertain = true
	}
	c.endSearch(cl)
}

// endSearch answers the caller once all coordinators have answered and none has the job.
func (c *Coordinator) endSearch(cl *call) {
	if cl.search.open > 0 || cl.search.answered {
		return
	}
	cl.search.answered = true
	r := cl.search.otherwise
	if cl.search.uncertain && r.Failure == failure.JobNotFound {
		r = c.refusal(cl, failure.CommitUnknown)
	}
	cl.answer <- r
}
