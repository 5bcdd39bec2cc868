package coordinator

import (
	"time"

	"go.uber.org/zap"

	"github.com/lichenfall/lichenfall/jobs/routing"
	"github.com/lichenfall/lichenfall/jobs/store"
	"github.com/lichenfall/lichenfall/wire"
)

// event is posted by another goroutine, and applied to the coordinator's state by the control
// goroutine.
type event interface {
	apply(c *Coordinator, now time.Time)
}

// handle applies an event. The lease on our partitions may have ended since the last one: after a stall the
// events that have queued come before the next tick.
func (c *Coordinator) handle(now time.Time, e event) {
	c.checkLease(now)
	e.apply(c, now)
}

// joined is the result of a join of the group of owners.
type joined struct {
	sent       time.Time
	assignment store.Assignment
	err        error
}

func (e joined) apply(c *Coordinator, now time.Time) {
	if e.err != nil {
		c.joinFailed(now, e)
		return
	}
	if c.failedJoins > 0 {
		c.log.Info("join_succeeds", zap.Int("failed_before", c.failedJoins))
		c.failedJoins = 0
	}
	if c.leaving {
		return
	}
	before := c.owned.Generation()
	change := c.owned.Joined(e.sent, now, e.assignment)
	if change.Late {
		c.log.Warn("join_answered_late", zap.Uint64("generation", e.assignment.Generation), zap.Uint64("present", before))
		return
	}
	if before != e.assignment.Generation {
		c.log.Info("generation_heard", zap.Uint64("generation", e.assignment.Generation), zap.Uint32s("partitions", e.assignment.Partitions))
	}
	for _, t := range change.Released {
		c.endTerm(now, t, "assigned_to_another")
	}
	for _, t := range change.Acquired {
		c.beginTerm(now, t)
	}
	c.checkLease(now)
	c.core.Confirmed(now, e.sent)
	if len(change.Released)+len(change.Acquired) > 0 {
		c.requestJoin()
	}
}

// joinFailed logs the first of consecutive failures.
func (c *Coordinator) joinFailed(now time.Time, e joined) {
	if c.failedJoins++; c.failedJoins == 1 {
		c.log.Warn("join_failed", zap.Error(e.err), zap.Duration("took", now.Sub(e.sent)))
	}
}

// membersReceived holds processes that have registered or changed their records; the first such
// event holds all that are registered.
type membersReceived struct{ members []store.Member }

func (e membersReceived) apply(c *Coordinator, now time.Time) { c.updateMembers(now, e.members) }

// evacuationsReceived holds the data centres in which no task may start, as just read from the
// store.
type evacuationsReceived struct{ evacuations routing.Evacuations }

func (e evacuationsReceived) apply(c *Coordinator, now time.Time) {
	if c.core.Evacuate(now, e.evacuations) {
		c.chooseWorkers(now)
	}
}

// callReceived is a call of a caller of ours.
type callReceived struct{ call *call }

func (e callReceived) apply(c *Coordinator, now time.Time) { c.handleCall(now, e.call) }

// callerLeft reports that a caller of ours no longer waits.
type callerLeft struct{ call *call }

func (e callerLeft) apply(c *Coordinator, now time.Time) { c.dropCall(now, e.call) }

// drainStarted starts a planned stop.
type drainStarted struct{}

func (drainStarted) apply(c *Coordinator, now time.Time) {
	c.drainStartedAt = now
	c.requestJoin()
}

// leaveRequested asks the control goroutine to release all partitions, so that the group of owners
// can be left. The answer is false if it has to be asked again later.
type leaveRequested struct{ answer chan<- bool }

func (e leaveRequested) apply(c *Coordinator, now time.Time) { e.answer <- c.tryRelease(now) }

// groupLeft reports that we have left the group of owners. Other coordinators are notified, so that
// they join at once and take over our partitions.
type groupLeft struct{}

func (groupLeft) apply(c *Coordinator, _ time.Time) {
	c.broadcast(&wire.HandOver{})
}
