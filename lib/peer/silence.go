package peer

import (
	"time"

	"github.com/zeebo/errs"

	"github.com/lichenfall/lichenfall/wire"
)

// ErrSilent is the cause with which a connection is closed if the peer sends no message within
// Options.AckLimit.
var ErrSilent = errs.New("peer is silent")

// keepAliveInterval is the shortest interval between two KeepAlive messages, which are only sent
// together with others. A silent connection is closed by Options.AckLimit after the first message
// that was lost, and by up to this interval later if a KeepAlive was sent shortly before. The cost is
// two frames of 6 bytes a second and link: 1.9 KB/s for a process among 80 with links to all others.
const keepAliveInterval = time.Second

// addKeepAlive appends a KeepAlive to the messages that are about to be written, if one is due. The
// connection is closed if the peer then sends nothing within Options.AckLimit. On a connection on
// which nothing is written, no KeepAlive is sent.
func (c *Conn) addKeepAlive(batch []wire.Message) []wire.Message {
	now := time.Now()
	if c.opts.AckLimit <= 0 || now.Sub(c.keepAliveAt) < keepAliveInterval {
		return batch
	}
	c.keepAliveAt = now
	received := c.received.Load()
	time.AfterFunc(c.opts.AckLimit, func() { c.closeIfSilent(received) })
	return append(batch, &wire.KeepAlive{})
}

// closeIfSilent closes the connection if the peer has sent no frame since the number of received ones
// was the given one.
func (c *Conn) closeIfSilent(received int64) {
	if c.received.Load() != received {
		return
	}
	select {
	case <-c.done:
		return
	default:
	}
	c.opts.Counter.Fault(faultSilent)
	c.Close(ErrSilent)
}

// limitRead sets the deadline of the next read by Options.ReadLimit.
func (c *Conn) limitRead() error {
	if c.opts.ReadLimit <= 0 {
		return nil
	}
	return c.nc.SetReadDeadline(time.Now().Add(c.opts.ReadLimit))
}
