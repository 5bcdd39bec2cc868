package peer

import (
	"time"

	"github.com/zeebo/errs"

	"github.com/lichenfall/lichenfall/wire"
)

// ErrSilent closes a connection whose peer says nothing, though it should have.
var ErrSilent = errs.New("the peer says nothing")

// keepAliveEvery is how often a KeepAlive goes along with what is written, at most. So a
// connection that has gone silent is noticed by Options.AckLimit after a message that was
// lost, and as much as this later if one was under way. Two frames of 6 bytes a second and
// link, 1.9 KB/s for a process among 80 that all keep links to all.
const keepAliveEvery = time.Second

// withKeepAlive adds a KeepAlive to what is about to be written, if one is due, and has
// the connection given up unless the peer says something within Options.AckLimit. A
// connection on which nothing is written needs none.
func (c *Conn) withKeepAlive(batch []wire.Message) []wire.Message {
	now := time.Now()
	if c.opts.AckLimit <= 0 || now.Sub(c.askedAt) < keepAliveEvery {
		return batch
	}
	c.askedAt = now
	heard := c.heard.Load()
	time.AfterFunc(c.opts.AckLimit, func() { c.giveUpSilent(heard) })
	return append(batch, &wire.KeepAlive{})
}

// giveUpSilent closes the connection if the peer has sent no frame since.
func (c *Conn) giveUpSilent(heard int64) {
	if c.heard.Load() != heard {
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

// limitRead has the next read fail that waits for longer than Options.ReadLimit.
func (c *Conn) limitRead() error {
	if c.opts.ReadLimit <= 0 {
		return nil
	}
	return c.nc.SetReadDeadline(time.Now().Add(c.opts.ReadLimit))
}
