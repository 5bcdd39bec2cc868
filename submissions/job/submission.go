// Package job defines submissions and their answers, and the state of a job at
// the entry that runs it. It owns the state of one job and relies on its caller
// to report the end of each task once. It does no I/O.
package job

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"time"

	"github.com/lichenfall/lichenfall/lib/failure"
	"github.com/lichenfall/lichenfall/submissions/claim"
)

// Request is the JSON body of a submission.
type Request struct {
	// ID is chosen by the caller. A submission is never started twice under one ID.
	ID        string `json:"id"`
	Workspace string `json:"team"` // the JSON keeps "team", the users' first word for a workspace
	Pool      string `json:"pool"`
	// TimeoutMS is the time from arrival to the deadline in milliseconds. At most
	// one of it and Deadline may be given.
	TimeoutMS int64 `json:"timeout_ms,omitempty"`
	// Deadline is the deadline in wall clock time (RFC 3339).
	Deadline *time.Time `json:"deadline,omitempty"`
	// NotRepeatable marks tasks that must run at most once in any case.
	NotRepeatable bool          `json:"not_repeatable,omitempty"`
	Tasks         []TaskRequest `json:"tasks"`
}

// TaskRequest is one task of a Request.
type TaskRequest struct {
	Payload json.RawMessage `json:"payload"` // any JSON value
}

// Limits holds the limits on a Request.
type Limits struct {
	Tasks          int           // tasks of a submission
	PayloadBytes   int           // size of the JSON text of one payload
	Timeout        time.Duration // longest time until the deadline
	DefaultTimeout time.Duration // time until the deadline if the request has none
}

// Submission is a Request whose form is valid. Package dispatch decides whether
// it may run, after it has claimed the ID so that no duplicate runs.
type Submission struct {
	ID            string
	Workspace     string
	Pool          string
	Deadline      time.Time // possibly in the past
	NotRepeatable bool
	Payloads      [][]byte
	Digest        Digest
}

// Digest identifies the content of a submission, which is all of it but its ID
// and its deadline.
type Digest [sha256.Size]byte

const (
	maxName       = 64 // characters
	allowedName   = "1 to 64 characters of A-Z a-z 0-9 . _ : - @"
	allowedNumber = "%d to %d"
)

// Check returns r as a Submission, or an error that names the invalid field. It
// checks only properties in which all duplicates of a submission agree.
func (r *Request) Check(now time.Time, l Limits) (*Submission, error) {
	names := []struct{ field, value string }{{"id", r.ID}, {"team", r.Workspace}, {"pool", r.Pool}}
	for _, n := range names {
		if !ValidName(n.value) {
			return nil, failure.InField(failure.BadRequest, n.field, "not a valid name", allowedName)
		}
	}
	if _, ok := claim.IDTime(r.ID); !ok {
		return nil, failure.InField(failure.BadRequest, "id", "carries no time", claim.AllowedID)
	}
	deadline, err := r.deadline(now, l)
	if err != nil {
		return nil, err
	}
	if err := r.checkTasks(l); err != nil {
		return nil, err
	}
	s := &Submission{ID: r.ID, Workspace: r.Workspace, Pool: r.Pool, Deadline: deadline, NotRepeatable: r.NotRepeatable}
	s.Payloads = make([][]byte, len(r.Tasks))
	for i, t := range r.Tasks {
		s.Payloads[i] = t.Payload
	}
	s.Digest = s.digest()
	return s, nil
}

// ValidName returns whether s is a valid name of a submission, workspace, pool or
// box. Such names are safe in logs, URLs and metric labels.
func ValidName(s string) bool {
	if len(s) == 0 || len(s) > maxName {
		return false
	}
	for i := range len(s) {
		if !validNameByte(s[i]) {
			return false
		}
	}
	return true
}

func validNameByte(c byte) bool {
	switch {
	case 'a' <= c && c <= 'z', 'A' <= c && c <= 'Z', '0' <= c && c <= '9':
		return true
	}
	return c == '.' || c == '_' || c == ':' || c == '-' || c == '@'
}

func (r *Request) deadline(now time.Time, l Limits) (time.Time, error) {
	allowed := fmt.Sprintf(allowedNumber, 1, l.Timeout.Milliseconds())
	switch {
	case r.Deadline != nil && r.TimeoutMS != 0:
		return now, failure.InField(failure.BadRequest, "deadline", "given together with timeout_ms", "one of the two")
	case r.TimeoutMS < 0 || r.TimeoutMS > l.Timeout.Milliseconds():
		return now, failure.InField(failure.BadRequest, "timeout_ms", "out of range", allowed)
	case r.TimeoutMS > 0:
		return now.Add(time.Duration(r.TimeoutMS) * time.Millisecond), nil
	case r.Deadline == nil:
		return now.Add(l.DefaultTimeout), nil
	case r.Deadline.Sub(now) > l.Timeout:
		return now, failure.InField(failure.BadRequest, "deadline", "too far away", "at most "+l.Timeout.String()+" from now")
	}
	return now.Add(r.Deadline.Sub(now)), nil
}

func (r *Request) checkTasks(l Limits) error {
	allowed := fmt.Sprintf(allowedNumber, 1, l.Tasks)
	if len(r.Tasks) == 0 {
		return failure.InField(failure.BadRequest, "tasks", "empty", allowed)
	}
	if len(r.Tasks) > l.Tasks {
		return failure.InField(failure.TooLarge, "tasks", fmt.Sprintf("%d tasks", len(r.Tasks)), allowed)
	}
	for i, t := range r.Tasks {
		field := fmt.Sprintf("tasks[%d].payload", i)
		if len(t.Payload) == 0 {
			return failure.InField(failure.BadRequest, field, "missing", "any JSON value")
		}
		if len(t.Payload) > l.PayloadBytes {
			return failure.InField(failure.TooLarge, field, fmt.Sprintf("%d bytes", len(t.Payload)), fmt.Sprintf("at most %d bytes", l.PayloadBytes))
		}
	}
	return nil
}

func (s *Submission) digest() Digest {
	h := sha256.New()
	var n [8]byte
	write := func(b []byte) {
		binary.BigEndian.PutUint64(n[:], uint64(len(b)))
		h.Write(n[:])
		h.Write(b)
	}
	write([]byte(s.Workspace))
	write([]byte(s.Pool))
	if s.NotRepeatable {
		write([]byte{1})
	} else {
		write([]byte{0})
	}
	for _, p := range s.Payloads {
		write(p)
	}
	return Digest(h.Sum(nil))
}
