package store

import "errors"

// AppendStatus is what is known of an append.
type AppendStatus uint8

// The fates of an append.
const (
	AppendPending   AppendStatus = iota // it may still be carried out: send it again under its number
	AppendDone                          // it is kept
	AppendRefused                       // it was not carried out and never will be
	AppendFenced                        // the same, and a newer owner exists
	AppendUncertain                     // a newer owner exists; whether it was carried out shows in the store
)

// AppendTracker follows the appends of one owner to one partition, one at a time:
// an append without an answer may be carried out later, so it is repeated under
// its number, which makes all copies one, until its fate is known.
type AppendTracker struct {
	next    uint64
	unknown bool // a copy of the present append had no answer
}

// NewAppendTracker returns one whose first append has the number 1.
func NewAppendTracker() *AppendTracker { return &AppendTracker{next: 1} }

// Number returns the number of the present append.
func (a *AppendTracker) Number() uint64 { return a.next }

// HandleResult takes what a copy of the present append returned.
func (a *AppendTracker) HandleResult(err error) AppendStatus {
	var sequence *SequenceError
	switch {
	case err == nil:
		return a.end(a.next+1, AppendDone)
	case errors.As(err, &sequence):
		if a.unknown && sequence.Wanted > a.next {
			// It was carried out, longer ago than the store remembers.
			return a.end(sequence.Wanted, AppendDone)
		}
		a.next = sequence.Wanted
		return AppendPending
	case errors.Is(err, ErrFenced) && a.unknown:
		return a.end(a.next, AppendUncertain)
	case errors.Is(err, ErrFenced):
		return a.end(a.next, AppendFenced)
	case errors.Is(err, ErrRefused) && !a.unknown:
		return a.end(a.next, AppendRefused)
	case !errors.Is(err, ErrRefused):
		a.unknown = true
	}
	return AppendPending
}

func (a *AppendTracker) end(next uint64, f AppendStatus) AppendStatus {
	a.next = next
	a.unknown = false
	return f
}
