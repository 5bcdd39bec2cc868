package peer

import (
	"net"
	"testing"
	"time"

	"github.com/lichenfall/lichenfall/wire"
)

type noCounter struct{}

func (noCounter) Message(Direction, wire.Message, int) {}
func (noCounter) Fault(string)                         {}

// TestFlushWaitsForWhatIsBeingWritten checks that Flush waits for a message that has been taken from
// the queue but is not written yet, since the peer does not read.
func TestFlushWaitsForWhatIsBeingWritten(t *testing.T) {
	local, remote := net.Pipe()
	defer remote.Close()
	c := newConn(local, Options{Counter: noCounter{}}.withDefaults())
	defer c.Close(ErrClosed)
	go c.write()
	if err := c.Send(&wire.Ping{}); err != nil {
		t.Fatal(err)
	}
	for { // until the writer has taken the message
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
		t.Fatal("Flush returned before the message was written")
	case <-time.After(50 * time.Millisecond):
	}
	go func() {
		buf := make([]byte, 1024)
		for {
			if _, err := remote.Read(buf); err != nil {
				return
			}
		}
	}()
	<-flushed
}
