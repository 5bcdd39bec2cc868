package peer_test

import (
	"net"
	"sync"

	. "github.com/onsi/gomega"
)

// relay forwards connections to a target. It can make the open connections silent permanently, without
// a reset, as a network that drops all packets does.
type relay struct {
	target string
	ln     net.Listener

	mu     sync.Mutex
	conns  []net.Conn
	silent chan struct{} // closed when the open connections become silent
	wg     sync.WaitGroup
}

func newRelay(target string) *relay {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	r := &relay{target: target, ln: ln, silent: make(chan struct{})}
	r.wg.Add(1)
	go r.accept()
	return r
}

func (r *relay) address() string { return r.ln.Addr().String() }

func (r *relay) accept() {
	defer r.wg.Done()
	for {
		c, err := r.ln.Accept()
		if err != nil {
			return
		}
		t, err := net.Dial("tcp", r.target)
		if err != nil {
			_ = c.Close()
			continue
		}
		r.mu.Lock()
		r.conns = append(r.conns, c, t)
		silent := r.silent
		r.mu.Unlock()
		r.wg.Add(2)
		go r.pass(t, c, silent)
		go r.pass(c, t, silent)
	}
}

// pass forwards bytes in one direction. It does not forward the end of a silent connection either.
func (r *relay) pass(to, from net.Conn, silent <-chan struct{}) {
	defer r.wg.Done()
	buf := make([]byte, 4096)
	for {
		n, err := from.Read(buf)
		select {
		case <-silent:
			if err != nil {
				return
			}
			continue
		default:
		}
		if _, werr := to.Write(buf[:n]); err != nil || werr != nil {
			_ = to.Close()
			return
		}
	}
}

// silence makes all open connections silent; connections made later work.
func (r *relay) silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.silent)
	r.silent = make(chan struct{})
}

func (r *relay) close() {
	_ = r.ln.Close()
	r.mu.Lock()
	for _, c := range r.conns {
		_ = c.Close()
	}
	r.mu.Unlock()
	r.wg.Wait()
}
