// Package ports finds loopback addresses for the processes of one machine, in tests
// and local systems. It owns nothing: an address is free when it is returned, and
// nobody else takes it, since the system gives those ports to no one.
package ports

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"

	"github.com/zeebo/errs"
)

// Any lets the system choose the port when a process listens.
const Any = "127.0.0.1:0"

// Addresses of their own for each process, on ports that the system gives to
// no outgoing connection, so that nobody takes them before they are used.
const (
	firstPort  = 7100
	lastPort   = 30000 // below the ports of outgoing connections on Linux
	hostsIn8   = 250   // used values of an octet, clear of 0 and 255
	firstOctet = 10    // of the second octet, clear of what others use
	octets     = 240   // used values of the second octet
)

var next atomic.Int64

// Free returns n addresses on which nobody listens.
func Free(n int) ([]string, error) {
	out := make([]string, 0, n)
	for len(out) < n {
		addr := candidate(int(next.Add(1)))
		if addr == "" {
			return nil, errs.New("no loopback address left")
		}
		ln, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		out = append(out, addr)
		if err := ln.Close(); err != nil {
			return nil, errs.Wrap(err)
		}
	}
	return out, nil
}

// candidate returns the k-th address of this process, "" past the last one.
func candidate(k int) string {
	port := firstPort + k/hostsIn8
	if port > lastPort {
		return ""
	}
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d:%d", firstOctet+pid/hostsIn8%octets, 1+pid%hostsIn8, 1+k%hostsIn8, port)
}
