package worker

import (
	"context"
	"time"

	"github.com/lichenfall/lichenfall/jobs/store"
	"github.com/lichenfall/lichenfall/lib/loop"
)

// Bounds of the attempts to identify the backend server when the process starts.
const (
	identifyPause = 50 * time.Millisecond // between two attempts
	identifyTries = 20                    // the backend server has sent a heartbeat by then
)

// identify asks a backend server that was running before this process started for its
// incarnation, so that its lease is renewed before its next heartbeat.
func (w *Worker) identify() {
	for range identifyTries {
		ctx, cancel := context.WithTimeout(w.ctx, w.cfg.Runs.CallLimit.D())
		incarnation, ok := w.backend.Identify(ctx)
		cancel()
		if ok {
			w.loop.Post(backendIdentified{incarnation})
			return
		}
		loop.Sleep(w.ctx, identifyPause)
	}
}

// keepRegistered writes the process's record to the store once its backend server is known, and
// again after each change of the backend server's state.
func (w *Worker) keepRegistered() {
	w.identify()
	newer := func() bool { return len(w.register) > 0 }
	for {
		select {
		case <-w.ctx.Done():
			return
		case b := <-w.register:
			w.registrar.Register(w.ctx, w.member(b), newer)
		}
	}
}

// member returns the process's record in the store, with the given backend server.
func (w *Worker) member(b *store.Backend) store.Member {
	return store.Member{Address: w.peers.Advertised(), Role: store.RoleWorker, DataCentre: w.cfg.Box.DataCentre, Backend: b}
}

// queueRegistration queues the state of the backend server for registration, in place of an
// older state that still waits. It is called by the control goroutine.
func (w *Worker) queueRegistration(b *store.Backend) {
	select {
	case <-w.register:
	default:
	}
	w.register <- b
}
