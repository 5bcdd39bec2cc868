// Package retry has a budget that limits retries to a small share of the work, and an exponential
// backoff with jitter. It does no I/O and reads no clock; its callers carry out the retries and the
// delays.
package retry

import "time"

// Budget limits retries in proportion to first attempts. The zero value allows none. It is not safe
// for concurrent use.
type Budget struct {
	Ratio float64 // retries allowed for each first attempt, for example 0.1
	Burst float64 // limit on unused retries; also the initial number

	spent float64 // retries in use out of Burst; 0 if all are available
}

// Earn records n first attempts, which add n*Ratio retries.
func (b *Budget) Earn(n int) {
	b.spent = max(0, b.spent-float64(n)*b.Ratio)
}

// Spend takes one retry from the budget. It returns false if none is left.
func (b *Budget) Spend() bool {
	if b.spent+1 > b.Burst {
		return false
	}
	b.spent++
	return true
}

// Left returns the number of retries that are left.
func (b *Budget) Left() float64 { return b.Burst - b.spent }

// Backoff is an exponential backoff: a delay that doubles from Base up to Max, with jitter.
type Backoff struct {
	Base time.Duration
	Max  time.Duration
}

// Delay returns the delay before an attempt, counted from 0. It lies between a half and the whole
// of Doubled; u is a random number in [0, 1) that selects the value.
func (b Backoff) Delay(attempt int, u float64) time.Duration {
	d := b.Doubled(attempt)
	return d/2 + time.Duration(u*float64(d)/2)
}

// Doubled returns Base, doubled once for each earlier attempt, and Max at most; attempt counts from
// 0. It is a delay without jitter, and also serves as a timeout that grows.
func (b Backoff) Doubled(attempt int) time.Duration {
	d := b.Base
	for i := 0; i < attempt && d < b.Max; i++ {
		d *= 2
	}
	return min(d, b.Max)
}
