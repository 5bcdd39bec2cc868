package worker

import (
	"context"
	"time"

	"github.com/lichenfall/lichenfall/jobs/store"
	"github.com/lichenfall/lichenfall/lib/loop"
)

// Bounds of the first questions of a process.
const (
	identifyPause = 50 * time.Millisecond // between questions to the backend server
	identifyTries = 20                    // after them its heartbeat has come
)

// identify asks a backend server that was there before us which life it is, so
// that its lease is renewed before its next heartbeat.
func (w *Worker) identify() {
	for range identifyTries {
		ctx, cancel := context.WithTimeout(w.halt, w.cfg.Runs.CallLimit.D())
		life, ok := w.backend.Identify(ctx)
		cancel()
		if ok {
			w.loop.Post(backendFound{life})
			return
		}
		loop.Sleep(w.halt, identifyPause)
	}
}

// keepRegistered makes the process known as soon as its backend server is, and each
// change of that.
func (w *Worker) keepRegistered() {
	w.identify()
	newer := func() bool { return len(w.register) > 0 }
	for {
		select {
		case <-w.halt.Done():
			return
		case b := <-w.register:
			w.registrar.Register(w.halt, w.member(b), newer)
		}
	}
}

// member returns the record of the process with its backend server.
func (w *Worker) member(b *store.Backend) store.Member {
	return store.Member{Address: w.peers.Advertised(), Role: store.RoleWorker, DataCentre: w.cfg.Box.DataCentre, Backend: b}
}

// wantRegistered registers what is known of the backend server; a newer want
// replaces one that waits. It is called by the control goroutine.
func (w *Worker) wantRegistered(b *store.Backend) {
	select {
	case <-w.register:
	default:
	}
	w.register <- b
}
