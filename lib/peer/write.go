package peer

import (
	"time"

	"github.com/lichenfall/lichenfall/wire"
)

// write writes queued messages until the connection is closed.
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
			batch = c.takeQueue(batch)
			if len(batch) == 0 {
				break
			}
			var err error
			if buf, err = c.writeBatch(buf[:0], c.addKeepAlive(batch)); err != nil {
				c.Close(err)
				return
			}
		}
	}
}

// takeQueue returns all queued messages and replaces the queue by old, emptied. The returned messages
// count as pending until the next call.
func (c *Conn) takeQueue(old []wire.Message) []wire.Message {
	clear(old)
	c.mu.Lock()
	defer c.mu.Unlock()
	batch := c.queue
	c.writing = len(batch) > 0
	c.queue = old[:0]
	return batch
}

// writeBatch encodes the messages into buf and writes it whenever it holds writeBufferBytes, and at
// the end. It returns buf for reuse.
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
		if len(buf) >= writeBufferBytes {
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
