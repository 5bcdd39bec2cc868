package dedup

import "time"

// StallTracker records times in which a process handled nothing. A call that it takes soon after
// such a stall may have waited for as long as the stall lasted, before it was read.
type StallTracker struct {
	length time.Duration // of the last stall; stalls in close succession are added up
	until  time.Time     // calls that are taken before may have waited
}

// Messages that were sent to a process while it was stalled, and are still of use, are read within
// minCatchUp plus catchUpShare of the stall after its end.
const (
	minCatchUp   = 100 * time.Millisecond
	catchUpShare = 0.125 // of the length of the stall
)

// Add records a stall of the given length that has ended now. A stall that follows while messages
// of the previous one are still being read adds to its length.
func (s *StallTracker) Add(now time.Time, length time.Duration) {
	if now.Before(s.until) {
		length += s.length
	}
	s.length = length
	if until := now.Add(minCatchUp + share(length, catchUpShare)); until.After(s.until) {
		s.until = until
	}
}

// EarliestSent returns the earliest time at which a call that was read at received and is taken
// now may have been sent.
func (s *StallTracker) EarliestSent(now, received time.Time) time.Time {
	if waited := now.Add(-s.length); now.Before(s.until) && waited.Before(received) {
		return waited
	}
	return received
}

// MayBeOlder returns whether a call that is taken now may have waited for age or longer.
func (s *StallTracker) MayBeOlder(now time.Time, age time.Duration) bool {
	return now.Before(s.until) && s.length >= age
}
