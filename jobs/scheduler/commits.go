package scheduler

import (
	"time"

	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/lib/failure"
	"github.com/lichenfall/lichenfall/lib/ordered"
	"github.com/lichenfall/lichenfall/wire"
)

// batch holds the jobs whose records are in the commit that is in flight.
type batch struct {
	submitted []*job
	changed   []changedJob
	forgotten []durable.JobID
	terms     []uint64 // epochs of earlier terms whose records it removes
}

// changedJob is a job whose progress is in a commit, with the acknowledgements and the replies
// to cancellations that are due once the commit succeeds.
type changedJob struct {
	job     *job
	state   durable.State
	acks    []ack
	cancels []Call
}

// startCommits starts a commit for each partition whose pending records are due.
func (c *Core) startCommits(now time.Time) {
	for _, p := range ordered.Values(c.partitions) {
		if p.inflight != nil || p.suspended || p.commitBy.IsZero() || now.Before(p.commitBy) || now.Before(p.notBefore) {
			continue
		}
		c.startCommit(now, p)
	}
}

// draft is a commit under construction.
type draft struct {
	commit Commit
	batch  *batch
	size   int // bytes of keys and values
}

// addRecord adds a record to the draft; one that could not be encoded is logged and left out.
func (c *Core) addRecord(d *draft, r durable.Record, err error) {
	if err != nil {
		c.note(Note{What: RecordInvalid, Reason: err.Error()})
		return
	}
	d.commit.Records = append(d.commit.Records, r)
	d.size += len(r.Key) + len(r.Value)
}

// startCommit sends a commit with the pending records of the partition. It adds no more once
// the commit has reached MaxBatch bytes; the rest is due for the next commit at once.
func (c *Core) startCommit(now time.Time, p *partition) {
	d := &draft{commit: Commit{Partition: p.number, Epoch: p.epoch}, batch: &batch{}}
	c.addTermTombstones(p, d)
	c.addSubmissions(p, d)
	c.addProgress(p, d)
	p.commitBy = time.Time{}
	if len(p.submitted) > 0 || len(p.changed) > 0 {
		p.commitBy = now
	}
	if len(d.commit.Records) == 0 {
		return
	}
	c.forgetFinal(now, p, d)
	p.inflight = d.batch
	p.notBefore = now.Add(c.cfg.CommitGap)
	c.effects.Commits = append(c.effects.Commits, d.commit)
}

// addSubmissions adds the records of new jobs.
func (c *Core) addSubmissions(p *partition, d *draft) {
	for len(p.submitted) > 0 && d.size < c.cfg.MaxBatch {
		j := p.submitted[0]
		p.submitted = p.submitted[1:]
		r, err := durable.SubmissionRecord(j.sub)
		c.addRecord(d, r, err)
		d.batch.submitted = append(d.batch.submitted, j)
	}
}

// addProgress adds the progress of changed jobs, and for final ones the removal of the
// submission.
func (c *Core) addProgress(p *partition, d *draft) {
	for len(p.changed) > 0 && d.size < c.cfg.MaxBatch {
		j := p.changed[0]
		p.changed = p.changed[1:]
		j.dirty = false
		if p.jobs[j.id] != j {
			continue
		}
		r, err := durable.ProgressRecord(j.id, j.progress())
		c.addRecord(d, r, err)
		if j.state.Final() {
			c.addRecord(d, durable.SubmissionTombstone(j.id), nil)
		}
		d.batch.changed = append(d.batch.changed, changedJob{j, j.state, j.acks, j.cancels})
		j.acks, j.cancels = nil, nil
	}
}

// Limits on the removal of final states.
const (
	sweepInterval = 5 * time.Second // between two sweeps over the jobs of a partition
	maxForgotten  = 500             // records removed in one sweep
)

