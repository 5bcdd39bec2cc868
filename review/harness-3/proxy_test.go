//go:build review

package harness3

import (
	"io"
	"net"
	"regexp"
	"sync"
	"time"
)

// proxy forwards connections to the listener of one process. While the way from a front is cut it holds the
// bytes of both directions, and delivers them afterwards, as a network does whose packets are sent again;
// also those of a connection that its sender has closed meanwhile. The fronts alone make connections to
// processes of the project; a connection begins with the name of the box that makes it.
type proxy struct {
	target string
	ln     net.Listener

	mu  sync.Mutex
	cut map[string]bool // by front
}

// frontName finds the name of a front in the first bytes of a connection.
var frontName = regexp.MustCompile(`front-[0-9]`)

func newProxy(listen, target string) (*proxy, error) {
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	p := &proxy{target: target, ln: ln, cut: make(map[string]bool)}
	go p.serve()
	return p, nil
}

func (p *proxy) close() { _ = p.ln.Close() }

// setCut cuts the way from the fronts, or heals it.
func (p *proxy) setCut(cut bool, fronts ...string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, front := range fronts {
		p.cut[front] = cut
	}
}

func (p *proxy) isCut(front string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cut[front]
}

// awaitLink waits until the way from the front works.
func (p *proxy) awaitLink(front string) {
	for p.isCut(front) {
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
	first := make([]byte, bufferBytes)
	n, err := c.Read(first)
	if err != nil {
		return
	}
	front := string(frontName.Find(first[:n]))
	p.awaitLink(front)
	t, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer t.Close()
	if _, err := t.Write(first[:n]); err != nil {
		return
	}
	done := make(chan struct{}, 2)
	go func() { p.relay(t, c, front); done <- struct{}{} }()
	go func() { p.relay(c, t, front); done <- struct{}{} }()
	<-done
	<-done
}

const bufferBytes = 64 << 10

// relay copies the bytes of one direction, and then its end.
func (p *proxy) relay(to, from net.Conn, front string) {
	buf := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buf)
		p.awaitLink(front)
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
