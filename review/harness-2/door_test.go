//go:build review

package harness2

import (
	"io"
	"net"
	"sync"
	"time"
)

// door is a proxy in front of one address. While it is shut it passes nothing on, in either direction,
// and says nothing; connections that were open when it was shut stay silent for good.
type door struct {
	address, target string
	listener        net.Listener

	mu   sync.Mutex
	shut bool
	open map[net.Conn]net.Conn
}

func newDoor(address, target string) (*door, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	d := &door{address: address, target: target, listener: ln, open: make(map[net.Conn]net.Conn)}
	go d.accept()
	return d, nil
}

func (d *door) setShut(shut bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.shut = shut
	if !shut {
		for a, b := range d.open {
			_ = a.Close()
			_ = b.Close()
		}
		d.open = make(map[net.Conn]net.Conn)
	}
}

func (d *door) isShut() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.shut
}

func (d *door) accept() {
	for {
		in, err := d.listener.Accept()
		if err != nil {
			return
		}
		go d.serve(in)
	}
}

func (d *door) serve(in net.Conn) {
	for d.isShut() {
		time.Sleep(20 * time.Millisecond)
	}
	out, err := net.DialTimeout("tcp", d.target, time.Second)
	if err != nil {
		_ = in.Close()
		return
	}
	d.mu.Lock()
	d.open[in] = out
	d.mu.Unlock()
	go d.pass(in, out)
	d.pass(out, in)
	d.mu.Lock()
	delete(d.open, in)
	d.mu.Unlock()
}

// pass copies from one connection to the other. What is read while the door is shut is lost.
func (d *door) pass(from, to net.Conn) {
	buf := make([]byte, 64<<10)
	for {
		n, err := from.Read(buf)
		if d.isShut() {
			if err != nil && err != io.EOF {
				return
			}
			for d.isShut() {
				time.Sleep(20 * time.Millisecond)
			}
			_ = from.Close()
			_ = to.Close()
			return
		}
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				err = werr
			}
		}
		if err != nil {
			_ = from.Close()
			_ = to.Close()
			return
		}
	}
}
