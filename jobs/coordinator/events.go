package coordinator

import (
	"time"

	"go.uber.org/zap"

	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/jobs/routing"
	"github.com/lichenfall/lichenfall/jobs/scheduler"
	"github.com/lichenfall/lichenfall/jobs/store"
	"github.com/lichenfall/lichenfall/wire"
)

// event is what another goroutine tells the control goroutine, which applies it.
type event interface {
	apply(c *Coordinator, now time.Time)
}

func (c *Coordinator) handle(now time.Time, e event) { e.apply(c, now) }

// joined is the answer to a join of the group of owners.
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
	if c.joinsFailed > 0 {
		c.log.Info("join_succeeds", zap.Int("failed_before", c.joinsFailed))
		c.joinsFailed = 0
	}
	if c.leaving {
		return
	}
	before := c.owned.Generation()
	change := c.owned.Joined(e.sent, now, e.assignment)
	if before != e.assignment.Generation {
		c.log.Info("generation_heard", zap.Uint64("generation", e.assignment.Generation), zap.Uint32s("partitions", e.assignment.Partitions))
	}
	for _, p := range change.Released {
		c.release(now, p, "assigned_to_another")
	}
	for _, p := range change.Acquired {
		c.load(p, change.Epoch)
	}
	c.checkLease(now)
	c.core.Confirmed(now, e.sent)
	if len(change.Released)+len(change.Acquired) > 0 {
		c.joinSoon()
	}
}

// joinFailed logs the first failure of a row.
func (c *Coordinator) joinFailed(now time.Time, e joined) {
	if c.joinsFailed++; c.joinsFailed == 1 {
		c.log.Warn("join_failed", zap.Error(e.err), zap.Duration("took", now.Sub(e.sent)))
	}
}

// partitionRead is what the store has of a partition, read under the epoch.
type partitionRead struct {
	partition uint32
	epoch     uint64
	stored    map[durable.JobID]*durable.Stored
}

func (e partitionRead) apply(c *Coordinator, now time.Time) {
	stop := c.loading[e.partition]
	if stop == nil || c.leaving {
		return
	}
	stop()
	delete(c.loading, e.partition)
	c.writers[e.partition] = c.newWriter(e.partition, e.epoch)
	c.core.Acquire(now, e.partition, e.epoch, e.stored)
	c.core.Suspend(now, e.partition, !c.owned.Valid(now))
	c.log.Info("partition_owned", zap.Uint32("partition", e.partition), zap.Uint64("epoch", e.epoch), zap.Int("jobs", len(e.stored)))
	c.announcedAt = time.Time{}
}

// partitionLost says that a newer owner of a partition has been seen.
type partitionLost struct{ partition uint32 }

func (e partitionLost) apply(c *Coordinator, now time.Time) {
	c.owned.Lost(e.partition)
	c.release(now, e.partition, "fenced")
	c.joinSoon()
}

// committed says how a commit went.
type committed struct {
	partition uint32
	epoch     uint64
	result    scheduler.CommitResult
}

func (e committed) apply(c *Coordinator, now time.Time) {
	if c.writers[e.partition] == nil {
		return
	}
	c.core.Committed(now, e.partition, e.epoch, e.result)
	if e.result == scheduler.CommitFenced || e.result == scheduler.CommitLost {
		partitionLost{e.partition}.apply(c, now)
	}
}

// membersHeard holds processes that are registered.
type membersHeard struct{ members []store.Member }

func (e membersHeard) apply(c *Coordinator, now time.Time) { c.updateMembers(now, e.members) }

// evacuationsHeard holds the data centres in which nothing may be started, as the store has
// just told.
type evacuationsHeard struct{ evacuations routing.Evacuations }

func (e evacuationsHeard) apply(c *Coordinator, now time.Time) {
	if c.core.Evacuate(now, e.evacuations) {
		c.chooseWorkers(now)
	}
}

// called is a caller's request, ours or passed on by another coordinator.
type called struct{ call *call }

func (e called) apply(c *Coordinator, now time.Time) { c.handleCall(now, e.call) }

// callerLeft says that one of our own callers no longer waits.
type callerLeft struct{ call *call }

func (e callerLeft) apply(c *Coordinator, now time.Time) { c.forget(now, e.call) }

// drainBegun begins a planned stop.
type drainBegun struct{}

func (drainBegun) apply(c *Coordinator, now time.Time) {
	c.drainedAt = now
	c.joinSoon()
}

// leaveWanted asks whether the group of owners may be left now.
type leaveWanted struct{ answer chan<- bool }

func (e leaveWanted) apply(c *Coordinator, now time.Time) { e.answer <- c.mayLeave(now) }

// groupLeft says that our partitions are free for others, who are told so.
type groupLeft struct{}

func (groupLeft) apply(c *Coordinator, _ time.Time) {
	c.tellCoordinators(&wire.HandOver{})
}
