package coordinator

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/jobs/scheduler"
	"github.com/lichenfall/lichenfall/jobs/store"
	"github.com/lichenfall/lichenfall/lib/loop"
	"github.com/lichenfall/lichenfall/wire"
)

// keepJoining stays in the group of owners.
func (c *Coordinator) keepJoining() {
	generation := uint64(0)
	for c.halt.Err() == nil {
		if c.stopping.Load() && c.leftGroup() {
			return
		}
		sent := time.Now()
		ctx, cancel := context.WithTimeout(c.halt, c.cfg.Ownership.CallLimit.D())
		a, err := c.store.Join(ctx, c.member, generation, c.cfg.Ownership.TTL.D())
		cancel()
		if err == nil {
			generation = a.Generation
		}
		c.loop.Post(event{kind: evJoined, sent: sent, assignment: a, err: err})
		c.pauseJoin()
	}
}

func (c *Coordinator) pauseJoin() {
	t := time.NewTimer(c.cfg.Ownership.Join.D())
	defer t.Stop()
	select {
	case <-c.halt.Done():
	case <-t.C:
	case <-c.kick:
	}
}

func (c *Coordinator) kickJoin() {
	select {
	case c.kick <- struct{}{}:
	default:
	}
}

// leftGroup gives all partitions up once the control goroutine has let go.
func (c *Coordinator) leftGroup() bool {
	answer := make(chan bool, 1)
	c.loop.Post(event{kind: evMayLeave, flag: answer})
	select {
	case ok := <-answer:
		if !ok {
			return false
		}
	case <-c.loop.Done():
		return true
	}
	ctx, cancel := context.WithTimeout(c.halt, c.cfg.Ownership.CallLimit.D())
	defer cancel()
	if err := c.store.Leave(ctx, c.member); err != nil {
		c.log.Warn("leave_failed", zap.Error(err))
	}
	c.log.Info("left_group")
	c.loop.Post(event{kind: evLeft})
	return true
}

// joined takes the answer to a join.
func (c *Coordinator) joined(now time.Time, ev event) {
	if ev.err != nil {
		if c.joinsFailed++; c.joinsFailed == 1 {
			c.log.Warn("join_failed", zap.Error(ev.err), zap.Duration("took", now.Sub(ev.sent)))
		}
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
	change := c.owned.Joined(ev.sent, now, ev.assignment)
	if before != ev.assignment.Generation {
		c.log.Info("generation_heard", zap.Uint64("generation", ev.assignment.Generation), zap.Uint32s("partitions", ev.assignment.Partitions))
	}
	for _, p := range change.Released {
		c.letGo(now, p, "assigned_to_another")
	}
	for _, p := range change.Acquired {
		c.load(p, change.Epoch)
	}
	c.checkLease(now)
	if len(change.Released)+len(change.Acquired) > 0 {
		c.kickJoin()
	}
}

// checkLease stops all work while our lease may be over.
func (c *Coordinator) checkLease(now time.Time) {
	valid := c.owned.Valid(now)
	for p := range c.writers {
		c.core.Suspend(now, p, !valid)
	}
}

func (c *Coordinator) letGo(now time.Time, partition uint32, reason string) {
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

// load reads a partition in the background.
func (c *Coordinator) load(partition uint32, epoch uint64) {
	if stop := c.loading[partition]; stop != nil {
		stop()
	}
	ctx, cancel := context.WithCancel(c.halt)
	c.loading[partition] = cancel
	go c.read(ctx, partition, epoch)
}

// read fences earlier owners and reads what they left, once it is known which
// workers there are: they have to be asked what they run of it.
func (c *Coordinator) read(ctx context.Context, partition uint32, epoch uint64) {
	const again = 50 * time.Millisecond
	select {
	case <-c.membersRead:
	case <-ctx.Done():
	}
	for ctx.Err() == nil {
		records, err := c.readOnce(ctx, partition, epoch)
		if err == nil {
			stored, malformed := durable.Collect(records)
			for _, key := range malformed {
				c.log.Warn("record_malformed", zap.Uint32("partition", partition), zap.String("key", key))
			}
			c.loop.Post(event{kind: evLoaded, partition: partition, epoch: epoch, stored: stored})
			return
		}
		c.log.Warn("partition_unread", zap.Uint32("partition", partition), zap.Uint64("epoch", epoch), zap.Error(err))
		if err == store.ErrFenced {
			c.loop.Post(event{kind: evLost, partition: partition, epoch: epoch})
			return
		}
		loop.Sleep(ctx, again)
	}
}

func (c *Coordinator) readOnce(ctx context.Context, partition uint32, epoch uint64) ([]durable.Record, error) {
	call, cancel := context.WithTimeout(ctx, c.cfg.Ownership.ReadLimit.D())
	defer cancel()
	if err := c.store.Fence(call, partition, epoch); err != nil {
		return nil, err
	}
	return c.store.Newest(call, partition)
}

// loaded gives the core a partition that has been read.
func (c *Coordinator) loaded(now time.Time, ev event) {
	stop := c.loading[ev.partition]
	if stop == nil || c.leaving {
		return
	}
	stop()
	delete(c.loading, ev.partition)
	c.writers[ev.partition] = c.newWriter(ev.partition, ev.epoch)
	c.core.Acquire(now, ev.partition, ev.epoch, ev.stored)
	c.core.Suspend(now, ev.partition, !c.owned.Valid(now))
	c.log.Info("partition_owned", zap.Uint32("partition", ev.partition), zap.Uint64("epoch", ev.epoch), zap.Int("jobs", len(ev.stored)))
	c.toldAt = time.Time{}
}

// lost lets a partition go that a newer owner has.
func (c *Coordinator) lost(now time.Time, ev event) {
	c.owned.Lost(ev.partition)
	c.letGo(now, ev.partition, "fenced")
	c.kickJoin()
}

// mayLeave lets all partitions go when nothing waits for the store.
func (c *Coordinator) mayLeave(now time.Time) bool {
	if !c.core.Idle() && now.Sub(c.joinAt) < c.cfg.Ownership.Flush.D() {
		return false
	}
	c.leaving = true
	for p := range c.writers {
		c.letGo(now, p, "stopping")
	}
	for p := range c.loading {
		c.letGo(now, p, "stopping")
	}
	c.owned.Clear()
	return true
}

// left tells the others that there are partitions to take.
func (c *Coordinator) left() {
	for _, l := range c.links {
		if l.conn != nil && l.role == wire.RoleCoordinator {
			_ = l.conn.Send(&wire.HandOver{})
		}
	}
}

// writer appends the commits of one partition, one at a time.
type writer struct {
	work chan scheduler.Commit
	stop context.CancelFunc
}

func (c *Coordinator) newWriter(partition uint32, epoch uint64) *writer {
	ctx, cancel := context.WithCancel(c.halt)
	w := &writer{work: make(chan scheduler.Commit, 1), stop: cancel}
	go c.write(ctx, w, partition, epoch)
	return w
}

func (c *Coordinator) write(ctx context.Context, w *writer, partition uint32, epoch uint64) {
	a := &appender{store: c.store, limit: c.cfg.Ownership.AppendLimit.D(), appending: store.NewAppending(), log: c.log}
	for {
		select {
		case <-ctx.Done():
			return
		case commit := <-w.work:
			began := time.Now()
			result := a.append(ctx, commit)
			c.metrics.Commit(result.String(), len(commit.Records), time.Since(began))
			c.loop.Post(event{kind: evCommitted, partition: partition, epoch: epoch, result: result})
		}
	}
}
