package store

import "errors"

// Fate is what is known of an append.
type Fate uint8

// The fates of an append.
const (
	Open    Fate = iota // it may still be carried out: send it again under its number
	Done                // it is kept
	Refused             // it was not carried out and never will be
	Fenced              // the same, and a newer owner exists
	Lost                // a newer owner exists; whether it was carried out shows in the store
)

// Appending follows the appends of one owner to one partition, one at a time:
// an append without an answer may be carried out later, so it is repeated under
// its number, which makes all copies one, until its fate is known.
type Appending struct {
	next    uint64
	unknown bool // a copy of the present append had no answer
}

// NewAppending returns one whose first append has the number 1.
func NewAppending() *Appending { return &Appending{next: 1} }

// Number returns the number of the present append.
func (a *Appending) Number() uint64 { return a.next }

// Answered takes what a copy of the present append returned.
func (a *Appending) Answered(err error) Fate {
	var sequence *SequenceError
	switch {
	case err == nil:
		return a.end(a.next+1, Done)
	case errors.As(err, &sequence):
		if a.unknown && sequence.Wanted > a.next {
			// It was carried out, longer ago than the store remembers.
			return a.end(sequence.Wanted, Done)
		}
		a.next = sequence.Wanted
		return Open
	case errors.Is(err, ErrFenced) && a.unknown:
		return a.end(a.next, Lost)
	case errors.Is(err, ErrFenced):
		return a.end(a.next, Fenced)
	case errors.Is(err, ErrRefused) && !a.unknown:
		return a.end(a.next, Refused)
	case !errors.Is(err, ErrRefused):
		a.unknown = true
	}
	return Open
}

func (a *Appending) end(next uint64, f Fate) Fate {
	a.next = next
	a.unknown = false
	return f
}
