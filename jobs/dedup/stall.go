package dedup

import "time"

// StallTracker is what a process knows of times in which it handled nothing: a call that is taken
// soon after may have waited for as long.
type StallTracker struct {
	by    time.Duration
	until time.Time // calls that are taken before may have waited
}

// What was sent to a process while it handled nothing is read within readLeast and a readShare of
// that time, as far as it is still of use.
const (
	readLeast = 100 * time.Millisecond
	readShare = 0.125 // of the time
)

// Add takes that nothing was handled for so long until now. What is late again while it still
// reads is later by that.
func (l *StallTracker) Add(now time.Time, by time.Duration) {
	if now.Before(l.until) {
		by += l.by
	}
	l.by = by
	if until := now.Add(readLeast + share(by, readShare)); until.After(l.until) {
		l.until = until
	}
}

// EarliestSent returns when a call may have been sent that was read at came and is taken now.
func (l *StallTracker) EarliestSent(now, came time.Time) time.Time {
	if waited := now.Add(-l.by); now.Before(l.until) && waited.Before(came) {
		return waited
	}
	return came
}

// MayBeOlder returns whether a call that is taken now may have waited for as long as age.
func (l *StallTracker) MayBeOlder(now time.Time, age time.Duration) bool {
	return now.Before(l.until) && l.by >= age
}
