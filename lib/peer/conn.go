// Package peer carries wire messages between lichenfall's processes over TCP. It has connections with
// a bounded send queue, a listener, and links that reconnect. It owns the sockets and the goroutines
// that read and write them, and relies on its caller's Handler not to block for long.
package peer

import (
	"bufio"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"github.com/lichenfall/lichenfall/wire"
)

// ErrClosed is returned by Send on a closed connection.
var ErrClosed = errs.New("connection closed")

// ErrBacklog is the cause with which a connection is closed if its send queue is full, because the
// peer reads too slowly.
var ErrBacklog = errs.New("too many messages wait to be sent")

// Direction is the direction of a message.
type Direction uint8

// The two directions, as seen from this process.
const (
	In Direction = iota
	Out
)

// Counter counts messages and faults.
type Counter interface {
	// Message is called once for each frame, with its size in bytes.
	Message(d Direction, m wire.Message, bytes int)
	// Fault is called when a connection is closed because of a fault. reason is one of
	// FaultReasons.
	Fault(reason string)
}

// Handler receives the events of connections. For each connection the calls are Up, any number of
// Message, and Down, in this order and one at a time. They must not block for long.
type Handler interface {
	Up(c *Conn, h *wire.Hello)
	Message(c *Conn, m wire.Message)
	Down(c *Conn, err error)
}

// Options are the settings of connections.
type Options struct {
	MaxFrame     int           // limit on a frame in bytes; 0 means wire.DefaultMaxFrame
	Backlog      int           // limit on messages in the send queue; 0 means DefaultBacklog
	HelloTimeout time.Duration // 0 means DefaultHelloTimeout
	WriteTimeout time.Duration // 0 means DefaultWriteTimeout
	ClockBound   time.Duration // limit on the difference to a peer's clock; 0 means DefaultClockBound
	ReconnectMax time.Duration // longest pause before a peer is dialled again; 0 means DefaultReconnectMax
	// AckLimit is how long a peer that was sent a message may send nothing, before the
	// connection is closed; 0 sets no limit.
	AckLimit time.Duration
	// ReadLimit is how long a peer that has to send messages regularly may send nothing, before
	// the connection is closed; 0 sets no limit.
	ReadLimit time.Duration
	Counter   Counter
	Advertise string // address at which peers reach this process; empty for the one listened on
}

// The defaults of Options.
const (
	DefaultBacklog      = 65536                  // messages
	DefaultHelloTimeout = 2 * time.Second        // for the peer's first message
	DefaultWriteTimeout = 5 * time.Second        // for one write
	DefaultClockBound   = 500 * time.Millisecond // for boxes with synchronised clocks
	DefaultReconnectMax = 2 * time.Second        // between two dial attempts
)

// NoClockBound is the ClockBound with which clocks are not compared.
const NoClockBound time.Duration = -1

func (o Options) withDefaults() Options {
	if o.MaxFrame == 0 {
		o.MaxFrame = wire.DefaultMaxFrame
	}
	if o.Backlog == 0 {
		o.Backlog = DefaultBacklog
	}
	if o.HelloTimeout == 0 {
		o.HelloTimeout = DefaultHelloTimeout
	}
	if o.WriteTimeout == 0 {
		o.WriteTimeout = DefaultWriteTimeout
	}
	if o.ClockBound == 0 {
		o.ClockBound = DefaultClockBound
	}
	if o.ReconnectMax == 0 {
		o.ReconnectMax = DefaultReconnectMax
	}
	return o
}

// Sizes of buffers in bytes. Each connection keeps a read buffer. It is small because most messages
// are small and a process has hundreds of connections.
const (
	writeBufferBytes = 64 << 10 // written at once
	readBufferBytes  = 4 << 10  // of a connection's reader
)

// Conn is one connection to a peer. Send, Close and Flush may be called from any goroutine.
type Conn struct {
	// Name is not used by this package. A handler may set it in Up.
	Name string

	opts Options
	nc   net.Conn
	r    *bufio.Reader
	peer *wire.Hello

	mu      sync.Mutex
	queue   []wire.Message
	writing bool // the messages taken from the queue last are not written yet
	closed  bool
	cause   error

	received    atomic.Int64 // number of frames received after the hello
	keepAliveAt time.Time    // when the writer last added a KeepAlive

	wake chan struct{}
	done chan struct{}
}

func newConn(nc net.Conn, opts Options) *Conn {
	return &Conn{
		opts: opts,
		nc:   nc,
		r:    bufio.NewReaderSize(nc, readBufferBytes),
		wake: make(chan struct{}, 1),
		done: make(chan struct{}),
	}
}

// Peer returns the peer's hello; nil before Up.
func (c *Conn) Peer() *wire.Hello { return c.peer }

// Send queues m and never blocks. m must not be changed afterwards. After an error, m has not been
// and will not be sent.
func (c *Conn) Send(m wire.Message) error {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return ErrClosed
	}
	if len(c.queue) >= c.opts.Backlog {
		c.mu.Unlock()
		c.opts.Counter.Fault(faultBacklog)
		c.Close(ErrBacklog)
		return ErrBacklog
	}
	c.queue = append(c.queue, m)
	c.mu.Unlock()
	select {
	case c.wake <- struct{}{}:
	default:
	}
	return nil
}

// Close closes the connection. Down receives the cause of the first call.
func (c *Conn) Close(cause error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	c.closed = true
	c.cause = cause
	close(c.done)
	_ = c.nc.Close()
}

// Flush waits until all queued messages have been written, or the connection is closed, for at most d.
func (c *Conn) Flush(d time.Duration) {
	end := time.Now().Add(d)
	for time.Now().Before(end) && c.pending() {
		time.Sleep(time.Millisecond)
	}
}

func (c *Conn) pending() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return (len(c.queue) > 0 || c.writing) && !c.closed
}

// serve exchanges hellos and reads messages until the connection is closed. It returns the cause.
func (c *Conn) serve(hello *wire.Hello, h Handler) error {
	remote, err := c.handshake(hello)
	if err != nil {
		c.Close(err)
		return err
	}
	c.peer = remote
	h.Up(c, remote)
	go c.write()
	err = c.read(h)
	c.Close(err)
	h.Down(c, c.cause)
	return c.cause
}

func (c *Conn) read(h Handler) error {
	for {
		if err := c.limitRead(); err != nil {
			return err
		}
		m, n, err := wire.Read(c.r, c.opts.MaxFrame)
		if err != nil {
			c.countFault(err)
			return err
		}
		c.received.Add(1)
		c.opts.Counter.Message(In, m, n)
		switch m.WireKind() {
		case wire.KindHello:
			c.opts.Counter.Fault(faultSecondHello)
			return errs.New("peer sent a second hello")
		case wire.KindKeepAlive:
			if err := c.Send(&wire.KeepAliveAck{}); err != nil {
				return err
			}
		case wire.KindKeepAliveAck:
		default:
			h.Message(c, m)
		}
	}
}

func (c *Conn) countFault(err error) {
	if reason, ok := wire.FaultReason(err); ok {
		c.opts.Counter.Fault(reason)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.opts.Counter.Fault(faultSilent)
	}
}
