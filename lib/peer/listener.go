package peer

import (
	"net"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"github.com/lichenfall/lichenfall/lib/tcp"
	"github.com/lichenfall/lichenfall/wire"
)

// Listener accepts connections from peers.
type Listener struct {
	ln      net.Listener
	opts    Options
	hello   func() *wire.Hello
	handler Handler

	mu     sync.Mutex
	conns  map[*Conn]struct{}
	closed bool
	wg     sync.WaitGroup
}

// Listen listens on addr, an IP address and a port. Connections are accepted after Serve is called.
func Listen(addr string, opts Options) (*Listener, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, errs.Wrap(err)
	}
	return &Listener{ln: ln, opts: opts.withDefaults(), conns: make(map[*Conn]struct{})}, nil
}

// Serve starts to accept connections, until Close. hello is called for each connection and returns
// the hello to send.
func (l *Listener) Serve(hello func() *wire.Hello, h Handler) {
	l.hello = hello
	l.handler = h
	l.wg.Add(1)
	go l.accept()
}

// Addr returns the address that the listener listens on.
func (l *Listener) Addr() string { return l.ln.Addr().String() }

// Advertised returns the address at which peers reach this process: Options.Advertise, or the address
// listened on if that is empty.
func (l *Listener) Advertised() string {
	if l.opts.Advertise != "" {
		return l.opts.Advertise
	}
	return l.Addr()
}

// Close stops listening, closes all connections and waits until their handlers have returned from Down.
func (l *Listener) Close() {
	_ = l.ln.Close()
	l.mu.Lock()
	l.closed = true
	for c := range l.conns {
		c.Close(ErrClosed)
	}
	l.mu.Unlock()
	l.wg.Wait()
}

// Flush waits until the queued messages of all connections have been written, for at most d on each
// connection.
func (l *Listener) Flush(d time.Duration) {
	l.mu.Lock()
	conns := make([]*Conn, 0, len(l.conns))
	for c := range l.conns {
		conns = append(conns, c)
	}
	l.mu.Unlock()
	for _, c := range conns {
		c.Flush(d)
	}
}

func (l *Listener) accept() {
	defer l.wg.Done()
	for {
		nc, err := l.ln.Accept()
		if err != nil {
			return
		}
		// An error is ignored: the limits of Options detect a silent peer too.
		_ = tcp.SetTimeouts(nc)
		c := newConn(nc, l.opts)
		if !l.add(c) {
			c.Close(ErrClosed)
			return
		}
		go func() {
			defer l.remove(c)
			// The error is ignored: it was counted and passed to Handler.Down.
			_ = c.serve(l.hello(), l.handler)
		}()
	}
}

func (l *Listener) add(c *Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return false
	}
	l.conns[c] = struct{}{}
	l.wg.Add(1)
	return true
}

func (l *Listener) remove(c *Conn) {
	l.mu.Lock()
	delete(l.conns, c)
	l.mu.Unlock()
	l.wg.Done()
}
