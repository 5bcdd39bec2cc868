package coordinator

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/lichenfall/lichenfall/jobs/scheduler"
	"github.com/lichenfall/lichenfall/jobs/store"
	"github.com/lichenfall/lichenfall/lib/logging"
	"github.com/lichenfall/lichenfall/lib/loop"
)

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
	a := &appender{store: c.store, limit: c.cfg.Ownership.AppendLimit.D(), appending: store.NewAppendTracker(), log: c.log}
	for {
		select {
		case <-ctx.Done():
			return
		case commit := <-w.work:
			began := time.Now()
			result := a.append(ctx, commit)
			c.metrics.Commit(result.String(), len(commit.Records), time.Since(began))
			c.loop.Post(committed{partition, epoch, result})
		}
	}
}

// appender appends the commits of one partition under one epoch, each until
// its fate is known.
type appender struct {
	store     store.Store
	limit     time.Duration // for one call
	appending *store.AppendTracker
	log       *logging.Log
}

// appendPause is the pause before an append without an answer is repeated. Some ten times what
// an append takes.
const appendPause = 40 * time.Millisecond

func (a *appender) append(ctx context.Context, c scheduler.Commit) scheduler.CommitResult {
	for ctx.Err() == nil {
		err := a.once(ctx, c)
		switch a.appending.HandleResult(err) {
		case store.AppendDone:
			return scheduler.CommitOK
		case store.AppendRefused:
			return scheduler.CommitRefused
		case store.AppendFenced:
			return scheduler.CommitFenced
		case store.AppendUncertain:
			return scheduler.CommitLost
		}
		a.log.Warn("append_repeated", zap.Uint32("partition", c.Partition), zap.Uint64("epoch", c.Epoch),
			zap.Uint64("number", a.appending.Number()), zap.Error(err))
		loop.Sleep(ctx, appendPause)
	}
	return scheduler.CommitLost
}

func (a *appender) once(ctx context.Context, c scheduler.Commit) error {
	call, cancel := context.WithTimeout(ctx, a.limit)
	defer cancel()
	return a.store.Append(call, c.Partition, c.Epoch, a.appending.Number(), c.Records)
}
