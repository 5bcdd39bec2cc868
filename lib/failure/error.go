package failure

import (
	"errors"
	"strings"
	"time"
)

// Error is a refusal or failure of one closed kind. It is what the library's
// functions return where the caller must be answered.
type Error struct {
	Kind       Kind
	Field      string        // the field at fault, as a path such as "tasks[3].payload"; may be empty
	Reason     string        // one sentence
	Allowed    string        // what the field may hold; may be empty
	RetryAfter time.Duration // zero when there is no sense in waiting
}

// New returns an error of the kind with a reason.
func New(k Kind, reason string) *Error {
	return &Error{Kind: k, Reason: reason}
}

// InField returns an error of the kind about one field of a request.
func InField(k Kind, field, reason, allowed string) *Error {
	return &Error{Kind: k, Field: field, Reason: reason, Allowed: allowed}
}

// Error returns kind, field, reason and what is allowed in one line.
func (e *Error) Error() string {
	var b strings.Builder
	b.WriteString(e.Kind.String())
	if e.Field != "" {
		b.WriteString(": " + e.Field)
	}
	if e.Reason != "" {
		b.WriteString(": " + e.Reason)
	}
	if e.Allowed != "" {
		b.WriteString(" (allowed: " + e.Allowed + ")")
	}
	return b.String()
}

// From returns err as an *Error; one that is none becomes Internal.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return New(Internal, err.Error())
}
