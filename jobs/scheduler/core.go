// Package scheduler is the core of a coordinator: the jobs of the partitions
// that it owns, what is written of them to the store, and which worker runs
// which task when. It does no I/O and reads no clock.
//
// A job is acknowledged when its record is in the store, a task's end is
// acknowledged to its worker when the job's progress is, and a final state is
// shown when it is. What a task does in between is known by the worker beside
// it; a new owner asks all workers before it starts anything of an old job.
package scheduler

import (
	"math/rand/v2"
	"time"

	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/lib/failure"
	"github.com/lichenfall/lichenfall/lib/ordered"
	"github.com/lichenfall/lichenfall/wire"
)

// Settings of a Core.
type Settings struct {
	Partitions uint32
	DataCentre string
	Heartbeat  time.Duration // between heartbeats to a worker
	Suspect    time.Duration // silence after which a worker's connection is given up
	Doubt      time.Duration // after the last heartbeat: what a silent worker ran is dead
	// BestEffortDoubt is the Doubt of runs of best-effort jobs.
	BestEffortDoubt time.Duration
	CommitGap       time.Duration // least time between two commits of a partition
	LazyCommit      time.Duration // how long an end may wait that no caller waits for
	CallLimit       time.Duration // after which a caller is told that the commit is unknown
	RetryAfter      time.Duration // what refused callers are told
	CommitRetry     time.Duration // pause after the store refused a commit
	KeepFinal       time.Duration // how long final states are kept
	StateWait       time.Duration // how long the answer to a question waits for a job's end
	MaxBatch        int           // bytes of one commit
	MaxJobs         int           // jobs held at once, final ones apart
	StragglerX      float64       // a run is stopped after so many times its estimate
	StragglerMin    time.Duration // and this much more
}

// Call names a caller who waits for a reply.
type Call uint64

// Reply answers a Call.
type Reply struct {
	Call       Call
	ID         durable.JobID
	Failure    failure.Kind
	State      durable.State
	RetryAfter time.Duration
}

// Commit asks for records to be appended, all or none, under the epoch. There
// is one at a time for each partition.
type Commit struct {
	Partition uint32
	Epoch     uint64
	Records   []durable.Record
}

// CommitResult says how a Commit went.
type CommitResult uint8

// The results of a Commit.
const (
	CommitOK      CommitResult = iota
	CommitRefused              // certainly not done, and never will be
	CommitFenced               // not done: another owner has a higher epoch
	CommitLost                 // the partition was given up before the fate was known
)

// Send is a message to a worker, by its address.
type Send struct {
	Worker  string
	Message wire.Message
}

// Note is a decision worth a line in the log.
type Note struct {
	What   string
	Job    durable.JobID
	Task   string
	Run    uint32
	Worker string
	Reason string
	Number int64
	Bound  int64 // what Number was compared with; 0 if with nothing
	Usual  bool  // one of many in ordinary work
}

// Effects is what has to be done.
type Effects struct {
	Replies []Reply
	Commits []Commit
	Sends   []Send
	Close   []string // workers whose connection is to be made anew
	Notes   []Note
	Fenced  bool // a newer owner exists: look at once what is ours
}

// Core is the core of one coordinator.
type Core struct {
	cfg        Settings
	random     *rand.Rand
	partitions map[uint32]*partition
	bestEffort map[durable.JobID]*job // jobs that are not kept
	workers    map[string]*worker
	order      []*worker              // all that are known, by name
	chosen     []*worker              // those that new tasks may go to, by name
	ready      map[string]*readyQueue // by service
	callers    map[Call]waitingCall
	watched    map[*job]struct{}  // jobs with watchers
	active     int                // jobs that are not final
	sharers    map[string]float64 // coordinators that share each worker of a service, with this one
	served     time.Time          // when there was last a worker that took tasks

	effects Effects
}

// waitingCall is a caller whose reply waits for the store.
type waitingCall struct {
	id    durable.JobID
	since time.Time
}

