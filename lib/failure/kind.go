// Package failure defines the kinds of failure and the table that maps each kind to an answer: the
// HTTP status, whether the work ran, and what the caller may do next. All failures that callers get
// are in this table. The package owns the table, holds no other state, and relies on no other
// package of lichenfall.
package failure

import "net/http"

// Kind is one way in which a submission or a task can be refused or fail.
type Kind uint8

// All kinds. New kinds go before kindCount and into table.
const (
	None Kind = iota
	BadRequest
	TooLarge
	UnknownPool
	UnknownWorkspace
	DeadlinePast
	SubmissionMismatch
	SubmissionNotFound
	IDTooEarly
	OutcomeUnknown
	ClaimUnavailable
	NoAgent
	QueueFull
	Busy
	Overloaded
	DeadlineInQueue
	DeadlineWhileRunning
	Stopping
	Cancelled
	Duplicate
	BackendUnreachable
	BackendLost
	TaskFailed
	BadAnswer
	AnswerTooLarge
	AgentLost
	UnknownQueue
	NoConfiguration
	JobNotFound
	NoOwner
	StoreUnavailable
	CommitUnknown
	Unsupported
	Internal
	kindCount
)

// Ran states whether the work that a failure concerns was started.
type Ran uint8

// The values of Ran. RanUnknown is the zero value, so that an unset field does not state that the
// work was not run.
const (
	RanUnknown Ran = iota
	NotRun
	DidRun
)

// String returns the text used in answers: "unknown", "not run" or "ran".
func (r Ran) String() string {
	switch r {
	case NotRun:
		return "not run"
	case DidRun:
		return "ran"
	}
	return "unknown"
}

// Retry is the advice to the caller on sending the request again.
type Retry uint8

// The values of Retry.
const (
	// RetryNever means that the same request would fail again.
	RetryNever Retry = iota
	// RetrySameID means that the caller may send the same submission again after the time in
	// Retry-After; it is not started twice.
	RetrySameID
	// RetryNewID means that this answer is final for the submission; its content may be sent as
	// a new submission. That is safe after "not run"; otherwise the caller has to decide whether
	// the work may be done twice.
	RetryNewID
)

// String returns the text used in answers: "never", "same id" or "new id".
func (r Retry) String() string {
	switch r {
	case RetrySameID:
		return "same id"
	case RetryNewID:
		return "new id"
	}
	return "never"
}

// Row is the row of one kind in the table.
type Row struct {
	Kind    Kind
	Name    string // stable name used in answers, logs and metric labels
	Status  int    // HTTP status
	Ran     Ran    // whether the work was started, as far as the kind determines it
	Retry   Retry
	Meaning string // one sentence for the operators' documentation
}