// forgetFinal adds the removal of final states that are older than Settings.KeepFinal. It adds
// only to commits with other records and starts none of its own.
func (c *Core) forgetFinal(now time.Time, p *partition, d *draft) {
	if now.Before(p.sweepAt) {
		return
	}
	p.sweepAt = now.Add(sweepInterval)
	for _, id := range ordered.Keys(p.jobs) {
		j := p.jobs[id]
		if len(d.batch.forgotten) >= maxForgotten {
			return
		}
		if j.stored.Final() && !j.dirty && now.Sub(j.final) > c.cfg.KeepFinal {
			d.commit.Records = append(d.commit.Records, durable.ProgressTombstone(id))
			d.batch.forgotten = append(d.batch.forgotten, id)
		}
	}
}

// Committed handles the result of the commit that is in flight for the partition. Unless that is
// CommitOK or CommitRefused the partition is released. A result for another epoch is ignored.
func (c *Core) Committed(now time.Time, number uint32, epoch uint64, result CommitResult) {
	p := c.partitions[number]
	if p == nil || p.epoch != epoch || p.inflight == nil {
		return
	}
	b := p.inflight
	p.inflight = nil
	switch result {
	case CommitOK:
		c.commitSucceeded(now, p, b)
	case CommitRefused:
		c.commitRefused(now, p, b)
	default:
		c.effects.Fenced = true
		c.Release(now, number, "fenced")
	}
}

// commitSucceeded accepts the submitted jobs of a stored batch, answers their callers and queues
// their tasks, and records the progress that is now stored.
func (c *Core) commitSucceeded(now time.Time, p *partition, b *batch) {
	for _, j := range b.submitted {
		j.accepted = true
		for _, call := range j.calls {
			if _, waits := c.callers[call]; waits {
				c.reply(Reply{Call: call, ID: j.id, State: durable.Queued})
			}
		}
		j.calls = nil
		c.note(Note{What: JobKept, Job: j.id, Measure: JobAgeMS, Value: j.age(now), Frequent: true})
		if !j.state.Final() {
			c.readyTasks(now, j)
		}
	}
	for i := range b.changed {
		c.progressStored(now, &b.changed[i])
	}
	for _, id := range b.forgotten {
		delete(p.jobs, id)
	}
}

// progressStored publishes a state that is now in the store: it answers watchers and
// cancellations, and acknowledges ends to their workers.
func (c *Core) progressStored(now time.Time, ch *changedJob) {
	ch.job.stored = ch.state
	if ch.state.Final() {
		ch.job.final = now
		c.answerWatchers(ch.job)
		ch.job.sub = nil
		ch.job.tasks = nil
	}
	for _, call := range ch.cancels {
		c.reply(Reply{Call: call, ID: ch.job.id, State: ch.state})
	}
	c.sendAcks(ch.acks)
}

// sendAcks acknowledges ends to the workers that reported them; these may then forget the ends.
// Workers that are not connected are skipped.
func (c *Core) sendAcks(acks []ack) {
	byWorker := make(map[string][]wire.RunRef)
	for _, a := range acks {
		byWorker[a.worker] = append(byWorker[a.worker], a.ref)
	}
	for _, name := range ordered.Keys(byWorker) {
		refs := byWorker[name]
		if w := c.workers[name]; w != nil && w.up {
			c.send(name, &wire.EndsKept{Runs: refs})
		}
	}
}

// commitRefused handles a batch that the store refused: it drops the submitted jobs and fails
// their calls, and puts the changed jobs back for a commit after Settings.CommitRetry.
func (c *Core) commitRefused(now time.Time, p *partition, b *batch) {
	for _, j := range b.submitted {
		delete(p.jobs, j.id)
		for _, call := range append(j.calls, j.cancels...) {
			c.fail(call, j.id, failure.StoreUnavailable)
		}
		if !j.state.Final() {
			c.active--
		}
	}
	for i := range b.changed {
		ch := &b.changed[i]
		j := ch.job
		if p.jobs[j.id] != j {
			continue
		}
		j.acks = append(ch.acks, j.acks...)
		j.cancels = append(ch.cancels, j.cancels...)
		p.markChanged(now, j)
	}
	if len(b.terms) > 0 {
		p.earlier.removed = append(b.terms, p.earlier.removed...)
		p.requestCommit(now)
	}
	p.notBefore = now.Add(c.cfg.CommitRetry)
}
