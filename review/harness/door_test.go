//go:build review

package harness

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// door is the store as one machine reaches it. The store can turn the machine away and serve the
// others, and the way from the store to the machine can be cut.
type door struct {
	name  string
	store *store

	mu     sync.Mutex
	silent bool
	// cutAt, if not nil, returns whether the one-way cut begins with the answer to the request.
	cutAt    func(r *http.Request) bool
	cut      bool
	cutSince time.Time
	healed   chan struct{} // closed when the cut heals
	read     int           // readings of lostPart that have been answered
	arrived  []string      // requests that have been carried out during the cut, by path
	// order is how long after the cut has healed the answers to requests for a path arrive.
	order map[string]time.Duration
}

// setSilent has the store give the machine no response, or serve it again.
func (d *door) setSilent(silent bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.silent = silent
	d.store.rec.add("the store gives %s no response: %v", d.name, silent)
}

// cutFrom holds up what the store sends to the machine, from the answer to the request on for which
// begins is true. What the machine sends on connections that are open then still arrives; no new
// connection is made. order is for heal.
func (d *door) cutFrom(begins func(r *http.Request) bool, order map[string]time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cutAt, d.order, d.healed, d.arrived = begins, order, make(chan struct{}), nil
}

// heal ends the cut: what was held up arrives, on each connection at a time of its own.
func (d *door) heal() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.store.rec.add("the cut between the store and %s heals", d.name)
	d.cut, d.cutAt = false, nil
	close(d.healed)
}

// reads returns whether the request reads the jobs of lostPart.
func reads(r *http.Request) bool {
	q := r.URL.Query()
	return r.URL.Path == "/v1/log-newest" && q.Get("topic") == "keyed.jobs" && q.Get("part") == strconv.Itoa(lostPart)
}

// readings returns how many readings of lostPart have been answered.
func (d *door) readings() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.read
}

// during returns how many requests for the path have been carried out during the cut.
func (d *door) during(path string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := 0
	for _, p := range d.arrived {
		if p == path {
			n++
		}
	}
	return n
}

// connMade is the key of the time at which a request's connection was made.
type connMade struct{}

func withConnMade(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, connMade{}, time.Now())
}

func (d *door) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	made, _ := r.Context().Value(connMade{}).(time.Time)
	d.mu.Lock()
	unheard := d.silent || d.cut && made.After(d.cutSince)
	d.mu.Unlock()
	if unheard {
		<-r.Context().Done() // the connection says nothing further
		panic(http.ErrAbortHandler)
	}
	held := &heldAnswer{header: make(http.Header), status: http.StatusOK}
	d.store.ServeHTTP(held, r)
	d.mu.Lock()
	if d.cutAt != nil && !d.cut && d.cutAt(r) {
		d.cut, d.cutSince = true, time.Now()
		d.store.rec.add("the way from the store to %s is cut", d.name)
	}
	silent, cut, healed, after := d.silent, d.cut, d.healed, d.order[r.URL.Path]
	if reads(r) {
		d.read++
	}
	if cut {
		d.arrived = append(d.arrived, r.URL.Path)
	}
	d.mu.Unlock()
	if silent {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if cut {
		select {
		case <-healed:
			time.Sleep(after)
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
	}
	for name, values := range held.header {
		w.Header()[name] = values
	}
	w.WriteHeader(held.status)
	_, _ = w.Write(held.body.Bytes())
}

// heldAnswer is an answer that has not been sent yet.
type heldAnswer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (h *heldAnswer) Header() http.Header         { return h.header }
func (h *heldAnswer) WriteHeader(status int)      { h.status = status }
func (h *heldAnswer) Write(b []byte) (int, error) { return h.body.Write(b) }
