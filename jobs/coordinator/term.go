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

// term is what a term of ours has in progress: a goroutine that reads the partition and then appends
// commits to it.
type term struct {
	stop    context.CancelFunc    // ends the goroutine
	commits chan scheduler.Commit // to it
}

// beginTerm starts the goroutine of a newly assigned partition.
func (c *Coordinator) beginTerm(now time.Time, id ownership.Term) {
	ctx, stop := context.WithCancel(c.ctx)
	t := &term{stop: stop, commits: make(chan scheduler.Commit, 1)}
	c.terms[id] = t
	go func() {
		if c.read(ctx, now, id) {
			c.write(ctx, id, t.commits)
		}
	}()
}

// endTerm ends a term, whether its partition has been read or not.
func (c *Coordinator) endTerm(now time.Time, id ownership.Term, reason string) {
	t := c.terms[id]
	if t == nil {
		return
	}
	delete(c.terms, id)
	delete(c.earlierTerms, id.Partition)
	t.stop()
	c.core.Release(now, id.Partition, reason)
}

// loseTerm ends a term since the store knows a newer owner of the partition.
func (c *Coordinator) loseTerm(now time.Time, id ownership.Term) {
	c.owned.Lost(id)
	c.endTerm(now, id, "fenced")
	c.requestJoin()
}

// termEvent is the result of what the goroutine of a term has done. It is no event by itself: it
// reaches the control goroutine only through postResult, and is applied only while the term lasts.
type termEvent interface {
	applyTo(c *Coordinator, now time.Time, id ownership.Term)
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
	if c.lasting(e.id, fmt.Sprintf("%T", e.result)) != nil {
		e.result.applyTo(c, now, e.id)
	}
}

// termOver is the log message and metric label of what was dropped since its term had ended.
const termOver = "term_over"

// lasting returns the term, or nil if it has ended; what is therefore dropped is logged.
func (c *Coordinator) lasting(id ownership.Term, what string) *term {
	t := c.terms[id]
	if t == nil {
		c.metrics.Decision(termOver)
		c.log.Info(termOver, zap.Uint32("partition", id.Partition), zap.Uint64("epoch", id.Epoch),
			zap.Uint64("generation", c.owned.Generation()), zap.String("dropped", what))
	}
	return t
}

// partitionRead holds what was read of a partition from the store.
type partitionRead struct {
	assigned time.Time // when the partition was assigned to us
	jobs     map[durable.JobID]*durable.Stored
	terms    []durable.Term // that may last, with our own
}

func (e partitionRead) applyTo(c *Coordinator, now time.Time, id ownership.Term) {
	t := scheduler.Takeover{Partition: id.Partition, Epoch: id.Epoch, Jobs: e.jobs}
	// An earlier owner's last join that the store granted was before it assigned the partition to us.
	t.EarlierEndBy = e.assigned.Add(c.owned.TTL)
	earlier := earlierThan(id, e.terms)
	for _, term := range earlier {
		t.Earlier = append(t.Earlier, term.Epoch)
	}
	c.core.Acquire(now, &t)
	c.core.Suspend(now, id.Partition, !c.leaseValid)
	c.endEarlierTerms(now, id, earlier, t.EarlierEndBy)
	c.log.Info("partition_owned", zap.Uint32("partition", id.Partition), zap.Uint64("epoch", id.Epoch), zap.Int("jobs", len(e.jobs)), zap.Int("earlier_terms", len(t.Earlier)))
	c.announcedAt = time.Time{}
}

// partitionLost reports that the store has refused the term's fence.
type partitionLost struct{}

func (partitionLost) applyTo(c *Coordinator, now time.Time, id ownership.Term) {
	c.loseTerm(now, id)
}

// committed is the result of a commit.
type committed struct{ result scheduler.CommitResult }

func (e committed) applyTo(c *Coordinator, now time.Time, id ownership.Term) {
	c.core.Committed(now, id.Partition, id.Epoch, e.result)
	if e.result == scheduler.CommitFenced || e.result == scheduler.CommitLost {
		c.loseTerm(now, id)
	}
}

// append passes a commit of the core to the goroutine of its term. If that has ended since the core
// decided on the commit, nothing is appended: the core has told the callers that their outcome is not
// known.
func (c *Coordinator) append(commit scheduler.Commit) {
	if t := c.lasting(ownership.Term{Partition: commit.Partition, Epoch: commit.Epoch}, "commit"); t != nil {
		t.commits <- commit
	}
}
