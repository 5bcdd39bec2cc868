package store

import "errors"

// AppendStatus is what is known of an append.
type AppendStatus uint8

// The statuses of an append.
const (
	AppendPending   AppendStatus = iota // it may still be carried out: send it again under its number
	AppendDone                          // the records are stored
	AppendRefused                       // it was not carried out and never will be
	AppendFenced                        // it was not carried out and never will be, and a newer owner exists
	AppendUncertain                     // a newer owner exists; only the store's records show whether it was carried out
)

// AppendTracker follows the appends of one owner to one partition, one at a time. An append
// that is not answered may still be carried out later, so it is sent again under its number
// until its status is known. The store carries out only one of the attempts with one number.
type AppendTracker struct {
	number     uint64 // of the current append
	unanswered bool   // an attempt of the current append was not answered
}

// NewAppendTracker returns a tracker whose first append has the number first.
func NewAppendTracker(first uint64) *AppendTracker { return &AppendTracker{number: first} }

// Number returns the number of the current append.
func (a *AppendTracker) Number() uint64 { return a.number }

// HandleResult handles the error that Store.Append returned for an attempt of the current
// append, or nil, and returns the append's status. Number may return another number afterwards,
// also if the status is AppendPending.
func (a *AppendTracker) HandleResult(err error) AppendStatus {
	var sequence *SequenceError
	switch {
	case err == nil:
		return a.finish(a.number+1, AppendDone)
	case errors.As(err, &sequence):
		if a.unanswered && sequence.Wanted > a.number {
			// It was carried out so long ago that the store no longer has its number.
			return a.finish(sequence.Wanted, AppendDone)
		}
		a.number = sequence.Wanted
		return AppendPending
	case errors.Is(err, ErrFenced) && a.unanswered:
		return a.finish(a.number, AppendUncertain)
	case errors.Is(err, ErrFenced):
		return a.finish(a.number, AppendFenced)
	case errors.Is(err, ErrRefused) && !a.unanswered:
		return a.finish(a.number, AppendRefused)
	case !errors.Is(err, ErrRefused):
		a.unanswered = true
	}
	return AppendPending
}

// finish ends the current append with the status; the next append gets the number.
func (a *AppendTracker) finish(next uint64, status AppendStatus) AppendStatus {
	a.number = next
	a.unanswered = false
	return status
}
