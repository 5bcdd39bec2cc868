// Package queue is the core of an agent: it owns the bounded queue and the
// slots of one backend server, and the state of each task from its arrival to
// its end. It does no I/O; the current time is an argument. Only this state
// machine reports that a task which reached the agent did not run. It relies on
// its caller to start the tasks that Take returns and to report their ends.
package queue

import (
	"time"

	"github.com/lichenfall/lichenfall/lib/failure"
	"github.com/lichenfall/lichenfall/wire"
)

// Link numbers a connection to an entry, unique in the agent's lifetime.
type Link uint64

// Key identifies a task by the receiver of its result.
type Key struct {
	Link  Link
	Job   uint64
	Index uint32
}

// State is the state of a task.
type State uint8

// The states of a task. Finished and Refused are final. A refused task never
// ran: it was refused on arrival, cancelled, or expired in the queue.
const (
	Queued State = iota
	Started
	Finished
	Refused
)

// Task is a task at the agent.
type Task struct {
	Key
	Submission    string
	Attempt       uint32
	Workspace     string
	Payload       []byte
	Deadline      time.Time
	NotRepeatable bool
	StartedAt     time.Time

	virtualDeadline time.Time // the queue's order within a workspace

	state State
}

// State returns the state of the task.
func (t *Task) State() State { return t.state }

func (t *Task) id() taskID { return taskID{t.Submission, t.Index} }

// Limits holds the limits and the order of the queue.
type Limits struct {
	Slots         int           // tasks running at once
	Queue         int           // tasks waiting
	MaxRemembered int           // tasks recorded, so that none is started twice
	Window        time.Duration // how long a task is recorded
	// ClockBound is the greatest difference from an entry's clock.
	ClockBound time.Duration
	// Hold is how long a result may be held until those of the job's other tasks
	// here are known, without which the job cannot be answered anyway.
	Hold time.Duration
	// FIFO serves tasks in the order of arrival, instead of workspaces by round
	// robin and small jobs first.
	FIFO bool
}

// Report is a result to send on a link.
type Report struct {
	Link   Link
	Result wire.Result
}

// Effects lists what the caller has to do after events: the tasks to start on
// the backend server and the results to send.
type Effects struct {
	Start   []*Task
	Reports []Report
}

// Outcome is the end of a task. Kind is failure.None when it succeeded, with the
// result in Body.
type Outcome struct {
	Kind   failure.Kind
	Ran    failure.Ran
	Reason string
	Body   []byte
}

// The promises that are asserted at run time.
const (
	promiseNotRun = "not_run_after_start"
	promiseOnce   = "started_twice"
	promiseEnd    = "ended_without_start"
)

// Promises returns every promise that Asserter.Violated can be given.
func Promises() []string { return []string{promiseNotRun, promiseOnce, promiseEnd} }

// Asserter handles the violation of a promise: tests panic, daemons count and
// log it. The queue then continues without starting or answering a task twice.
type Asserter interface {
	Violated(promise string)
}

// Queue holds the tasks of one agent. It is not safe for concurrent use.
type Queue struct {
	limits   Limits
	assert   Asserter
	waiting  fairQueue
	tasks    map[Key]*Task
	links    map[Link]*linkState
	jobs     map[jobKey]*jobState
	heldJobs []jobKey // jobs with held results, in the order of the first result
	running  int
	leaving  bool
	seen     *seenTasks
	out      Effects
}

// linkState is the state of a connection.
type linkState struct {
	held    uint32 // number of its tasks that are queued or running
	lastSeq uint64 // sequence number of its last wire.Place
}

// New returns an empty queue.
func New(l Limits, a Asserter) *Queue {
	return &Queue{
		limits:  l,
		assert:  a,
		waiting: fairQueue{fifo: l.FIFO},
		tasks:   make(map[Key]*Task),
		links:   make(map[Link]*linkState),
		jobs:    make(map[jobKey]*jobState),
		seen:    newSeenTasks(l.MaxRemembered, l.Window),
	}
}

// Place queues or refuses each task of p. It returns false, and does nothing, if
// p was handled before: a task that was refused as not run must not start
// because its message arrives again.
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

// deadline returns the deadline of the tasks of p: the time of receipt plus the
// remaining time that p carries. If the message was delayed, or this process was
// paused, the sender's absolute deadline plus ClockBound is earlier and applies.
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

// admit queues or refuses a task. It checks for a duplicate first: a task that
// may have started must not be refused as not run for any other reason.
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
		q.job(t).unfinished++
		q.waiting.push(now, t, size)
	}
}

// Cancel refuses the named tasks that have not started.
func (q *Queue) Cancel(now time.Time, from Link, c *wire.Cancel) {
	named := make(map[Key]bool, len(c.Indexes))
	for _, index := range c.Indexes {
		named[Key{Link: from, Job: c.Job, Index: index}] = true
	}
	q.dropAll(func(t *Task) bool { return named[t.Key] }, failure.Cancelled, "")
}

// LinkDown removes a link. Its queued tasks are dropped, since their results can
// no longer be delivered; its started ones run to their end.
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
	q.holdResult(now, t, q.result(t, o, now.Sub(t.StartedAt)))
}

// Expire refuses queued tasks whose deadline has passed.
func (q *Queue) Expire(now time.Time) {
	q.dropAll(func(t *Task) bool { return !now.Before(t.Deadline) }, failure.DeadlineInQueue, "")
	q.seen.expire(now)
}

// Leave makes the queue refuse all new tasks and hand back the queued ones.
// Started tasks run to their end.
func (q *Queue) Leave() {
	q.leaving = true
	q.dropAll(func(*Task) bool { return true }, failure.Stopping, "the backend server is leaving")
}

// Idle returns whether no task is queued or running.
func (q *Queue) Idle() bool { return q.waiting.len() == 0 && q.running == 0 }

// Leaving returns whether the queue refuses all new tasks.
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

// Remembered returns how many tasks are recorded, ended ones included, and how
// many were removed before the end of Window because MaxRemembered was reached.
func (q *Queue) Remembered() (tasks int, evicted uint64) {
	return q.seen.order.Len(), q.seen.evicted
}

// Take returns the effects of all events since the last call. It starts queued
// tasks here and not on arrival, so that a cancellation already in the agent's
// inbox takes effect before the start.
func (q *Queue) Take(now time.Time) Effects {
	q.startTasks(now)
	q.sendHeldResults(now)
	out := q.out
	q.out = Effects{}
	return out
}

// startTasks starts queued tasks on free slots, in the order of the queue.
func (q *Queue) startTasks(now time.Time) {
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

// dropAll removes the queued tasks that match and refuses them.
func (q *Queue) dropAll(match func(*Task) bool, k failure.Kind, reason string) {
	for _, t := range q.waiting.remove(match) {
		q.drop(t, k, reason)
	}
}

// drop refuses a task that was removed from the queue and never ran.
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
	q.taskEnded(t)
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
