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

// reconnect spaces the attempts to reach a peer: soon at first, and with
// jitter, so that a returning rack is not met by everyone at once.
const reconnectBase = 50 * time.Millisecond

// A peer that could not be reached so often is probably gone for good, and dialled less often.
const (
	goneAfter = 60              // attempts
	goneDelay = 3 * time.Second // between two later ones
)

// Limits of one attempt to dial: short at first, since an attempt that meets a box
// without power hears nothing, and would outlast the moment in which it is back; then
// doubled, for peers that are far away or slow. A limit of 1 s for each attempt left
// half of the connections missing for 1 s after a loss of power.
const (
	firstDialLimit = 150 * time.Millisecond // of the first attempt
	lastDialLimit  = time.Second
)

// dialLimit returns the limit of an attempt, counted from 0.
func dialLimit(attempt int) time.Duration {
	return retry.Backoff{Base: firstDialLimit, Max: lastDialLimit}.Doubled(attempt)
}

// KeepConnected holds a connection to addr until ctx ends, dialling again whenever it
// breaks. hello is called for each connection.
func KeepConnected(ctx context.Context, addr string, opts Options, hello func() *wire.Hello, h Handler) {
	opts = opts.withDefaults()
	reconnect := retry.Backoff{Base: reconnectBase, Max: opts.ReconnectMax}
	for attempt := 0; ctx.Err() == nil; attempt++ {
		if dialOnce(ctx, addr, dialLimit(attempt), opts, hello(), h) {
			attempt = 0
		}
		if attempt > goneAfter {
			loop.Sleep(ctx, goneDelay)
		}
		loop.Sleep(ctx, reconnect.Delay(attempt, rand.Float64()))
	}
}

// dialOnce returns whether the peer was reached.
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
