package coordinator

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/lichenfall/lichenfall/lib/loop"
	"github.com/lichenfall/lichenfall/wire"
)

// joinLoop joins the group of owners again and again, which renews the lease on our partitions. It
// ends when a planned stop has left the group.
func (c *Coordinator) joinLoop() {
	generation := uint64(0)
	for c.ctx.Err() == nil {
		if c.stopping.Load() && c.leaveGroup() {
			return
		}
		sent := c.clock.Now()
		ctx, cancel := context.WithTimeout(c.ctx, c.cfg.Ownership.CallLimit.D())
		a, err := c.store.Join(ctx, c.member, generation, c.cfg.Ownership.TTL.D())
		cancel()
		if err == nil {
			generation = a.Generation
		}
		c.loop.Post(joined{sent, a, err})
		c.waitForNextJoin()
	}
}

// waitForNextJoin waits until the next join is due or requested.
func (c *Coordinator) waitForNextJoin() {
	t := time.NewTimer(c.cfg.Ownership.Join.D())
	defer t.Stop()
	select {
	case <-c.ctx.Done():
	case <-t.C:
	case <-c.joinNow:
	}
}

// requestJoin makes the next join happen without a pause.
func (c *Coordinator) requestJoin() {
	select {
	case c.joinNow <- struct{}{}:
	default:
	}
}

// checkLease suspends the work on our partitions while the lease on them may have expired.
func (c *Coordinator) checkLease(now time.Time) {
	valid := c.owned.Valid(now)
	if valid == c.leaseValid {
		return
	}
	c.leaseValid = valid
	for id := range c.terms {
		c.core.Suspend(now, id.Partition, !valid)
	}
}

// leaveGroup leaves the group of owners, after the control goroutine has released all partitions.
// It returns false if the control goroutine still waits for appends to the store, and true if the
// loop has ended instead.
func (c *Coordinator) leaveGroup() bool {
	released, running := loop.Call(c.loop, func(answer chan<- bool) event { return leaveRequested{answer} })
	if !running {
		return true
	}
	if !released {
		return false
	}
	ctx, cancel := context.WithTimeout(c.ctx, c.cfg.Ownership.CallLimit.D())
	defer cancel()
	if err := c.store.Leave(ctx, c.member); err != nil {
		c.log.Warn("leave_failed", zap.Error(err))
	}
	c.log.Info("left_group")
	c.loop.Post(groupLeft{})
	return true
}

// tryRelease releases all partitions once no append to the store is outstanding, or the time limit
// for that has passed. It returns whether it has done so.
func (c *Coordinator) tryRelease(now time.Time) bool {
	if !c.core.AllStored() && now.Sub(c.drainStartedAt) < c.cfg.Ownership.Flush.D() {
		return false
	}
	c.leaving = true
	ended := &wire.TermsEnded{}
	for id := range c.terms {
		c.endTerm(now, id, "stopping")
		ended.Terms = append(ended.Terms, wire.PartitionEpoch{Partition: id.Partition, Epoch: id.Epoch})
	}
	c.owned.Clear()
	if len(ended.Terms) > 0 {
		c.broadcast(ended)
	}
	return true
}
