package failure

import (
	"errors"
	"strings"
	"time"
)

// Error is a refusal or a failure of one of the kinds. Functions return it where the outcome becomes
// the answer to a caller.
type Error struct {
	Kind       Kind
	Field      string        // the field at fault, as a path such as "tasks[3].payload"; may be empty
	Reason     string        // one sentence
	Allowed    string        // the values that the field may have; may be empty
	RetryAfter time.Duration // when the caller may retry; 0 to leave it open
}

// New returns an error of the kind with the reason.
func New(k Kind, reason string) *Error {
	return &Error{Kind: k, Reason: reason}
}

// InField returns an error of the kind that concerns one field of a request.
func InField(k Kind, field, reason, allowed string) *Error {
	return &Error{Kind: k, Field: field, Reason: reason, Allowed: allowed}
}

// Error returns the kind, the field, the reason and the allowed values in one line.
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

// From returns the *Error in err's chain, or one of the kind Internal if there is none.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return New(Internal, err.Error())
}
