package coordinator

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/jobs/ownership"
	"github.com/lichenfall/lichenfall/jobs/store"
	"github.com/lichenfall/lichenfall/lib/loop"
)

// readPause is the pause before a failed reading of a partition is repeated.
const readPause = 50 * time.Millisecond

// read fences the earlier owners of a partition, which was assigned to us at the time given, and posts
// what they left. It returns whether it has; otherwise the term is over.
//
// It also reads which workers are registered, after that time: each has to be asked for its runs of
// the partition. An earlier owner orders at a worker only once the store has confirmed its ownership
// after it connected to the worker, which it had read of before. So no worker that registers later can
// have such a run.
func (c *Coordinator) read(ctx context.Context, assigned time.Time, id ownership.Term) bool {
	select {
	case <-c.membersRead:
	case <-ctx.Done():
	}
	for ctx.Err() == nil {
		var records []durable.Record
		err := c.memberSync.since(ctx, assigned)
		if err == nil {
			records, err = c.readOnce(ctx, id)
		}
		if err == nil {
			c.postResult(id, c.collect(id.Partition, assigned, records))
			return true
		}
		if ctx.Err() != nil {
			return false
		}
		c.log.Warn("partition_unread", zap.Uint32("partition", id.Partition), zap.Uint64("epoch", id.Epoch), zap.Error(err))
		if err == store.ErrFenced {
			c.postResult(id, partitionLost{})
			return false
		}
		loop.Sleep(ctx, readPause)
	}
	return false
}

// readOnce fences and reads the partition once.
func (c *Coordinator) readOnce(ctx context.Context, id ownership.Term) ([]durable.Record, error) {
	call, cancel := context.WithTimeout(ctx, c.cfg.Ownership.ReadLimit.D())
	defer cancel()
	term := durable.TermRecord(durable.Term{Epoch: id.Epoch, Address: c.peers.Advertised()})
	if err := c.store.Fence(call, id.Partition, id.Epoch, term); err != nil {
		return nil, err
	}
	return c.store.NewestRecords(call, id.Partition)
}

// collect groups the records of a partition, which was assigned to us at the time given. Malformed
// records are left out and logged.
func (c *Coordinator) collect(partition uint32, assigned time.Time, records []durable.Record) partitionRead {
	terms, others := durable.SplitTerms(records)
	stored, malformed := durable.Collect(others)
	for _, key := range malformed {
		c.log.Warn("record_malformed", zap.Uint32("partition", partition), zap.String("key", key))
	}
	return partitionRead{assigned: assigned, jobs: stored, terms: terms}
}
