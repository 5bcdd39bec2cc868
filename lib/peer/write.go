package peer

import (
	"time"

	"github.com/lichenfall/lichenfall/wire"
)

func (c *Conn) write() {
	var batch []wire.Message
	var buf []byte
	for {
		select {
		case <-c.wake:
		case <-c.done:
			return
		}
		for {
			batch = c.swap(batch)
			if len(batch) == 0 {
				break
			}
			var err error
			if buf, err = c.writeBatch(buf[:0], c.withKeepAlive(batch)); err != nil {
				c.Close(err)
				return
			}
		}
	}
}

// swap gives the writer all that waits and leaves it an empty queue. What is
// being written stays counted as pending until the next swap.
func (c *Conn) swap(old []wire.Message) []wire.Message {
	clear(old)
	c.mu.Lock()
	defer c.mu.Unlock()
	batch := c.queue
	c.writing = len(batch) > 0
	c.queue = old[:0]
	return batch
}

func (c *Conn) writeBatch(buf []byte, batch []wire.Message) ([]byte, error) {
	for _, m := range batch {
		before := len(buf)
		var err error
		if buf, err = wire.Append(buf, m); err != nil {
			return buf, err
		}
		if len(buf)-before > c.opts.MaxFrame {
			c.opts.Counter.Fault(faultOwnTooLong)
			return buf, wire.ErrTooLong
		}
		c.opts.Counter.Message(Out, m, len(buf)-before)
		if len(buf) >= bufferBytes {
			if err := c.writeAll(buf); err != nil {
				return buf, err
			}
			buf = buf[:0]
		}
	}
	return buf, c.writeAll(buf)
}

func (c *Conn) writeAll(buf []byte) error {
	if len(buf) == 0 {
		return nil
	}
	if err := c.nc.SetWriteDeadline(time.Now().Add(c.opts.WriteTimeout)); err != nil {
		return err
	}
	_, err := c.nc.Write(buf)
	return err
}
