package coordinator

import (
	"context"
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/jobs/ownership"
	"github.com/lichenfall/lichenfall/jobs/scheduler"
)

// term is what a term of ours has in progress: the reading of the partition at first, then the
// appends to it.
type term struct {
	stop    context.CancelFunc    // ends both
	commits chan scheduler.Commit // to the goroutine that appends; nil while the partition is read
}

// beginTerm starts to read a newly assigned partition in the background.
func (c *Coordinator) beginTerm(now time.Time, id ownership.Term) {
	ctx, stop := context.WithCancel(c.ctx)
	c.terms[id] = &term{stop: stop}
	go c.read(ctx, now, id)
}

// endTerm ends a term, whether its partition has been read or not.
func (c *Coordinator) endTerm(now time.Time, id ownership.Term, reason string) {
	t := c.terms[id]
	if t == nil {
		return
	}
	delete(c.terms, id)
	t.stop()
	if t.commits != nil {
		c.core.Release(now, id.Partition, reason)
	}
}

// loseTerm ends a term since the store knows a newer owner of the partition.
func (c *Coordinator) loseTerm(now time.Time, id ownership.Term) {
	c.owned.Lost(id)
	c.endTerm(now, id, "fenced")
	c.requestJoin()
}

// termEvent is the result of what a goroutine of a term has done. It is no event by itself: it
// reaches the control goroutine only through postResult, and is applied only while the term lasts.
type termEvent interface {
	applyTo(c *Coordinator, now time.Time, id ownership.Term, t *term)
}

// termResult is the event that carries a termEvent.
type termResult struct {
	id     ownership.Term
	result termEvent
}

func (c *Coordinator) postResult(id ownership.Term, result termEvent) {
	c.loop.Post(termResult{id, result})
}

// apply drops the result if the term has ended: another owner may have changed the partition since,
// and a later term of ours has readings and appends of its own.
func (e termResult) apply(c *Coordinator, now time.Time) {
	t := c.terms[e.id]
	if t == nil {
		c.metrics.Decision(termOver)
		c.log.Info(termOver, zap.Uint32("partition", e.id.Partition), zap.Uint64("epoch", e.id.Epoch),
			zap.Uint64("generation", c.owned.Generation()), zap.String("result", fmt.Sprintf("%T", e.result)))
		return
	}
	e.result.applyTo(c, now, e.id, t)
}

// termOver is the log message and metric label of a result that was dropped since its term had ended.
const termOver = "term_over"

// partitionRead holds the jobs of a partition as they were read from the store.
type partitionRead struct {
	stored map[durable.JobID]*durable.Stored
}

func (e partitionRead) applyTo(c *Coordinator, now time.Time, id ownership.Term, t *term) {
	t.stop()
	c.startAppending(id, t)
	c.core.Acquire(now, id.Partition, id.Epoch, e.stored)
	c.core.Suspend(now, id.Partition, !c.owned.Valid(now))
	c.log.Info("partition_owned", zap.Uint32("partition", id.Partition), zap.Uint64("epoch", id.Epoch), zap.Int("jobs", len(e.stored)))
	c.announcedAt = time.Time{}
}

// partitionLost reports that the store has refused the term's fence.
type partitionLost struct{}

func (partitionLost) applyTo(c *Coordinator, now time.Time, id ownership.Term, _ *term) {
	c.loseTerm(now, id)
}

// committed is the result of a commit.
type committed struct{ result scheduler.CommitResult }

func (e committed) applyTo(c *Coordinator, now time.Time, id ownership.Term, _ *term) {
	c.core.Committed(now, id.Partition, id.Epoch, e.result)
	if e.result == scheduler.CommitFenced || e.result == scheduler.CommitLost {
		c.loseTerm(now, id)
	}
}

// append passes a commit of the core to the goroutine that appends. The core may have decided on it
// just before its term ended; then nothing is appended, as the callers have been told.
func (c *Coordinator) append(commit scheduler.Commit) {
	id := ownership.Term{Partition: commit.Partition, Epoch: commit.Epoch}
	t := c.terms[id]
	if t == nil {
		c.metrics.Decision(termOver)
		c.log.Info(termOver, zap.Uint32("partition", id.Partition), zap.Uint64("epoch", id.Epoch),
			zap.Uint64("generation", c.owned.Generation()), zap.Int("records_dropped", len(commit.Records)))
		return
	}
	t.commits <- commit
}
