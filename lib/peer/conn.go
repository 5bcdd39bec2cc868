// Package peer carries wire messages between lichenfall's processes over TCP:
// connections with a bounded backlog, a listener, and links that reconnect. It
// owns the sockets and the goroutines that read and write them, and relies on its
// caller's Handler not to block for long.
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

// ErrClosed is returned by Send after the connection is down.
var ErrClosed = errs.New("connection closed")

// ErrBacklog closes a connection whose peer does not keep up.
var ErrBacklog = errs.New("too many messages wait to be sent")

// Direction says which way a message went.
type Direction uint8

// The two directions.
const (
	In Direction = iota
	Out
)

// Counter counts what passes over connections.
type Counter interface {
	// Message is called once for each frame, with its size in bytes.
	Message(d Direction, m wire.Message, bytes int)
	// Fault is called when a connection is closed for a reason of the peer's:
	// the reasons of wire.FaultReason and those of this package.
	Fault(reason string)
}

// Handler receives what happens on connections. For one connection the calls
// come in the order Up, Message (any number), Down, one at a time. It must not
// block for long.
type Handler interface {
	Up(c *Conn, h *wire.Hello)
	Message(c *Conn, m wire.Message)
	Down(c *Conn, err error)
}

// Options are the settings of connections.
type Options struct {
	MaxFrame     int           // bytes; zero means wire.DefaultMaxFrame
	Backlog      int           // messages that may wait to be sent; zero means DefaultBacklog
	HelloTimeout time.Duration // zero means DefaultHelloTimeout
	WriteTimeout time.Duration // zero means DefaultWriteTimeout
	ClockBound   time.Duration // greatest difference to a peer's clock; zero means DefaultClockBound, NoClockBound none
	ReconnectMax time.Duration // longest pause before a lost peer is dialled again; zero means DefaultReconnectMax
	// AckLimit is how long a peer that was written to may say nothing, before the
	// connection is given up; zero sets no limit.
	AckLimit time.Duration
	// ReadLimit is how long a peer that has to say something now and then may say
	// nothing; zero sets no limit.
	ReadLimit time.Duration
	Counter   Counter
	Advertise string // how peers reach this process, if not as it listens
}

// The defaults of Options.
const (
	DefaultBacklog      = 65536                  // messages
	DefaultHelloTimeout = 2 * time.Second        // for the peer's first message
	DefaultWriteTimeout = 5 * time.Second        // for one write
	DefaultClockBound   = 500 * time.Millisecond // between two boxes that keep time
	DefaultReconnectMax = 2 * time.Second        // between two dials
)

// NoClockBound is the ClockBound of peers whose clocks are not compared.
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

// Sizes of buffers. Most messages are small, and a process has hundreds of connections: the
// reader's buffer, which each keeps, is small too. In bytes.
const (
	bufferBytes = 64 << 10 // of the writer
	readBytes   = 4 << 10  // of each reader
)

// Conn is one connection to a peer. Send may be called from any goroutine.
type Conn struct {
	// Name is for the handler's own use; it may be set in Up.
	Name string

	opts Options
	nc   net.Conn
	r    *bufio.Reader
	peer *wire.Hello

	mu      sync.Mutex
	queue   []wire.Message
	writing bool // what was taken from the queue last is not yet written
	closed  bool
	cause   error

	heard   atomic.Int64 // frames that the peer has sent
	askedAt time.Time    // when the writer last sent a KeepAlive

	wake chan struct{}
	done chan struct{}
}

func newConn(nc net.Conn, opts Options) *Conn {
	return &Conn{
		opts: opts,
		nc:   nc,
		r:    bufio.NewReaderSize(nc, readBytes),
		wake: make(chan struct{}, 1),
		done: make(chan struct{}),
	}
}

// Peer returns the peer's hello. It is set from Up on.
func (c *Conn) Peer() *wire.Hello { return c.peer }

// Send queues m; it never blocks. The message must not be changed afterwards.
// An error means that m was not and will not be sent.
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

// Close closes the connection; the first cause given is what Down receives.
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

// Flush waits until all that was sent before has been written, at most for d.
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

func (c *Conn) serve(hello *wire.Hello, h Handler) error {
	theirs, err := c.handshake(hello)
	if err != nil {
		c.Close(err)
		return err
	}
	c.peer = theirs
	h.Up(c, theirs)
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
		c.heard.Add(1)
		c.opts.Counter.Message(In, m, n)
		switch m.WireKind() {
		case wire.KindHello:
			c.opts.Counter.Fault(faultSecondHello)
			return errs.New("a second hello")
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
