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

// appender appends the commits of one partition under one epoch, each until
// its fate is known.
type appender struct {
	store     store.Store
	limit     time.Duration // for one call
	appending *store.Appending
	log       *logging.Log
}

const appendAgain = 40 * time.Millisecond

func (a *appender) append(ctx context.Context, c scheduler.Commit) scheduler.CommitResult {
	for ctx.Err() == nil {
		err := a.once(ctx, c)
		switch a.appending.Answered(err) {
		case store.Done:
			return scheduler.CommitOK
		case store.Refused:
			return scheduler.CommitRefused
		case store.Fenced:
			return scheduler.CommitFenced
		case store.Lost:
			return scheduler.CommitLost
		}
		a.log.Warn("append_repeated", zap.Uint32("partition", c.Partition), zap.Uint64("epoch", c.Epoch),
			zap.Uint64("number", a.appending.Number()), zap.Error(err))
		loop.Sleep(ctx, appendAgain)
	}
	return scheduler.CommitLost
}

func (a *appender) once(ctx context.Context, c scheduler.Commit) error {
	call, cancel := context.WithTimeout(ctx, a.limit)
	defer cancel()
	return a.store.Append(call, c.Partition, c.Epoch, a.appending.Number(), c.Records)
}
