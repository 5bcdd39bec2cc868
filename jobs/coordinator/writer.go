package coordinator

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/lichenfall/lichenfall/jobs/ownership"
	"github.com/lichenfall/lichenfall/jobs/scheduler"
	"github.com/lichenfall/lichenfall/jobs/store"
	"github.com/lichenfall/lichenfall/lib/logging"
	"github.com/lichenfall/lichenfall/lib/loop"
)

// write appends the commits of a term, one at a time, and posts their results until ctx ends.
func (c *Coordinator) write(ctx context.Context, id ownership.Term, commits <-chan scheduler.Commit) {
	a := &appender{store: c.store, limit: c.cfg.Ownership.AppendLimit.D(), appending: store.NewAppendTracker(store.FenceNumber + 1), log: c.log}
	for {
		select {
		case <-ctx.Done():
			return
		case commit := <-commits:
			began := time.Now()
			result := a.append(ctx, commit)
			c.metrics.Commit(result.String(), len(commit.Records), time.Since(began))
			c.postResult(id, committed{result})
		}
	}
}

// appender appends the commits of one partition under one epoch. It repeats each append until its
// outcome is known.
type appender struct {
	store     store.Store
	limit     time.Duration // timeout of one call
	appending *store.AppendTracker
	log       *logging.Log
}

// appendPause is the pause before an append whose outcome is not known is repeated. It is about ten
// times as long as an append takes.
const appendPause = 40 * time.Millisecond

// append returns the outcome of the commit; CommitLost also when ctx ends before it is known.
func (a *appender) append(ctx context.Context, c scheduler.Commit) scheduler.CommitResult {
	for ctx.Err() == nil {
		err := a.appendOnce(ctx, c)
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

// appendOnce calls the store once with the number of the current append.
func (a *appender) appendOnce(ctx context.Context, c scheduler.Commit) error {
	call, cancel := context.WithTimeout(ctx, a.limit)
	defer cancel()
	return a.store.Append(call, c.Partition, c.Epoch, a.appending.Number(), c.Records)
}
