package scheduler

import (
	"time"

	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/lib/failure"
	"github.com/lichenfall/lichenfall/lib/ordered"
)

// partition is a partition of the job store that this coordinator owns.
type partition struct {
	number    uint32
	epoch     uint64
	jobs      map[durable.JobID]*job
	suspended bool                // our lease on it may have expired
	fencedAt  time.Time           // when a worker last reported a later owner
	awaiting  map[string]*awaited // workers still to report their runs of it
	earlier   earlierTerms

	submitted []*job    // jobs whose submission is to be written
	changed   []*job    // jobs whose progress is to be written
	commitBy  time.Time // when the next commit is due; zero if nothing is to be written
	inflight  *batch    // of the commit in flight; nil if there is none
	notBefore time.Time // of the next commit
	sweepAt   time.Time // of the next sweep of final jobs
}

// awaited is a worker that has not reported its runs of a partition yet.
type awaited struct {
	since   time.Time // when we began to wait for it
	pending bool      // it has said that our heartbeats keep its runs alive
}

// writtenOff returns whether the worker's runs of the partition have certainly ended.
func (c *Core) writtenOff(now time.Time, p *partition, w *worker, a *awaited) bool {
	renewed := a.since
	if a.pending {
		renewed = w.heartbeatAt
	}
	return now.Sub(p.lastRenewed(renewed)) > c.cfg.WriteOff
}

// Takeover is a partition that this coordinator takes over.
type Takeover struct {
	Partition uint32
	Epoch     uint64
	Jobs      map[durable.JobID]*durable.Stored // all that the store holds of it
	// Earlier lists the epochs of the terms of earlier owners that the store still names.
	Earlier []uint64
	// EarlierEndBy is when all terms of earlier owners have certainly ended, also those of owners that
	// can't be notified.
	EarlierEndBy time.Time
}

// requestCommit makes the next commit due by that time at the latest.
func (p *partition) requestCommit(by time.Time) {
	if p.commitBy.IsZero() || by.Before(p.commitBy) {
		p.commitBy = by
	}
}

// markChanged schedules the job's progress for a commit by that time.
func (p *partition) markChanged(by time.Time, j *job) {
	if !j.dirty {
		j.dirty = true
		p.changed = append(p.changed, j)
	}
	p.requestCommit(by)
}

// Acquire adds a partition that this coordinator now owns. Its open jobs go on once every worker has
// reported what it runs of the partition, or the leases of its runs have certainly expired.
func (c *Core) Acquire(now time.Time, t *Takeover) {
	p := &partition{
		number:   t.Partition,
		epoch:    t.Epoch,
		jobs:     make(map[durable.JobID]*job, len(t.Jobs)),
		awaiting: make(map[string]*awaited),
		earlier:  newEarlierTerms(t),
	}
	c.partitions[t.Partition] = p
	open := 0
	for _, id := range ordered.Keys(t.Jobs) {
		s := t.Jobs[id]
		if j := c.restoreJob(now, p, id, s); j != nil && !j.state.Final() {
			open++
		}
	}
	if len(t.Jobs) > 0 { // otherwise no worker can have runs of it
		for _, w := range c.allWorkers {
			p.awaiting[w.name] = &awaited{since: now}
		}
	}
	for _, w := range c.allWorkers {
		c.heartbeat(now, w)
	}
	c.note(Note{What: PartitionAcquired, Measure: OpenJobs, Value: int64(open)})
}

// restoreJob adds a stored job to the partition. It returns nil if the store has neither its
// submission nor a final state.
func (c *Core) restoreJob(now time.Time, p *partition, id durable.JobID, s *durable.Stored) *job {
	if s.Progress != nil && durable.State(s.Progress.State).Final() {
		j := &job{id: id, state: durable.State(s.Progress.State), accepted: true, final: now}
		j.stored = j.state
		p.jobs[id] = j
		return j
	}
	if s.Submission == nil {
		return nil
	}
	j := c.newJob(s.Submission, now)
	j.accepted = true
	j.reconciling = true
	j.restore(s.Progress)
	p.jobs[id] = j
	c.active++
	return j
}

// Release removes a partition that another coordinator owns or will own. Calls about its jobs fail.
func (c *Core) Release(now time.Time, number uint32, reason string) {
	p := c.partitions[number]
	if p == nil {
		return
	}
	delete(c.partitions, number)
	c.failLookups(number)
	for _, j := range ordered.Values(p.jobs) {
		c.dropJob(now, j)
	}
	c.note(Note{What: PartitionReleased, Reason: reason, Measure: PartitionNumber, Value: int64(number)})
}

// dropJob removes a job of a released partition. Its runs are not stopped: the next owner takes
// them over.
func (c *Core) dropJob(now time.Time, j *job) {
	for _, call := range append(j.calls, j.cancels...) {
		if _, ok := c.callers[call]; ok {
			c.fail(call, j.id, failure.CommitUnknown)
		}
	}
	c.answerWatchers(j)
	if j.state.Final() {
		return
	}
	c.active--
	for i := range j.tasks {
		c.unqueue(&j.tasks[i])
		c.unassign(now, &j.tasks[i])
	}
}

// Suspend stops all work on a partition while this coordinator's lease on it may have expired,
// or resumes it.
func (c *Core) Suspend(now time.Time, number uint32, suspended bool) {
	p := c.partitions[number]
	if p == nil || p.suspended == suspended {
		return
	}
	p.suspended = suspended
	reason := "lease_renewed"
	if suspended {
		reason = "lease_over"
	}
	c.note(Note{What: PartitionSuspended, Reason: reason, Measure: PartitionNumber, Value: int64(number)})
	if suspended {
		return
	}
	for _, w := range c.allWorkers {
		c.heartbeat(now, w)
	}
}

// partitionFenced records that a worker has reported a later owner of the partition.
func (c *Core) partitionFenced(now time.Time, number uint32) {
	c.effects.Fenced = true
	if p := c.partitions[number]; p != nil {
		p.fencedAt = now
	}
}

// superseded returns whether a worker has reported a later owner of the partition, and the store
// has not confirmed our ownership since. No runs of it are ordered then, even while our lease is
// valid.
func (c *Core) superseded(p *partition) bool {
	return !p.fencedAt.IsZero() && !c.confirmedAt.After(p.fencedAt)
}

// tickPartitions stops waiting for the reports of workers that are overdue: what they ran has
// certainly ended. It ends the reconciliation of partitions without outstanding reports.
func (c *Core) tickPartitions(now time.Time) {
	for _, p := range ordered.Values(c.partitions) {
		c.expireEarlierTerms(now, p)
		for _, name := range ordered.Keys(p.awaiting) {
			if c.writtenOff(now, p, c.workers[name], p.awaiting[name]) {
				c.note(Note{What: WorkerWrittenOff, Worker: name, Measure: PartitionNumber, Value: int64(p.number)})
				delete(p.awaiting, name)
			}
		}
		if len(p.awaiting) == 0 {
			c.endReconciliation(now, p)
		}
	}
}

// endReconciliation queues the tasks of an earlier owner's jobs, once it is known which of them
// run at workers.
func (c *Core) endReconciliation(now time.Time, p *partition) {
	for _, j := range ordered.Values(p.jobs) {
		if j.reconciling {
			j.reconciling = false
			c.readyTasks(now, j)
		}
	}
}