var table = [kindCount]Row{
	{None, "none", http.StatusOK, DidRun, RetryNever, "No error."},
	{BadRequest, "bad_request", http.StatusBadRequest, NotRun, RetryNever, "The request is malformed; the answer names the field and what is allowed."},
	{TooLarge, "too_large", http.StatusRequestEntityTooLarge, NotRun, RetryNever, "The body, the task count or a payload is over its limit."},
	{UnknownPool, "unknown_pool", http.StatusUnprocessableEntity, NotRun, RetryNever, "No pool of that name is configured."},
	{UnknownWorkspace, "unknown_team", http.StatusUnprocessableEntity, NotRun, RetryNever, "No team of that name is configured."},
	{DeadlinePast, "deadline_past", http.StatusBadRequest, NotRun, RetryNewID, "The deadline had passed when the submission arrived."},
	{SubmissionMismatch, "submission_mismatch", http.StatusConflict, NotRun, RetryNever, "The submission ID was used before with other content; this content was not run."},
	{SubmissionNotFound, "submission_not_found", http.StatusNotFound, RanUnknown, RetryNever, "Nothing is remembered under that submission ID; it may never have come or be forgotten."},
	{IDTooEarly, "id_too_early", http.StatusBadRequest, RanUnknown, RetrySameID, "The submission ID carries a time in the future; one of the clocks is wrong."},
	{OutcomeUnknown, "outcome_unknown", http.StatusConflict, RanUnknown, RetryNewID, "The submission may have run earlier and its outcome is lost; it was not started again."},
	{ClaimUnavailable, "claim_unavailable", http.StatusServiceUnavailable, RanUnknown, RetrySameID, "The process responsible for the submission ID cannot be reached; this copy was not started."},
	{NoAgent, "no_agent", http.StatusServiceUnavailable, NotRun, RetryNewID, "No agent of the pool can take work now."},
	{QueueFull, "queue_full", http.StatusServiceUnavailable, NotRun, RetryNewID, "The agent's queue was full."},
	{Busy, "busy", http.StatusServiceUnavailable, NotRun, RetryNewID, "The agent held more tasks than the entry thought; the task is placed again at once."},
	{Overloaded, "overloaded", http.StatusTooManyRequests, NotRun, RetryNewID, "The entry holds as much work as it may, or the retry budget is spent."},
	{DeadlineInQueue, "deadline_in_queue", http.StatusGatewayTimeout, NotRun, RetryNewID, "The deadline passed before the task was started."},
	{DeadlineWhileRunning, "deadline_while_running", http.StatusGatewayTimeout, DidRun, RetryNewID, "The deadline passed after the task had started."},
	{Stopping, "stopping", http.StatusServiceUnavailable, NotRun, RetryNewID, "The process is stopping and took no new work."},
	{Cancelled, "cancelled", http.StatusConflict, NotRun, RetryNewID, "The task was cancelled before it started."},
	{Duplicate, "duplicate", http.StatusConflict, RanUnknown, RetryNever, "The agent had seen this task of this submission before and did not start it again."},
	{BackendUnreachable, "backend_unreachable", http.StatusServiceUnavailable, NotRun, RetryNewID, "No byte of the task could be sent to the backend server."},
	{BackendLost, "backend_lost", http.StatusBadGateway, RanUnknown, RetryNewID, "The connection to the backend server broke after the task was sent."},
	{TaskFailed, "task_failed", http.StatusBadGateway, DidRun, RetryNewID, "The backend server answered the task with an error."},
	{BadAnswer, "bad_answer", http.StatusBadGateway, DidRun, RetryNewID, "The backend server's answer is not JSON."},
	{AnswerTooLarge, "answer_too_large", http.StatusBadGateway, DidRun, RetryNewID, "The backend server's answer is over the limit."},
	{AgentLost, "agent_lost", http.StatusBadGateway, RanUnknown, RetryNewID, "The link to the agent broke while it held a task."},
	{UnknownQueue, "unknown_queue", http.StatusNotFound, NotRun, RetryNever, "No queue of the configuration in force takes this host and path."},
	{NoConfiguration, "no_configuration", http.StatusServiceUnavailable, RanUnknown, RetrySameID, "The process has not read a configuration yet."},
	{JobNotFound, "job_not_found", http.StatusGone, RanUnknown, RetryNever, "No job is kept under that ID."},
	{NoOwner, "no_owner", http.StatusServiceUnavailable, RanUnknown, RetrySameID, "No coordinator that can be reached owns the job's partition now; this copy was not kept."},
	{StoreUnavailable, "store_unavailable", http.StatusServiceUnavailable, NotRun, RetryNewID, "The store refused to keep the job; it will never run unless it is sent again."},
	{CommitUnknown, "commit_unknown", http.StatusGatewayTimeout, RanUnknown, RetrySameID, "The store gave no answer in time; the job may be kept. The same ID sent again tells."},
	{Unsupported, "unsupported", http.StatusUnprocessableEntity, NotRun, RetryNever, "The job asks for something that this version does not do; the answer names the field."},
	{Internal, "internal", http.StatusInternalServerError, RanUnknown, RetryNever, "A fault of the program; see its log."},
}

// Table returns a copy of the table, in the order of the kinds.
func Table() []Row {
	rows := make([]Row, kindCount)
	copy(rows, table[:])
	return rows
}

// Row returns the kind's row, or that of Internal if the kind is unknown.
func (k Kind) Row() Row {
	if k >= kindCount {
		return table[Internal]
	}
	return table[k]
}

// String returns the kind's stable name.
func (k Kind) String() string { return k.Row().Name }

// Parse returns the kind with the name; ok is false if there is none.
func Parse(name string) (k Kind, ok bool) {
	for _, r := range table {
		if r.Name == name {
			return r.Kind, true
		}
	}
	return Internal, false
}
