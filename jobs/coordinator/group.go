package coordinator

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/lichenfall/lichenfall/lib/loop"
)

// keepJoining stays in the group of owners, until it is left at a planned stop.
func (c *Coordinator) keepJoining() {
	generation := uint64(0)
	for c.halt.Err() == nil {
		if c.stopping.Load() && c.leaveGroup() {
			return
		}
		sent := c.clock.Now()
		ctx, cancel := context.WithTimeout(c.halt, c.cfg.Ownership.CallLimit.D())
		a, err := c.store.Join(ctx, c.member, generation, c.cfg.Ownership.TTL.D())
		cancel()
		if err == nil {
			generation = a.Generation
		}
		c.loop.Post(joined{sent, a, err})
		c.pauseJoin()
	}
}

// pauseJoin waits until the next join is due or wanted at once.
func (c *Coordinator) pauseJoin() {
	t := time.NewTimer(c.cfg.Ownership.Join.D())
	defer t.Stop()
	select {
	case <-c.halt.Done():
	case <-t.C:
	case <-c.joinNow:
	}
}

// joinSoon ends the present pause between joins.
func (c *Coordinator) joinSoon() {
	select {
	case c.joinNow <- struct{}{}:
	default:
	}
}

// checkLease stops all work while our lease may be over.
func (c *Coordinator) checkLease(now time.Time) {
	valid := c.owned.Valid(now)
	for p := range c.writers {
		c.core.Suspend(now, p, !valid)
	}
}

// release lets a partition go, whether it is read, ours or neither.
func (c *Coordinator) release(now time.Time, partition uint32, reason string) {
	if stop := c.loading[partition]; stop != nil {
		stop()
		delete(c.loading, partition)
	}
	c.core.Release(now, partition, reason)
	if w := c.writers[partition]; w != nil {
		w.stop()
		delete(c.writers, partition)
	}
}

// leaveGroup gives all partitions up once the control goroutine has let go of
// them. It returns false while that still has something to store.
func (c *Coordinator) leaveGroup() bool {
	may, running := loop.Ask(c.loop, func(answer chan<- bool) event { return leaveWanted{answer} })
	if !running {
		return true
	}
	if !may {
		return false
	}
	ctx, cancel := context.WithTimeout(c.halt, c.cfg.Ownership.CallLimit.D())
	defer cancel()
	if err := c.store.Leave(ctx, c.member); err != nil {
		c.log.Warn("leave_failed", zap.Error(err))
	}
	c.log.Info("left_group")
	c.loop.Post(groupLeft{})
	return true
}

// mayLeave lets all partitions go when nothing waits for the store, or the time
// for that is over.
func (c *Coordinator) mayLeave(now time.Time) bool {
	if !c.core.AllStored() && now.Sub(c.drainedAt) < c.cfg.Ownership.Flush.D() {
		return false
	}
	c.leaving = true
	for p := range c.writers {
		c.release(now, p, "stopping")
	}
	for p := range c.loading {
		c.release(now, p, "stopping")
	}
	c.owned.Clear()
	return true
}
