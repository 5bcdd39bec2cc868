// Package queue is the core of an agent: the bounded queue and the slots of
// one backend server, and the state of each task from queued to its end. It
// does no I/O; the present time is an argument. Only this state machine says
// that a task which reached the agent did not run.
package queue

import (
	"time"

	"github.com/lichenfall/lichenfall/lib/failure"
	"github.com/lichenfall/lichenfall/wire"
)

// Link numbers a connection to an entry, unique in the agent's lifetime.
type Link uint64

// Key identifies a task by where its result goes.
type Key struct {
	Link  Link
	Job   uint64
	Index uint32
}

// State is where a task stands.
type State uint8

// The states of a task. Finished and Refused are final; a refused task never
// ran, whether it was refused on arrival, cancelled or expired in the queue.
const (
	Queued State = iota
	Started
	Finished
	Refused
)

// Task is a task that the agent holds.
type Task struct {
	Key
	Submission    string
	Attempt       uint32
	Workspace     string
	Payload       []byte
	Deadline      time.Time
	NotRepeatable bool
	StartedAt     time.Time

	turn time.Time // its place in the queue

	state State
}

// State returns where the task stands.
func (t *Task) State() State { return t.state }

func (t *Task) id() taskID { return taskID{t.Submission, t.Index} }

// Limits bounds what the agent holds.
type Limits struct {
	Slots         int           // tasks running at once
	Queue         int           // tasks waiting
	MaxRemembered int           // past tasks remembered, so that none starts twice
	Window        time.Duration // how long a past task is remembered
	// ClockBound is the greatest difference to an entry's clock.
	ClockBound time.Duration
	// Hold is how long an answer may wait for those of the same job's other
	// tasks here, without which the job cannot be answered anyway.
	Hold time.Duration
	// FIFO serves tasks as they came, in place of workspaces in turn and small jobs
	// first.
	FIFO bool
}

// Report is a result for one link.
type Report struct {
	Link   Link
	Result wire.Result
}

// Effects is what the caller has to do after events: start tasks on the
// backend server and send results.
type Effects struct {
	Start   []*Task
	Reports []Report
}

// Outcome is what became of a started task.
type Outcome struct {
	Kind   failure.Kind
	Ran    failure.Ran
	Reason string
	Body   []byte
}

// The promises that are asserted while the program runs.
const (
	promiseNotRun = "not_run_after_start"
	promiseOnce   = "started_twice"
	promiseEnd    = "ended_without_start"
)

// Promises returns every promise that Asserter.Violated can be given.
func Promises() []string { return []string{promiseNotRun, promiseOnce, promiseEnd} }

// Asserter is told when a promise of the program is found broken. Tests panic;
// daemons count and log. The queue then does what is safe.
type Asserter interface {
	Violated(promise string)
}

// Queue holds the tasks of one agent. It is not safe for use by several
// goroutines.
type Queue struct {
	limits  Limits
	assert  Asserter
	waiting fair
	tasks   map[Key]*Task
	links   map[Link]*linkState
	jobs    map[jobKey]*jobState
	holding []jobKey // jobs with answers that wait, in the order of their coming
	running int
	leaving bool
	seen    *memory
	out     Effects
}

// linkState is what is kept for each connection.
type linkState struct {
	held    uint32 // its tasks, queued or running
	lastSeq uint64 // of its last Place
}

// New returns an empty queue.
func New(l Limits, a Asserter) *Queue {
	return &Queue{
		limits:  l,
		assert:  a,
		waiting: fair{inOrder: l.FIFO},
		tasks:   make(map[Key]*Task),
		links:   make(map[Link]*linkState),
		jobs:    make(map[jobKey]*jobState),
		seen:    newMemory(l.MaxRemembered, l.Window),
	}
}

