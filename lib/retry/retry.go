// Package retry decides whether and when something is tried again: a budget
// that keeps retries a small share of the work, and a backoff with jitter. It reads no
// clock; whoever retries asks it first.
package retry

import "time"

// Budget allows retries in proportion to first attempts. The zero value allows
// none. It is not safe for use by several goroutines.
type Budget struct {
	Ratio float64 // retries allowed for each first attempt, for example 0.1
	Burst float64 // retries that may be saved up; also the stock at the start

	spent float64 // of Burst; 0 means a full stock
}

// Earn records n first attempts.
func (b *Budget) Earn(n int) {
	b.spent = max(0, b.spent-float64(n)*b.Ratio)
}

// Spend takes one retry from the budget; false means that there is none left.
func (b *Budget) Spend() bool {
	if b.spent+1 > b.Burst {
		return false
	}
	b.spent++
	return true
}

// Left returns the number of retries in stock.
func (b *Budget) Left() float64 { return b.Burst - b.spent }

// Backoff doubles a delay from Base up to Max, with full jitter.
type Backoff struct {
	Base time.Duration
	Max  time.Duration
}

// Delay returns the pause before the attempt (counted from 0); u is a random
// number in [0, 1) that spreads it over the upper half of the range.
func (b Backoff) Delay(attempt int, u float64) time.Duration {
	d := b.Doubled(attempt)
	return d/2 + time.Duration(u*float64(d)/2)
}

// Doubled returns Base doubled once for each attempt before this one (counted from 0),
// and Max at most: a delay before its jitter, or a limit that grows.
func (b Backoff) Doubled(attempt int) time.Duration {
	d := b.Base
	for i := 0; i < attempt && d < b.Max; i++ {
		d *= 2
	}
	return min(d, b.Max)
}