// New returns a core without partitions or workers.
func New(cfg Settings, seed uint64) *Core {
	return &Core{
		cfg:        cfg,
		random:     rand.New(rand.NewPCG(seed, 1)),
		partitions: make(map[uint32]*partition),
		bestEffort: make(map[durable.JobID]*job),
		workers:    make(map[string]*worker),
		ready:      make(map[string]*readyQueue),
		callers:    make(map[Call]waitingCall),
		watched:    make(map[*job]struct{}),
		sharers:    make(map[string]float64),
	}
}

// Take places what can be placed and returns what has to be done since the
// last call.
func (c *Core) Take(now time.Time) Effects {
	c.dispatch(now)
	c.cutCommits(now)
	e := c.effects
	c.effects = Effects{}
	return e
}

// Tick does what is due by time.
func (c *Core) Tick(now time.Time) {
	if c.served.IsZero() || c.serving(now) > 0 {
		c.served = now
	}
	c.tickWorkers(now)
	c.tickPartitions(now)
	c.tickCallers(now)
	c.giveUp(now)
	c.tickWatchers(now)
}

// tickCallers answers those who have waited too long for the store.
func (c *Core) tickCallers(now time.Time) {
	for _, call := range ordered.Keys(c.callers) {
		w := c.callers[call]
		if now.Sub(w.since) < c.cfg.CallLimit {
			continue
		}
		c.fail(call, w.id, failure.CommitUnknown)
	}
}

func (c *Core) note(n Note) { c.effects.Notes = append(c.effects.Notes, n) }

func (c *Core) reply(r Reply) {
	delete(c.callers, r.Call)
	c.effects.Replies = append(c.effects.Replies, r)
}

func (c *Core) fail(call Call, id durable.JobID, kind failure.Kind) {
	c.reply(Reply{Call: call, ID: id, Failure: kind, RetryAfter: c.cfg.RetryAfter})
	c.note(Note{What: "call_failed", Job: id, Reason: kind.String()})
}

func (c *Core) send(worker string, m wire.Message) {
	c.effects.Sends = append(c.effects.Sends, Send{worker, m})
}

// owned returns the partition that keeps the job, if it can take calls now.
func (c *Core) owned(id durable.JobID) *partition {
	p := c.partitions[id.Partition(c.cfg.Partitions)]
	if p == nil || p.suspended {
		return nil
	}
	return p
}

// find returns the job, whoever keeps it.
func (c *Core) find(id durable.JobID) *job {
	if j := c.bestEffort[id]; j != nil {
		return j
	}
	if p := c.partitions[id.Partition(c.cfg.Partitions)]; p != nil {
		return p.jobs[id]
	}
	return nil
}

// Owns returns whether calls about the job can be answered here.
func (c *Core) Owns(id durable.JobID) bool { return c.owned(id) != nil }

// Submit takes a job. The reply comes once the store has it; that to a
// best-effort job once it has ended. budget is how long the caller waits; 0 when
// that is not known.
func (c *Core) Submit(now time.Time, call Call, s *durable.Submission, budget time.Duration) {
	if s.BestEffort {
		c.submitBestEffort(now, call, s, budget)
		return
	}
	p := c.owned(s.ID)
	if p == nil {
		c.fail(call, s.ID, failure.NoOwner)
		return
	}
	if j := p.jobs[s.ID]; j != nil {
		c.submitAgain(now, call, j, s)
		return
	}
	if c.active >= c.cfg.MaxJobs {
		c.fail(call, s.ID, failure.Overloaded)
		return
	}
	s.Epoch = p.epoch
	j := newJob(s, now)
	j.calls = append(j.calls, call)
	c.callers[call] = waitingCall{s.ID, now}
	p.jobs[s.ID] = j
	p.submitted = append(p.submitted, j)
	p.wantBy(now)
	c.active++
}