// Place takes the tasks of p, each of which is queued or refused. It returns
// false when p was taken before: a task that was refused as not run may not
// start by a copy of its message.
func (q *Queue) Place(now time.Time, from Link, p *wire.Place) bool {
	l := q.link(from)
	if p.Seq <= l.lastSeq {
		return false
	}
	l.lastSeq = p.Seq
	deadline := q.deadline(now, p)
	for i := range p.Tasks {
		t := &Task{
			Key:           Key{Link: from, Job: p.Job, Index: p.Tasks[i].Index},
			Submission:    p.Submission,
			Attempt:       p.Tasks[i].Attempt,
			Workspace:     p.Workspace,
			Payload:       p.Tasks[i].Payload,
			Deadline:      deadline,
			NotRepeatable: p.NotRepeatable,
		}
		q.admit(now, t, p.MaxQueue, len(p.Tasks))
	}
	return true
}

// deadline is the time at which the message was received plus the time left,
// unless it was long on the way or we were paused: then the sender's clock
// tells, within the bound.
func (q *Queue) deadline(now time.Time, p *wire.Place) time.Time {
	relative := now.Add(time.Duration(p.BudgetMicros) * time.Microsecond)
	absolute := time.UnixMicro(p.DeadlineUnix).Add(q.limits.ClockBound)
	if absolute.Before(relative) {
		return absolute
	}
	return relative
}

func (q *Queue) link(l Link) *linkState {
	s := q.links[l]
	if s == nil {
		s = &linkState{}
		q.links[l] = s
	}
	return s
}

// admit looks first for another copy of the task: a task that may have started
// must not be called "not run" for any other reason.
func (q *Queue) admit(now time.Time, t *Task, maxQueue uint32, size int) {
	switch {
	case q.tasks[t.Key] != nil:
		q.reply(t, Outcome{Kind: failure.Duplicate, Ran: failure.RanUnknown, Reason: "placed twice on one link"}, 0)
	case q.seen.has(t.id()):
		q.reply(t, Outcome{Kind: failure.Duplicate, Ran: failure.RanUnknown, Reason: "seen before"}, 0)
	case q.leaving:
		q.refuse(t, failure.Stopping, "the backend server is leaving")
	case q.waiting.len()+q.running >= q.limits.Queue+q.limits.Slots:
		q.refuse(t, failure.QueueFull, "")
	case q.waiting.len()+q.running >= q.limits.Slots+int(maxQueue):
		q.refuse(t, failure.Busy, "")
	default:
		q.seen.add(now, t.id())
		q.tasks[t.Key] = t
		q.link(t.Link).held++
		q.job(t).open++
		q.waiting.push(now, t, size)
	}
}

// Cancel gives up those of the tasks that have not started.
func (q *Queue) Cancel(now time.Time, from Link, c *wire.Cancel) {
	named := make(map[Key]bool, len(c.Indexes))
	for _, index := range c.Indexes {
		named[Key{Link: from, Job: c.Job, Index: index}] = true
	}
	q.dropAll(func(t *Task) bool { return named[t.Key] }, failure.Cancelled, "")
}

// LinkDown forgets a link. Its queued tasks are dropped, since nobody is left
// to receive their results; its started ones run to their end.
func (q *Queue) LinkDown(link Link) {
	q.dropAll(func(t *Task) bool { return t.Link == link }, failure.Cancelled, "link down")
	delete(q.links, link)
}

// Finished records the end of a started task.
func (q *Queue) Finished(now time.Time, t *Task, o Outcome) {
	if t.state != Started {
		q.assert.Violated(promiseEnd)
		return
	}
	t.state = Finished
	q.running--
	q.release(t)
	if o.Ran == failure.NotRun {
		q.seen.forget(t.id())
	}
	q.answer(now, t, q.result(t, o, now.Sub(t.StartedAt)))
}

// Expire refuses queued tasks whose deadline has passed.
func (q *Queue) Expire(now time.Time) {
	q.dropAll(func(t *Task) bool { return !now.Before(t.Deadline) }, failure.DeadlineInQueue, "")
	q.seen.expire(now)
}

