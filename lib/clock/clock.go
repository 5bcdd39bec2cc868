// Package clock is the time source of code that decides by leases. The monotonic clock of the
// operating system, which package time uses, stops while the box is suspended. A lease that is
// measured by it appears valid for too long, by the duration of the suspension, while another process
// may hold the lease. A Clock includes the time of suspensions, and is not affected by steps of the
// wall clock.
//
// It owns the record of the box's suspensions, and relies on CLOCK_BOOTTIME of Linux.
package clock

import (
	"sync"
	"time"

	"github.com/zeebo/errs"
	"golang.org/x/sys/unix"
)

// Sources are the clocks of the operating system that a Clock reads.
type Sources interface {
	// Read returns the monotonic clock and the wall clock, each counted from an arbitrary time.
	// It is cheap.
	Read() (monotonic, wall time.Duration)
	// Suspended returns the total time for which the box has been suspended since it was
	// started. The result is too small if this process was delayed during the call.
	Suspended() (time.Duration, error)
}

// A suspension shows as a jump of the wall clock relative to the monotonic clock, which is cheap to
// detect. Only after a jump, and at intervals in case a step of the wall clock has hidden one, is
// Sources.Suspended called.
const (
	minJump       = 5 * time.Millisecond   // less than any timeout in a core
	checkInterval = 250 * time.Millisecond // costs eight system calls a second
	// initialReads is how often New calls Sources.Suspended. It uses the largest result: an
	// initial value that is too small would later look like a suspension.
	initialReads = 5
)

// Clock is a monotonic clock that includes the time for which the box was suspended. It is safe for
// concurrent use.
type Clock struct {
	sources Sources
	origin  time.Time // the time at which the monotonic clock was 0

	mu        sync.Mutex
	initial   time.Duration // total time of suspensions when the clock was created
	suspended time.Duration // time of suspensions since then
	checkedAt time.Duration // monotonic clock at the latest call of Sources.Suspended
	offset    time.Duration // wall clock minus monotonic clock at that call
}

// New returns a clock whose first reading is origin. It fails if Sources.Suspended does.
func New(origin time.Time, sources Sources) (*Clock, error) {
	initial := time.Duration(0)
	for range initialReads {
		total, err := sources.Suspended()
		if err != nil {
			return nil, err
		}
		initial = max(initial, total)
	}
	monotonic, wall := sources.Read()
	return &Clock{sources: sources, origin: origin.Add(-monotonic), initial: initial, checkedAt: monotonic, offset: wall - monotonic}, nil
}

// Now returns the present time, which never decreases.
func (c *Clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	monotonic, wall := c.sources.Read()
	c.checkSuspended(monotonic, wall)
	return c.origin.Add(monotonic + c.suspended)
}

// Suspended returns the total time for which the box has been suspended since the clock was created,
// as of the latest Now.
func (c *Clock) Suspended() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.suspended
}

// checkSuspended calls Sources.Suspended if its result may have changed.
func (c *Clock) checkSuspended(monotonic, wall time.Duration) {
	jump := wall - monotonic - c.offset
	if jump.Abs() < minJump && monotonic-c.checkedAt < checkInterval {
		return
	}
	c.checkedAt, c.offset = monotonic, wall-monotonic
	// An error is ignored: the call succeeded in New, and the next check makes up for one that
	// fails.
	if total, err := c.sources.Suspended(); err == nil {
		c.suspended = max(c.suspended, total-c.initial)
	}
}

// System returns a clock that reads the operating system's clocks.
func System() (*Clock, error) {
	now := time.Now()
	return New(now, system{start: now})
}

// system reads the operating system's clocks.
type system struct{ start time.Time }

// Read implements Sources. It counts both clocks from the start of s.
func (s system) Read() (monotonic, wall time.Duration) {
	now := time.Now()
	return now.Sub(s.start), now.Round(0).Sub(s.start.Round(0))
}

// Suspended implements Sources: CLOCK_BOOTTIME includes the time of suspensions, CLOCK_MONOTONIC does
// not. Time that passes between the two readings decreases the difference and never increases it.
func (system) Suspended() (time.Duration, error) {
	var boot, monotonic unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot); err != nil {
		return 0, errs.Wrap(err)
	}
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic); err != nil {
		return 0, errs.Wrap(err)
	}
	return time.Duration(boot.Nano() - monotonic.Nano()), nil
}
