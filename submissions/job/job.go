package job

import (
	"encoding/json"
	"slices"

	"github.com/lichenfall/lichenfall/lib/failure"
)

// TaskState is where a task stands at the entry.
type TaskState uint8

// The states of a task at the entry.
const (
	Pending TaskState = iota // not placed, or handed back
	Placed                   // sent to an agent
	Done                     // its answer is here
	Over                     // it will not be answered; ran says whether it ran
)

// Task is the entry's record of one task.
type Task struct {
	State    TaskState
	Agent    string // where it is placed
	Attempts int    // placings, bounces included
	Bounces  int    // times handed back as busy
	Ran      failure.Ran
	Body     []byte
	Tried    []string // agents that handed it back
}

// Job is the state of one submission at the entry that runs it. It is complete
// when every task is Done; the first task that fails for good fails it.
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

// Answer returns the job's answer, nil while it runs.
func (j *Job) Answer() *Answer { return j.answer }

// Place records that the task is sent to the agent.
func (j *Job) Place(i int, agent string) {
	t := &j.Tasks[i]
	if t.State != Pending {
		panic("job: placing a task that is not pending")
	}
	t.State = Placed
	t.Agent = agent
	t.Attempts++
}

// AwaitsResult returns whether the task is placed at the agent by that attempt. A
// result of anything else is late, crossed or repeated, and must be dropped.
func (j *Job) AwaitsResult(i int, agent string, attempt int) bool {
	if i < 0 || i >= len(j.Tasks) {
		return false
	}
	t := &j.Tasks[i]
	return t.State == Placed && t.Agent == agent && t.Attempts == attempt
}

// Finish records the answer of a placed task and completes the job with the
// last one.
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

// HandBack records that a placed task certainly did not run and is pending
// again.
func (j *Job) HandBack(i int) {
	t := &j.Tasks[i]
	t.State = Pending
	t.Tried = append(t.Tried, t.Agent)
	t.Agent = ""
}

// Bounce records that a placed task was handed back only because the agent
// holds more than we thought. It may be placed there again.
func (j *Job) Bounce(i int) {
	t := &j.Tasks[i]
	t.State = Pending
	t.Bounces++
	t.Agent = ""
}

// Tries returns the number of placings that were not bounced.
func (t Task) Tries() int { return t.Attempts - t.Bounces }

// End records that a task will not be answered.
func (j *Job) End(i int, ran failure.Ran) {
	t := &j.Tasks[i]
	t.State = Over
	t.Ran = ran
}

// Fail makes the job fail because of task i (negative: of none in particular).
// Tasks that are placed count as unknown, those pending as not run.
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

// ran sums up a submission from its tasks.
func (c Counts) ran() failure.Ran {
	switch {
	case c.Ran > 0:
		return failure.DidRun
	case c.Unknown > 0:
		return failure.RanUnknown
	}
	return failure.NotRun
}

// PlacedAt returns the agent that holds the task, "" when none does.
func (j *Job) PlacedAt(i int) string {
	if j.Tasks[i].State != Placed {
		return ""
	}
	return j.Tasks[i].Agent
}

// AnyPlacedAt returns whether the agent holds a task of the job.
func (j *Job) AnyPlacedAt(agent string) bool {
	for i := range j.Tasks {
		if j.PlacedAt(i) == agent {
			return true
		}
	}
	return false
}

// AnyStarted returns whether a task of the job is known to have started.
func (j *Job) AnyStarted() bool {
	return slices.ContainsFunc(j.Tasks, func(t Task) bool { return t.ran() == failure.DidRun })
}