// Leave makes the queue refuse all new work and hand back what is queued. What
// has started runs to its end.
func (q *Queue) Leave() {
	q.leaving = true
	q.dropAll(func(*Task) bool { return true }, failure.Stopping, "the backend server is leaving")
}

// Idle returns whether nothing is queued or running.
func (q *Queue) Idle() bool { return q.waiting.len() == 0 && q.running == 0 }

// Leaving returns whether new work is refused.
func (q *Queue) Leaving() bool { return q.leaving }

// Load returns the load to report on a link.
func (q *Queue) Load(link Link) wire.Load {
	var mine uint32
	if l := q.links[link]; l != nil {
		mine = l.held
	}
	return wire.Load{
		Queued:  uint32(q.waiting.len()),
		Running: uint32(q.running),
		Mine:    mine,
		Slots:   uint32(q.limits.Slots),
		Leaving: q.leaving,
	}
}

// Remembered returns how many past and present tasks are remembered, and how
// many were forgotten before their time for want of room.
func (q *Queue) Remembered() (tasks int, evicted uint64) {
	return q.seen.order.Len(), q.seen.evicted
}

// Take returns what has to be done since the last call. Tasks are started here
// and not as they come, so that of all that waits in an agent's inbox the
// cancels count first.
func (q *Queue) Take(now time.Time) Effects {
	q.fill(now)
	q.sendHeld(now)
	out := q.out
	q.out = Effects{}
	return out
}

// fill starts queued tasks on free slots, in order.
func (q *Queue) fill(now time.Time) {
	for q.running < q.limits.Slots && q.waiting.len() > 0 {
		t := q.waiting.pop()
		if !now.Before(t.Deadline) {
			q.drop(t, failure.DeadlineInQueue, "")
			continue
		}
		if !q.seen.start(t.id()) {
			q.assert.Violated(promiseOnce)
			q.release(t)
			q.reply(t, Outcome{Kind: failure.Duplicate, Ran: failure.RanUnknown}, 0)
			continue
		}
		t.state = Started
		t.StartedAt = now
		q.running++
		q.out.Start = append(q.out.Start, t)
	}
}

// dropAll takes the tasks that match out of the queue.
func (q *Queue) dropAll(match func(*Task) bool, k failure.Kind, reason string) {
	for _, t := range q.waiting.remove(match) {
		q.drop(t, k, reason)
	}
}

// drop ends a task that never ran and is no longer in the queue.
func (q *Queue) drop(t *Task, k failure.Kind, reason string) {
	q.release(t)
	q.seen.forget(t.id())
	q.refuse(t, k, reason)
}

func (q *Queue) refuse(t *Task, k failure.Kind, reason string) {
	if t.state != Queued {
		q.assert.Violated(promiseNotRun)
		return
	}
	t.state = Refused
	q.reply(t, Outcome{Kind: k, Ran: failure.NotRun, Reason: reason}, 0)
}

func (q *Queue) release(t *Task) {
	delete(q.tasks, t.Key)
	q.closeTask(t)
	if l := q.links[t.Link]; l != nil {
		l.held--
	}
}

func (q *Queue) reply(t *Task, o Outcome, ran time.Duration) {
	q.send(t.Link, q.result(t, o, ran))
}

func (q *Queue) send(l Link, r wire.Result) {
	q.out.Reports = append(q.out.Reports, Report{Link: l, Result: r})
}

func (q *Queue) result(t *Task, o Outcome, ran time.Duration) wire.Result {
	return wire.Result{
		Job:       t.Job,
		Index:     t.Index,
		Attempt:   t.Attempt,
		Kind:      uint8(o.Kind),
		Ran:       uint8(o.Ran),
		Reason:    o.Reason,
		Body:      o.Body,
		RunMicros: uint64(ran / time.Microsecond),
	}
}
