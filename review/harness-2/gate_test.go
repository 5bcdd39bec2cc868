//go:build review

package harness2

import (
	"net"
	"net/http"
	"sync/atomic"
)

// gate is how one machine reaches the store: by an address of its own, at which the store may turn the
// machine away with 503.
type gate struct {
	address string
	store   http.Handler
	away    atomic.Bool
}

func newGate(address string, store http.Handler) (*gate, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	g := &gate{address: address, store: store}
	server := &http.Server{Handler: g}
	go func() { _ = server.Serve(ln) }()
	return g, nil
}

// ServeHTTP passes a call on to the store, or turns it away.
func (g *gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if g.away.Load() {
		writeJSON(w, http.StatusServiceUnavailable, struct{}{})
		return
	}
	g.store.ServeHTTP(w, r)
}
