//go:build review

package harness2

import (
	"bytes"
	"net"
	"sync"
	"time"
)

// door is a proxy in front of the peers' address of one machine. It can cut single machines off: of
// their connections it passes nothing on, in either direction, and says nothing.
type door struct {
	address, target string

	mu  sync.Mutex
	cut string // name of the machine that is cut off; empty for none
}

func newDoor(address, target string) (*door, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	d := &door{address: address, target: target}
	go func() {
		for {
			in, err := ln.Accept()
			if err != nil {
				return
			}
			go d.serve(in)
		}
	}()
	return d, nil
}

func (d *door) setCut(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cut = name
}

func (d *door) isCut(name string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return name != "" && d.cut == name
}

// namedIn returns which machine a connection is from: its first message names it.
func namedIn(hello []byte) string {
	for _, name := range []string{"coordinator-0", "coordinator-1", "coordinator-2"} {
		if bytes.Contains(hello, []byte(name)) {
			return name
		}
	}
	return ""
}

// serve passes one connection on.
func (d *door) serve(in net.Conn) {
	defer in.Close()
	out, err := net.DialTimeout("tcp", d.target, time.Second)
	if err != nil {
		return
	}
	defer out.Close()
	hello := make([]byte, 4096)
	n, err := in.Read(hello)
	if err != nil {
		return
	}
	from := namedIn(hello[:n])
	for d.isCut(from) {
		time.Sleep(10 * time.Millisecond)
	}
	if _, err := out.Write(hello[:n]); err != nil {
		return
	}
	go func() {
		d.pass(out, in, from)
		_ = in.Close()
		_ = out.Close()
	}()
	d.pass(in, out, from)
}

// pass copies from one connection to the other. What is read while the machine is cut off is lost, and
// the connection with it.
func (d *door) pass(from, to net.Conn, name string) {
	buf := make([]byte, 64<<10)
	for {
		n, err := from.Read(buf)
		if d.isCut(name) {
			for d.isCut(name) {
				time.Sleep(10 * time.Millisecond)
			}
			return
		}
		if err != nil {
			return
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}
