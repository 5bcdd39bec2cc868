//go:build review

package harness2

import (
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"time"
)

// gate is how one machine reaches the store: by an address of its own, at which the store may turn it
// away or leave its calls without an answer.
type gate struct {
	address string
	store   http.Handler
	mode    atomic.Value // a gateMode
}

type gateMode string

const (
	gateOpen   gateMode = ""
	gateBusy   gateMode = "busy"   // 503 to all calls
	gateSilent gateMode = "silent" // no answer, and nothing is done
	gateReset  gateMode = "reset"  // connections are reset
	gateLost   gateMode = "lost"   // a third of the writes are done and not answered
	gateSlow   gateMode = "slow"   // answers take 50 times as long
)

// lostShare is the share of writes that get no answer in gateLost.
const lostShare = 0.3

func newGate(address string, store http.Handler) (*gate, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	g := &gate{address: address, store: store}
	g.mode.Store(gateOpen)
	server := &http.Server{Handler: g}
	go func() { _ = server.Serve(ln) }()
	return g, nil
}

// ServeHTTP passes calls on to the store, as the mode allows.
func (g *gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch g.mode.Load().(gateMode) {
	case gateBusy:
		writeJSON(w, http.StatusServiceUnavailable, struct{}{})
		return
	case gateSilent:
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case gateReset:
		panic(http.ErrAbortHandler)
	case gateLost:
		if r.URL.Path == "/v1/log-append" && rand.Float64() < lostShare {
			g.store.ServeHTTP(httptest.NewRecorder(), r)
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
	case gateSlow:
		time.Sleep(200 * time.Millisecond)
	}
	g.store.ServeHTTP(w, r)
}
