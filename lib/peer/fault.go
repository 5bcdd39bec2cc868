package peer

import (
	"time"

	"github.com/zeebo/errs"

	"github.com/lichenfall/lichenfall/wire"
)

// The reasons of this package for closing a connection, beside those of
// wire.FaultReason.
const (
	faultBacklog     = "backlog"
	faultSecondHello = "second_hello"
	faultNoHello     = "no_hello"
	faultVersion     = "version"
	faultClock       = "clock"
	faultOwnTooLong  = "own_frame_too_long"
	faultSilent      = "silent"
)

// FaultReasons returns every reason that a Counter can be given.
func FaultReasons() []string {
	return []string{
		faultBacklog, faultSecondHello, faultNoHello, faultVersion, faultClock, faultOwnTooLong, faultSilent,
		"too_long", "empty", "truncated", "unknown_kind", "malformed",
	}
}

// ErrClock closes a connection to a peer whose clock is too far from ours.
var ErrClock = errs.New("the clocks differ by more than the bound")

// clockOK returns whether the peer's clock at its hello is within the bound of
// ours now. A hello that was long on the way looks like a wrong clock; the
// connection is then made again.
func clockOK(h *wire.Hello, now time.Time, bound time.Duration) bool {
	return now.Sub(time.UnixMicro(h.UnixMicros)).Abs() <= bound
}
