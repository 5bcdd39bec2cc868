package job

import (
	"encoding/json"
	"math"
	"time"

	"github.com/lichenfall/lichenfall/lib/failure"
)

// State is the state of a submission in an answer to a caller.
type State string

// The states of a submission.
const (
	Running  State = "running"
	Complete State = "complete"
	Failed   State = "failed"
)

// Counts holds the numbers of tasks of a failed job that ran, did not run, or
// may have run.
type Counts struct {
	Total   int `json:"total"`
	Ran     int `json:"ran"`
	NotRun  int `json:"not_run"`
	Unknown int `json:"unknown"`
}

// Answer is the JSON answer to a caller: all results in the order of the tasks,
// or one error and no result.
type Answer struct {
	Submission string            `json:"submission,omitempty"`
	State      State             `json:"state"`
	Results    []json.RawMessage `json:"results,omitempty"`
	Error      *ErrorBody        `json:"error,omitempty"`
	Tasks      *Counts           `json:"tasks,omitempty"`
	// Resent is set when the answer is that of an earlier call with the same ID.
	Resent bool `json:"resent,omitempty"`
}

// ErrorBody is the error of an Answer.
type ErrorBody struct {
	Kind    string `json:"kind"`
	Field   string `json:"field,omitempty"`
	Reason  string `json:"reason,omitempty"`
	Allowed string `json:"allowed,omitempty"`
	Task    *int   `json:"task,omitempty"` // index of the task that made the job fail
	// Ran holds for the whole submission: "not run" if no task of it was started,
	// "ran" if at least one is known to have run, else "unknown".
	Ran          string `json:"ran"`
	Retry        string `json:"retry"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
}

// Refusal returns the answer to a submission that failed as a whole. ran takes
// the place of the value in the kind's row of failure.Table.
func Refusal(id string, e *failure.Error, ran failure.Ran) *Answer {
	row := e.Kind.Row()
	return &Answer{Submission: id, State: Failed, Error: &ErrorBody{
		Kind:         row.Name,
		Field:        e.Field,
		Reason:       e.Reason,
		Allowed:      e.Allowed,
		Ran:          ran.String(),
		Retry:        row.Retry.String(),
		RetryAfterMS: int64(math.Ceil(float64(e.RetryAfter) / float64(time.Millisecond))),
	}}
}

// Status returns the HTTP status of the answer.
func (a *Answer) Status() int {
	if a.Error == nil {
		return failure.None.Row().Status
	}
	k, _ := failure.Parse(a.Error.Kind)
	return k.Row().Status
}
