// Package clock tells the present time to what decides by leases. The steady clock of the
// operating system, which package time measures by, stands still while the box is suspended; a
// lease that is measured by it looks good for as long again as the box was away, in which
// another may have the lease. A Clock counts that time too, and no step of the time of day.
//
// It owns what is known of the box's suspensions, and relies on CLOCK_BOOTTIME of Linux.
package clock

import (
	"sync"
	"time"

	"github.com/zeebo/errs"
	"golang.org/x/sys/unix"
)

// Sources are the clocks of the operating system that a Clock is made from.
type Sources interface {
	// Read returns the steady clock and the time of day, each counted from any moment, in
	// one cheap call.
	Read() (steady, timeOfDay time.Duration)
	// Suspended returns for how long the box has been suspended since it was started, or
	// somewhat less if this process was held up meanwhile.
	Suspended() (time.Duration, error)
}

// A suspension shows as a leap of the time of day against the steady clock, which costs
// nothing to look at; then, and now and then in case a step of the time of day has hidden it,
// the operating system is asked.
const (
	leapLeast = 5 * time.Millisecond   // less than any limit in a core
	lookEvery = 250 * time.Millisecond // eight system calls a second
	// firstLooks is how often New asks: what it finds too little would later look like a
	// suspension.
	firstLooks = 5
)

// Clock is a steady clock that also counts the time for which the box was suspended. It may
// be used by several goroutines.
type Clock struct {
	sources Sources
	origin  time.Time // what Now is counted from

	mu        sync.Mutex
	before    time.Duration // for which the box had been suspended when the clock was made
	suspended time.Duration // since then
	lookedAt  time.Duration // by the steady clock
	offset    time.Duration // of the time of day from the steady clock, then
}

// New returns a clock that begins at origin. It fails if the sources cannot tell of
// suspensions.
func New(origin time.Time, sources Sources) (*Clock, error) {
	before := time.Duration(0)
	for range firstLooks {
		total, err := sources.Suspended()
		if err != nil {
			return nil, err
		}
		before = max(before, total)
	}
	steady, timeOfDay := sources.Read()
	return &Clock{sources: sources, origin: origin.Add(-steady), before: before, lookedAt: steady, offset: timeOfDay - steady}, nil
}

// Now returns the present time. It never goes back.
func (c *Clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	steady, timeOfDay := c.sources.Read()
	c.look(steady, timeOfDay)
	return c.origin.Add(steady + c.suspended)
}

// Suspended returns for how long the box has been suspended since the clock was made, as of
// the last Now.
func (c *Clock) Suspended() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.suspended
}

// look asks for how long the box has been suspended, if that may have changed.
func (c *Clock) look(steady, timeOfDay time.Duration) {
	leap := timeOfDay - steady - c.offset
	if leap.Abs() < leapLeast && steady-c.lookedAt < lookEvery {
		return
	}
	c.lookedAt, c.offset = steady, timeOfDay-steady
	// New has seen that it can be told; a single answer that is missing is made up for by
	// the next look.
	if total, err := c.sources.Suspended(); err == nil {
		c.suspended = max(c.suspended, total-c.before)
	}
}

// System returns a clock by the sources of the operating system.
func System() (*Clock, error) {
	now := time.Now()
	return New(now, system{began: now})
}

// system reads the operating system's clocks.
type system struct{ began time.Time }

// Read implements Sources.
func (s system) Read() (steady, timeOfDay time.Duration) {
	now := time.Now()
	return now.Sub(s.began), now.Round(0).Sub(s.began.Round(0))
}

// Suspended implements Sources: CLOCK_BOOTTIME counts that time, CLOCK_MONOTONIC does not.
// What passes between the two readings makes the difference less, never more.
func (system) Suspended() (time.Duration, error) {
	var boot, steady unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot); err != nil {
		return 0, errs.Wrap(err)
	}
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &steady); err != nil {
		return 0, errs.Wrap(err)
	}
	return time.Duration(boot.Nano() - steady.Nano()), nil
}
