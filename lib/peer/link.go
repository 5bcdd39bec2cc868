package peer

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/lichenfall/lichenfall/lib/loop"
	"github.com/lichenfall/lichenfall/lib/retry"
	"github.com/lichenfall/lichenfall/lib/tcp"
	"github.com/lichenfall/lichenfall/wire"
)

// reconnectBase is the first delay between attempts to reach a peer. The delays have jitter, so that
// processes do not all connect at the same time to a rack that is back.
const reconnectBase = 50 * time.Millisecond

// A peer that could not be reached after many attempts has probably been removed, and is dialled at
// longer intervals.
const (
	slowRedialAfter = 60              // attempts
	slowRedialDelay = 3 * time.Second // added between later attempts
)

// Timeouts of one attempt to dial. The first is short, because an attempt to reach a box without power
// gets no reply and would continue after the box is back. The following ones double, for peers that
// are far away or slow. With 1 s for each attempt, half of the connections were missing for 1 s after
// a loss of power.
const (
	firstDialLimit = 150 * time.Millisecond // timeout of the first attempt
	maxDialLimit   = time.Second
)

// dialLimit returns the timeout of an attempt, counted from 0.
func dialLimit(attempt int) time.Duration {
	return retry.Backoff{Base: firstDialLimit, Max: maxDialLimit}.Doubled(attempt)
}

// KeepConnected keeps a connection to addr until ctx ends, and dials again whenever it is lost. hello
// is called for each connection and returns the hello to send.
func KeepConnected(ctx context.Context, addr string, opts Options, hello func() *wire.Hello, h Handler) {
	opts = opts.withDefaults()
	reconnect := retry.Backoff{Base: reconnectBase, Max: opts.ReconnectMax}
	for attempt := 0; ctx.Err() == nil; attempt++ {
		if dialOnce(ctx, addr, dialLimit(attempt), opts, hello(), h) {
			attempt = 0
		}
		if attempt > slowRedialAfter {
			loop.Sleep(ctx, slowRedialDelay)
		}
		loop.Sleep(ctx, reconnect.Delay(attempt, rand.Float64()))
	}
}

// dialOnce dials once and serves the connection until it is closed. It reports whether the peer was
// reached: the connection lasted longer than Options.ReconnectMax, or ended without an error.
func dialOnce(ctx context.Context, addr string, limit time.Duration, opts Options, hello *wire.Hello, h Handler) bool {
	nc, err := tcp.Dialer(limit).DialContext(ctx, "tcp", addr)
	if err != nil {
		return false
	}
	c := newConn(nc, opts)
	stop := context.AfterFunc(ctx, func() { c.Close(ctx.Err()) })
	defer stop()
	start := time.Now()
	err = c.serve(hello, h)
	return err == nil || time.Since(start) > opts.ReconnectMax
}
