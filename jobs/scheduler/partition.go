package scheduler

import (
	"time"

	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/lib/failure"
	"github.com/lichenfall/lichenfall/lib/ordered"
	"github.com/lichenfall/lichenfall/wire"
)

// partition is a partition that this coordinator owns.
type partition struct {
	number    uint32
	epoch     uint64
	jobs      map[durable.JobID]*job
	suspended bool                 // our lease on it may be over
	asked     map[string]time.Time // workers that may hold tasks of it unknown to us, and until when

	submitted []*job // records to be written
	changed   []*job
	urgentBy  time.Time // when the next commit has to be cut; zero when there is nothing
	inflight  *batch
	notBefore time.Time
	sweepAt   time.Time
}

// batch is what is on its way to the store.
type batch struct {
	submitted []*job
	changed   []changedJob
	forgotten []durable.JobID
}

// changedJob is a job whose progress is on its way.
type changedJob struct {
	job     *job
	state   durable.State
	acks    []ack
	cancels []Call
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
			p.asked[w.name] = now.Add(c.cfg.Doubt)
		}
	}
	for _, w := range c.order {
		c.heartbeat(now, w)
	}
	c.note(Note{What: "partition_acquired", Reason: "open_jobs", Number: int64(open)})
}

// restore makes a job of what the store has of it.
func (c *Core) restore(now time.Time, p *partition, id durable.JobID, s *durable.Stored) *job {
	if s.Progress != nil && durable.State(s.Progress.State).Final() {
		j := &job{id: id, state: durable.State(s.Progress.State), kept: true, final: now}
		j.durable = j.state
		p.jobs[id] = j
		return j
	}
	if s.Submission == nil {
		return nil
	}
	j := newJob(s.Submission, now)
	j.kept = true
	j.doubt = true
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
	for _, j := range ordered.Values(p.jobs) {
		c.drop(now, j)
	}
	c.note(Note{What: "partition_released", Reason: reason, Number: int64(number)})
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
	c.note(Note{What: "partition_suspended", Reason: map[bool]string{true: "lease_over", false: "lease_renewed"}[suspended], Number: int64(number)})
	if suspended {
		return
	}
	for _, w := range c.order {
		c.heartbeat(now, w)
	}
}

// cutCommits makes commits of what waits.
func (c *Core) cutCommits(now time.Time) {
	for _, p := range ordered.Values(c.partitions) {
		if p.inflight != nil || p.suspended || p.urgentBy.IsZero() || now.Before(p.urgentBy) || now.Before(p.notBefore) {
			continue
		}
		c.cutCommit(now, p)
	}
}

func (c *Core) cutCommit(now time.Time, p *partition) {
	b := &batch{}
	commit := Commit{Partition: p.number, Epoch: p.epoch}
	size := 0
	add := func(r durable.Record, err error) {
		if err != nil {
			c.note(Note{What: "record_invalid", Reason: err.Error()})
			return
		}
		commit.Records = append(commit.Records, r)
		size += len(r.Key) + len(r.Value)
	}
	for len(p.submitted) > 0 && size < c.cfg.MaxBatch {
		j := p.submitted[0]
		p.submitted = p.submitted[1:]
		add(durable.SubmissionRecord(j.sub))
		b.submitted = append(b.submitted, j)
	}
	for len(p.changed) > 0 && size < c.cfg.MaxBatch {
		j := p.changed[0]
		p.changed = p.changed[1:]
		j.dirty = false
		if p.jobs[j.id] != j {
			continue
		}
		add(durable.ProgressRecord(j.id, j.progress()))
		if j.state.Final() {
			add(durable.ForgetSubmission(j.id), nil)
		}
		b.changed = append(b.changed, changedJob{j, j.state, j.acks, j.cancels})
		j.acks, j.cancels = nil, nil
	}
	p.urgentBy = time.Time{}
	if len(p.submitted) > 0 || len(p.changed) > 0 {
		p.urgentBy = now
	}
	if len(commit.Records) == 0 {
		return
	}
	c.forgetFinal(now, p, b, &commit)
	p.inflight = b
	p.notBefore = now.Add(c.cfg.CommitGap)
	c.effects.Commits = append(c.effects.Commits, commit)
}

// forgetFinal adds the removal of final states that have been kept long
// enough; it rides on commits that are made anyway.
func (c *Core) forgetFinal(now time.Time, p *partition, b *batch, commit *Commit) {
	const sweepEvery = 5 * time.Second
	const mostAtOnce = 500
	if now.Before(p.sweepAt) {
		return
	}
	p.sweepAt = now.Add(sweepEvery)
	for _, id := range ordered.Keys(p.jobs) {
		j := p.jobs[id]
		if len(b.forgotten) >= mostAtOnce {
			return
		}
		if j.durable.Final() && !j.dirty && now.Sub(j.final) > c.cfg.KeepFinal {
			commit.Records = append(commit.Records, durable.ForgetProgress(id))
			b.forgotten = append(b.forgotten, id)
		}
	}
}

// Committed tells the core how the commit of a partition went.
func (c *Core) Committed(now time.Time, number uint32, epoch uint64, result CommitResult) {
	p := c.partitions[number]
	if p == nil || p.epoch != epoch || p.inflight == nil {
		return
	}
	b := p.inflight
	p.inflight = nil
	switch result {
	case CommitOK:
		c.committed(now, p, b)
	case CommitRefused:
		c.refused(now, p, b)
	default:
		c.effects.Fenced = true
		c.Release(now, number, "fenced")
	}
}

func (c *Core) committed(now time.Time, p *partition, b *batch) {
	for _, j := range b.submitted {
		j.kept = true
		for _, call := range j.calls {
			if _, waits := c.callers[call]; waits {
				c.reply(Reply{Call: call, ID: j.id, State: durable.Queued})
			}
		}
		j.calls = nil
		c.note(Note{What: "job_kept", Job: j.id, Number: now.Sub(j.received).Milliseconds(), Usual: true})
		if !j.state.Final() {
			c.release(now, j)
		}
	}
	for i := range b.changed {
		c.progressKept(now, &b.changed[i])
	}
	for _, id := range b.forgotten {
		delete(p.jobs, id)
	}
}

func (c *Core) progressKept(now time.Time, ch *changedJob) {
	ch.job.durable = ch.state
	if ch.state.Final() {
		ch.job.final = now
		c.answerWatchers(ch.job)
		ch.job.sub = nil
		ch.job.tasks = nil
	}
	for _, call := range ch.cancels {
		c.reply(Reply{Call: call, ID: ch.job.id, State: ch.state})
	}
	c.sendKept(ch.acks)
}

// sendKept tells workers which ends they may forget.
func (c *Core) sendKept(acks []ack) {
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

// refused puts back what the store would not take. Jobs that were not
// accepted yet are refused for good.
func (c *Core) refused(now time.Time, p *partition, b *batch) {
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
		p.change(now, j)
	}
	p.notBefore = now.Add(c.cfg.CommitRetry)
}

// tickPartitions gives up waiting for workers that did not answer in time.
func (c *Core) tickPartitions(now time.Time) {
	for _, p := range ordered.Values(c.partitions) {
		for _, name := range ordered.Keys(p.asked) {
			until := p.asked[name]
			if now.After(until) {
				c.note(Note{What: "worker_written_off", Worker: name, Number: int64(p.number)})
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
		if j.doubt {
			j.doubt = false
			c.release(now, j)
		}
	}
}
