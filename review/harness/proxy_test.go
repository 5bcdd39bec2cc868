//go:build review

package harness

import (
	"io"
	"net"
	"sync"
)

// proxy stands before the listener of one machine. While it is cut, its connections have been reset
// and new ones are reset at once.
type proxy struct {
	ln     net.Listener
	target string
	mu     sync.Mutex
	cut    bool
	conns  map[net.Conn]struct{}
}

func newProxy(listen, target string) (*proxy, error) {
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	p := &proxy{ln: ln, target: target, conns: make(map[net.Conn]struct{})}
	go p.serve()
	return p, nil
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
	t, err := net.Dial("tcp", p.target)
	if err != nil || !p.track(c, t) {
		reset(c)
		if err == nil {
			reset(t)
		}
		return
	}
	done := make(chan struct{}, 2)
	pass := func(to, from net.Conn) {
		_, _ = io.Copy(to, from)
		done <- struct{}{}
	}
	go pass(c, t)
	go pass(t, c)
	<-done
	p.mu.Lock()
	delete(p.conns, c)
	delete(p.conns, t)
	p.mu.Unlock()
	reset(c)
	reset(t)
}

func (p *proxy) track(conns ...net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cut {
		return false
	}
	for _, c := range conns {
		p.conns[c] = struct{}{}
	}
	return true
}

// setCut cuts the machine off from those that connect to it, or heals the cut.
func (p *proxy) setCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
	if cut {
		for c := range p.conns {
			reset(c)
		}
	}
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}
