package coordinator

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/jobs/store"
	"github.com/lichenfall/lichenfall/lib/loop"
)

// load starts to read a newly assigned partition in the background. It replaces a reading that is
// still in progress.
func (c *Coordinator) load(partition uint32, epoch uint64) {
	if stop := c.loading[partition]; stop != nil {
		stop()
	}
	ctx, cancel := context.WithCancel(c.ctx)
	c.loading[partition] = cancel
	go c.read(ctx, partition, epoch)
}

// readPause is the pause before a failed reading of a partition is repeated.
const readPause = 50 * time.Millisecond

// read fences the earlier owners of a partition and reads the jobs that they left. It first waits
// until the registered workers are known, since they have to be asked for runs of the partition.
func (c *Coordinator) read(ctx context.Context, partition uint32, epoch uint64) {
	select {
	case <-c.membersRead:
	case <-ctx.Done():
	}
	for ctx.Err() == nil {
		records, err := c.readOnce(ctx, partition, epoch)
		if err == nil {
			c.loop.Post(partitionRead{partition, epoch, c.collect(partition, records)})
			return
		}
		c.log.Warn("partition_unread", zap.Uint32("partition", partition), zap.Uint64("epoch", epoch), zap.Error(err))
		if err == store.ErrFenced {
			c.loop.Post(partitionLost{partition})
			return
		}
		loop.Sleep(ctx, readPause)
	}
}

// readOnce fences and reads the partition once.
func (c *Coordinator) readOnce(ctx context.Context, partition uint32, epoch uint64) ([]durable.Record, error) {
	call, cancel := context.WithTimeout(ctx, c.cfg.Ownership.ReadLimit.D())
	defer cancel()
	if err := c.store.Fence(call, partition, epoch); err != nil {
		return nil, err
	}
	return c.store.NewestRecords(call, partition)
}

// collect groups the records of a partition by job. Malformed records are left out and logged.
func (c *Coordinator) collect(partition uint32, records []durable.Record) map[durable.JobID]*durable.Stored {
	stored, malformed := durable.Collect(records)
	for _, key := range malformed {
		c.log.Warn("record_malformed", zap.Uint32("partition", partition), zap.String("key", key))
	}
	return stored
}
