package scheduler

import (
	"time"

	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/lib/failure"
	"github.com/lichenfall/lichenfall/lib/ordered"
)

// partition is a partition that this coordinator owns.
type partition struct {
	number    uint32
	epoch     uint64
	jobs      map[durable.JobID]*job
	suspended bool                 // our lease on it may be over
	fencedAt  time.Time            // when a worker last said that it has seen a later owner
	asked     map[string]time.Time // workers that may hold tasks of it unknown to us, and until when

	submitted []*job // records to be written
	changed   []*job
	urgentBy  time.Time // when the next commit has to be cut; zero when there is nothing
	inflight  *batch
	notBefore time.Time
	sweepAt   time.Time
}

// wantBy asks for a commit by that time.
func (p *partition) wantBy(by time.Time) {
	if p.urgentBy.IsZero() || by.Before(p.urgentBy) {
		p.urgentBy = by
	}
}

// change notes that a job's progress is to be written.
func (p *partition) change(by time.Time, j *job) {
	if !j.dirty {
		j.dirty = true
		p.changed = append(p.changed, j)
	}
	p.wantBy(by)
}

// Acquire gives the core a partition with all that the store has of it.
func (c *Core) Acquire(now time.Time, number uint32, epoch uint64, stored map[durable.JobID]*durable.Stored) {
	p := &partition{
		number: number,
		epoch:  epoch,
		jobs:   make(map[durable.JobID]*job, len(stored)),
		asked:  make(map[string]time.Time),
	}
	c.partitions[number] = p
	open := 0
	for _, id := range ordered.Keys(stored) {
		s := stored[id]
		if j := c.restore(now, p, id, s); j != nil && !j.state.Final() {
			open++
		}
	}
	if len(stored) > 0 { // else no worker can have anything of it
		for _, w := range c.order {
			p.asked[w.name] = now.Add(c.cfg.WriteOff)
		}
	}
	for _, w := range c.order {
		c.heartbeat(now, w)
	}
	c.note(Note{What: PartitionAcquired, Measure: OpenJobs, Value: int64(open)})
}

// restore makes a job of what the store has of it.
func (c *Core) restore(now time.Time, p *partition, id durable.JobID, s *durable.Stored) *job {
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

// Release takes a partition from the core: another owner has it, or will.
func (c *Core) Release(now time.Time, number uint32, reason string) {
	p := c.partitions[number]
	if p == nil {
		return
	}
	delete(c.partitions, number)
	c.refuseQuestions(number)
	for _, j := range ordered.Values(p.jobs) {
		c.drop(now, j)
	}
	c.note(Note{What: PartitionReleased, Reason: reason, Measure: PartitionNumber, Value: int64(number)})
}

// drop forgets a job of a partition that is given up.
func (c *Core) drop(now time.Time, j *job) {
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

// Suspend stops or resumes all work on a partition, while our lease on it may
// be over.
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
	for _, w := range c.order {
		c.heartbeat(now, w)
	}
}

// fenced takes a worker's word that a later owner of the partition has been there.
func (c *Core) fenced(now time.Time, number uint32) {
	c.effects.Fenced = true
	if p := c.partitions[number]; p != nil {
		p.fencedAt = now
	}
}

// superseded returns whether a worker has seen a later owner of the partition, and the
// store has not denied that since: nothing of it is ordered, though our lease lasts.
func (c *Core) superseded(p *partition) bool {
	return !p.fencedAt.IsZero() && !c.confirmedAt.After(p.fencedAt)
}

// tickPartitions gives up waiting for workers that did not answer in time.
func (c *Core) tickPartitions(now time.Time) {
	for _, p := range ordered.Values(c.partitions) {
		for _, name := range ordered.Keys(p.asked) {
			until := p.asked[name]
			if now.After(until) {
				c.note(Note{What: WorkerWrittenOff, Worker: name, Measure: PartitionNumber, Value: int64(p.number)})
				delete(p.asked, name)
			}
		}
		if len(p.asked) == 0 {
			c.settle(now, p)
		}
	}
}

// settle frees the jobs of an earlier owner once all that may run of them is
// known.
func (c *Core) settle(now time.Time, p *partition) {
	for _, j := range ordered.Values(p.jobs) {
		if j.reconciling {
			j.reconciling = false
			c.readyTasks(now, j)
		}
	}
}