// submitAgain answers a resent submission by what became of the first copy.
func (c *Core) submitAgain(now time.Time, call Call, j *job, s *durable.Submission) {
	switch {
	case j.sub != nil && !j.sub.SameContent(s):
		c.fail(call, s.ID, failure.SubmissionMismatch)
	case j.kept:
		c.reply(Reply{Call: call, ID: s.ID, State: j.shown()})
	default:
		j.calls = append(j.calls, call)
		c.callers[call] = waitingCall{s.ID, now}
	}
}

// State tells where a job stands. The reply to a caller of a job that is not
// final waits a little for its end, within the time that the caller gives.
func (c *Core) State(now time.Time, call Call, id durable.JobID, budget time.Duration) {
	p := c.owned(id)
	if p == nil {
		c.fail(call, id, failure.NoOwner)
		return
	}
	j := p.jobs[id]
	switch {
	case j == nil:
		c.fail(call, id, failure.JobNotFound)
	case j.durable.Final() || !j.begun() || budget <= 0:
		c.reply(Reply{Call: call, ID: id, State: j.shown()})
	default:
		j.watchers = append(j.watchers, watcher{call, now.Add(min(c.cfg.StateWait, budget/2))})
		c.watched[j] = struct{}{}
	}
}

// watcher is a caller who waits for the end of a job.
type watcher struct {
	call  Call
	until time.Time
}

// tickWatchers answers those who have waited for a job's end long enough.
func (c *Core) tickWatchers(now time.Time) {
	for _, j := range ordered.KeysFunc(c.watched, byID) {
		left := j.watchers[:0]
		for _, w := range j.watchers {
			if now.Before(w.until) {
				left = append(left, w)
				continue
			}
			c.reply(Reply{Call: w.call, ID: j.id, State: j.shown()})
		}
		j.watchers = left
		if len(left) == 0 {
			delete(c.watched, j)
		}
	}
}

// answerWatchers tells all who wait for the end of the job.
func (c *Core) answerWatchers(j *job) {
	for _, w := range j.watchers {
		c.reply(Reply{Call: w.call, ID: j.id, State: j.shown()})
	}
	j.watchers = nil
	delete(c.watched, j)
}

// Cancel cancels a job. The reply comes once the store has it.
func (c *Core) Cancel(now time.Time, call Call, id durable.JobID) {
	p := c.owned(id)
	if p == nil {
		c.fail(call, id, failure.NoOwner)
		return
	}
	j := p.jobs[id]
	switch {
	case j == nil:
		c.fail(call, id, failure.JobNotFound)
	case j.durable.Final():
		c.reply(Reply{Call: call, ID: id, State: j.durable})
	default:
		if !j.state.Final() {
			c.finish(now, j, durable.Cancelled, "cancelled")
		}
		j.cancels = append(j.cancels, call)
		c.callers[call] = waitingCall{id, now}
		p.change(now, j)
	}
}

// Waiting returns, by queue, the number of jobs none of whose tasks has begun.
func (c *Core) Waiting() map[string]uint32 {
	counts := make(map[string]uint32)
	for _, j := range c.bestEffort {
		if !j.begun() {
			counts[j.sub.Queue.Name]++
		}
	}
	for _, p := range c.partitions {
		for _, j := range p.jobs {
			if j.sub != nil && j.kept && !j.begun() && !j.state.Final() {
				counts[j.sub.Queue.Name]++
			}
		}
	}
	return counts
}

// Partitions returns the partitions that can take calls here.
func (c *Core) Partitions() []wire.PartitionEpoch {
	var out []wire.PartitionEpoch
	for _, n := range ordered.Keys(c.partitions) {
		p := c.partitions[n]
		if !p.suspended {
			out = append(out, wire.PartitionEpoch{Partition: n, Epoch: p.epoch})
		}
	}
	return out
}

// Idle returns whether nothing waits for the store.
func (c *Core) Idle() bool {
	for _, p := range c.partitions {
		if p.inflight != nil || len(p.submitted) > 0 || len(p.changed) > 0 {
			return false
		}
	}
	return true
}

// String returns the result as a word for logs and labels.
func (r CommitResult) String() string {
	return [...]string{"ok", "refused", "fenced", "lost"}[r]
}
