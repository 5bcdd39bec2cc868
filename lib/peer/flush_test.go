package peer

import (
	"net"
	"testing"
	"time"

	"github.com/lichenfall/lichenfall/wire"
)

type silentCounter struct{}

func (silentCounter) Message(Direction, wire.Message, int) {}
func (silentCounter) Fault(string)                         {}

// TestFlushWaitsForWhatIsBeingWritten has a peer that does not read: the
// message has left the queue and is not yet written.
func TestFlushWaitsForWhatIsBeingWritten(t *testing.T) {
	ours, theirs := net.Pipe()
	defer theirs.Close()
	c := newConn(ours, Options{Counter: silentCounter{}}.withDefaults())
	defer c.Close(ErrClosed)
	go c.write()
	if err := c.Send(&wire.Ping{}); err != nil {
		t.Fatal(err)
	}
	for { // until the writer has taken it
		c.mu.Lock()
		left := len(c.queue)
		c.mu.Unlock()
		if left == 0 {
			break
		}
		time.Sleep(time.Millisecond)
	}
	flushed := make(chan struct{})
	go func() {
		c.Flush(time.Minute)
		close(flushed)
	}()
	select {
	case <-flushed:
		t.Fatal("flushed, and nothing was written")
	case <-time.After(50 * time.Millisecond):
	}
	go func() {
		buf := make([]byte, 1024)
		for {
			if _, err := theirs.Read(buf); err != nil {
				return
			}
		}
	}()
	<-flushed
}
