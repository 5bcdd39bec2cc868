// Package ports finds free loopback ports for processes of one machine.
package ports

import (
	"net"

	"github.com/zeebo/errs"
)

// Any lets the system choose the port when a process listens.
const Any = "127.0.0.1:0"

// Free returns n addresses that nobody listened on a moment ago.
func Free(n int) ([]string, error) {
	out := make([]string, 0, n)
	for range n {
		ln, err := net.Listen("tcp", Any)
		if err != nil {
			return nil, errs.Wrap(err)
		}
		defer ln.Close()
		out = append(out, ln.Addr().String())
	}
	return out, nil
}
