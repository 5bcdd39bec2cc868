package coordinator

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/lichenfall/lichenfall/logging"
	"github.com/lichenfall/lichenfall/scheduler"
	"github.com/lichenfall/lichenfall/store"
)

// appender appends the commits of one partition under one epoch, each until
// its fate is known: an append without an answer may be carried out later, and
// is repeated under its number, which makes all copies one.
type appender struct {
	store  store.Store
	limit  time.Duration // for one call
	number uint64        // of the next append
	log    *logging.Log
}

const appendAgain = 40 * time.Millisecond

func (a *appender) append(ctx context.Context, c scheduler.Commit) scheduler.CommitResult {
	unknown := false
	for ctx.Err() == nil {
		err := a.once(ctx, c)
		var sequence *store.SequenceError
		switch {
		case err == nil:
			a.number++
			return scheduler.CommitOK
		case errors.As(err, &sequence):
			if unknown && sequence.Wanted > a.number {
				// It was carried out, longer ago than the store remembers.
				a.number = sequence.Wanted
				return scheduler.CommitOK
			}
			a.number = sequence.Wanted
			continue
		case errors.Is(err, store.ErrFenced) && unknown:
			return scheduler.CommitLost
		case errors.Is(err, store.ErrFenced):
			return scheduler.CommitFenced
		case errors.Is(err, store.ErrRefused) && !unknown:
			return scheduler.CommitRefused
		case !errors.Is(err, store.ErrRefused):
			unknown = true
		}
		a.log.Warn("append_repeated", zap.Uint32("partition", c.Partition), zap.Uint64("epoch", c.Epoch), zap.Uint64("number", a.number), zap.Error(err))
		sleep(ctx, appendAgain)
	}
	return scheduler.CommitLost
}

func (a *appender) once(ctx context.Context, c scheduler.Commit) error {
	call, cancel := context.WithTimeout(ctx, a.limit)
	defer cancel()
	return a.store.Append(call, c.Partition, c.Epoch, a.number, c.Records)
}
