//go:build review

package harness3

import (
	"io"
	"net"
	"sync"
	"time"
)

// proxy forwards connections to the listener of one process. While it is cut it holds the bytes of both
// directions, and delivers them afterwards, as a network does whose packets are sent again; also those of
// a connection that its sender has closed meanwhile.
type proxy struct {
	target string
	ln     net.Listener

	mu  sync.Mutex
	cut bool
}

func newProxy(listen, target string) (*proxy, error) {
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	p := &proxy{target: target, ln: ln}
	go p.serve()
	return p, nil
}

func (p *proxy) close() { _ = p.ln.Close() }

func (p *proxy) setCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
}

func (p *proxy) isCut() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cut
}

// awaitLink waits until the network works.
func (p *proxy) awaitLink() {
	for p.isCut() {
		time.Sleep(2 * time.Millisecond)
	}
}

func (p *proxy) serve() {
	for {
		c, err := p.ln.Accept()
		if err != nil {
			return
		}
		go p.forward(c)
	}
}

func (p *proxy) forward(c net.Conn) {
	defer c.Close()
	p.awaitLink()
	t, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer t.Close()
	done := make(chan struct{}, 2)
	go func() { p.relay(t, c); done <- struct{}{} }()
	go func() { p.relay(c, t); done <- struct{}{} }()
	<-done
	<-done
}

// relay copies the bytes of one direction, and then its end.
func (p *proxy) relay(to, from net.Conn) {
	buf := make([]byte, 64<<10)
	for {
		n, err := from.Read(buf)
		p.awaitLink()
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				_ = from.Close()
				return
			}
		}
		if err == io.EOF {
			if tc, ok := to.(*net.TCPConn); ok {
				_ = tc.CloseWrite()
			}
			return
		}
		if err != nil {
			_ = to.Close()
			return
		}
	}
}
