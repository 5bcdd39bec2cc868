package job

import (
	"encoding/json"
	"slices"

	"github.com/lichenfall/lichenfall/lib/failure"
)

// TaskState is the state of a task at the entry.
type TaskState uint8

// The states of a task at the entry.
const (
	Pending TaskState = iota // not placed yet, or handed back
	Placed                   // sent to an agent
	Done                     // its result has arrived
	Ended                    // ended without a result; Task.Ran is whether it ran
)

// Task is the state of one task at the entry.
type Task struct {
	State    TaskState
	Agent    string // address of the agent that it is placed at
	Attempts int    // number of times it was placed, bounces included
	Bounces  int    // number of times it was handed back as busy
	Ran      failure.Ran
	Body     []byte   // its result when Done
	Tried    []string // agents that handed it back other than as busy
}

// Job is the state of one submission at the entry that runs it. It is complete
// when every task is Done. It fails as a whole when one task fails and is not
// retried, or when its deadline passes.
type Job struct {
	*Submission
	Number uint64
	Tasks  []Task

	done   int
	answer *Answer
}

// New returns a job with all tasks pending.
func New(number uint64, s *Submission) *Job {
	return &Job{Submission: s, Number: number, Tasks: make([]Task, len(s.Payloads))}
}

// Answer returns the job's answer, or nil while the job runs.
func (j *Job) Answer() *Answer { return j.answer }

// Place records that the task is sent to the agent. It panics if the task is not
// pending.
func (j *Job) Place(i int, agent string) {
	t := &j.Tasks[i]
	if t.State != Pending {
		panic("job: placing a task that is not pending")
	}
	t.State = Placed
	t.Agent = agent
	t.Attempts++
}

// AwaitsResult returns whether the task is placed at the agent by that attempt.
// Any other result is late, repeated or from the wrong agent, and must be
// dropped.
func (j *Job) AwaitsResult(i int, agent string, attempt int) bool {
	if i < 0 || i >= len(j.Tasks) {
		return false
	}
	t := &j.Tasks[i]
	return t.State == Placed && t.Agent == agent && t.Attempts == attempt
}

// Finish records the result of a placed task. The last result completes the job.
func (j *Job) Finish(i int, body []byte) {
	t := &j.Tasks[i]
	t.State = Done
	t.Ran = failure.DidRun
	t.Body = body
	j.done++
	if j.done == len(j.Tasks) && j.answer == nil {
		j.answer = j.complete()
	}
}

// HandBack records that the agent handed back a placed task, which certainly did
// not run and is pending again.
func (j *Job) HandBack(i int) {
	t := &j.Tasks[i]
	t.State = Pending
	t.Tried = append(t.Tried, t.Agent)
	t.Agent = ""
}

// Bounce records that a placed task was handed back only because the agent's
// queue was longer than estimated. It may be placed at the same agent again.
func (j *Job) Bounce(i int) {
	t := &j.Tasks[i]
	t.State = Pending
	t.Bounces++
	t.Agent = ""
}

// Tries returns the number of attempts that were not bounced.
func (t Task) Tries() int { return t.Attempts - t.Bounces }

// End records that a task ended without a result, and whether it ran.
func (j *Job) End(i int, ran failure.Ran) {
	t := &j.Tasks[i]
	t.State = Ended
	t.Ran = ran
}

// Fail makes the job fail because of task i, or of no single task if i is
// negative. Placed tasks count as unknown, pending ones as not run.
func (j *Job) Fail(i int, e *failure.Error) {
	if j.answer != nil {
		return
	}
	counts := j.counts()
	j.answer = Refusal(j.ID, e, counts.ran())
	j.answer.Tasks = &counts
	if i >= 0 {
		j.answer.Error.Task = &i
	}
	for k := range j.Tasks {
		j.Tasks[k].Body = nil
	}
}

func (j *Job) complete() *Answer {
	a := &Answer{Submission: j.ID, State: Complete, Results: make([]json.RawMessage, len(j.Tasks))}
	for i := range j.Tasks {
		a.Results[i] = j.Tasks[i].Body
	}
	return a
}

func (j *Job) counts() Counts {
	c := Counts{Total: len(j.Tasks)}
	for i := range j.Tasks {
		switch j.Tasks[i].ran() {
		case failure.DidRun:
			c.Ran++
		case failure.NotRun:
			c.NotRun++
		default:
			c.Unknown++
		}
	}
	return c
}

func (t Task) ran() failure.Ran {
	switch t.State {
	case Pending:
		return failure.NotRun
	case Placed:
		return failure.RanUnknown
	case Done:
		return failure.DidRun
	}
	return t.Ran
}

// ran returns whether a submission with these counts ran: one task that ran is
// enough.
func (c Counts) ran() failure.Ran {
	switch {
	case c.Ran > 0:
		return failure.DidRun
	case c.Unknown > 0:
		return failure.RanUnknown
	}
	return failure.NotRun
}

// PlacedAt returns the agent that the task is placed at, or "" if it is not
// placed.
func (j *Job) PlacedAt(i int) string {
	if j.Tasks[i].State != Placed {
		return ""
	}
	return j.Tasks[i].Agent
}

// AnyPlacedAt returns whether a task of the job is placed at the agent.
func (j *Job) AnyPlacedAt(agent string) bool {
	for i := range j.Tasks {
		if j.PlacedAt(i) == agent {
			return true
		}
	}
	return false
}

// AnyStarted returns whether a task of the job is known to have run.
func (j *Job) AnyStarted() bool {
	return slices.ContainsFunc(j.Tasks, func(t Task) bool { return t.ran() == failure.DidRun })
}
