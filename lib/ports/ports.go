// Package ports finds free loopback addresses for processes on one box, in tests and local systems.
// It reserves nothing: an address is free when it is returned, and stays free because the operating
// system does not use these ports for outgoing connections and each process has addresses of its
// own. It relies on Linux, where all of 127.0.0.0/8 is local.
package ports

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"

	"github.com/zeebo/errs"
)

// Any is a loopback address for which the operating system chooses the port.
const Any = "127.0.0.1:0"

// Ranges of the addresses. The octets differ between processes; the ports are ones that the operating
// system does not use for outgoing connections, so that nothing takes an address before it is used.
const (
	firstPort         = 7100
	lastPort          = 30000 // below the ports of outgoing connections on Linux
	octetValues       = 250   // number of values in use of an octet, without 0 and 255
	firstOctet        = 10    // first value of the second octet; lower ones may be in use by other programs
	secondOctetValues = 240   // number of values in use of the second octet
)

var next atomic.Int64

// Free returns n addresses on which no process listens.
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

// candidate returns the k-th address of this process, or "" after the last one.
func candidate(k int) string {
	port := firstPort + k/octetValues
	if port > lastPort {
		return ""
	}
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d:%d", firstOctet+pid/octetValues%secondOctetValues, 1+pid%octetValues, 1+k%octetValues, port)
}
