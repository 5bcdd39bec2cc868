package peer

import (
	"time"

	"github.com/zeebo/errs"

	"github.com/lichenfall/lichenfall/wire"
)

// Reasons of faults beside those of wire.FaultReason.
const (
	faultBacklog     = "backlog"
	faultSecondHello = "second_hello"
	faultNoHello     = "no_hello"
	faultVersion     = "version"
	faultClock       = "clock"
	faultOwnTooLong  = "own_frame_too_long"
	faultSilent      = "silent"
)

// FaultReasons returns all reasons with which Counter.Fault may be called.
func FaultReasons() []string {
	return []string{
		faultBacklog, faultSecondHello, faultNoHello, faultVersion, faultClock, faultOwnTooLong, faultSilent,
		"too_long", "empty", "truncated", "unknown_kind", "malformed",
	}
}

// ErrClock is the cause with which a connection is closed if the peer's clock differs by more than
// Options.ClockBound.
var ErrClock = errs.New("peer clock differs by more than the limit")

// clockOK reports whether the time in the peer's hello differs from now by at most the bound. A hello
// that was delayed on its way looks like a wrong clock; the peer then connects again.
func clockOK(h *wire.Hello, now time.Time, bound time.Duration) bool {
	return now.Sub(time.UnixMicro(h.UnixMicros)).Abs() <= bound
}
