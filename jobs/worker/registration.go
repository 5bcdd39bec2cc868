package worker

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/lichenfall/lichenfall/jobs/registration"
	"github.com/lichenfall/lichenfall/jobs/runtable"
	"github.com/lichenfall/lichenfall/jobs/store"
	"github.com/lichenfall/lichenfall/lib/loop"
)

// Bounds of the first questions of a process. Chosen, not measured.
const (
	identifyPause = 50 * time.Millisecond // between questions to the backend server
	identifyTries = 20                    // after them its heartbeat has come
	recallLimit   = 2 * time.Second       // for reading the store
)

// identify asks a backend server that was there before us which life it is, so
// that its lease is renewed before its next heartbeat; and the store what an
// earlier process here knew of that life, so that it can be used at once.
func (w *Worker) identify() {
	for range identifyTries {
		ctx, cancel := context.WithTimeout(w.halt, w.cfg.Runs.CallLimit.D())
		instance, ok := w.backend.Identify(ctx)
		cancel()
		if ok {
			w.loop.Post(backendFound{runtable.Identity{Instance: instance}})
			w.recall(instance)
			return
		}
		loop.Sleep(w.halt, identifyPause)
	}
}

// recall reads what is registered of the life.
func (w *Worker) recall(instance string) {
	ctx, cancel := context.WithTimeout(w.halt, recallLimit)
	defer cancel()
	m, found, err := w.store.Member(ctx, w.peers.Advertised())
	if err != nil {
		w.log.Warn("member_unread", zap.Error(err))
		return
	}
	if !found || m.Backend == nil || m.Backend.Instance != instance {
		return
	}
	w.loop.Post(backendFound{runtable.Identity(*m.Backend)})
}

// keepRegistered makes the process known, and each change of its backend
// server.
func (w *Worker) keepRegistered() {
	newer := func() bool { return len(w.register) > 0 }
	for {
		select {
		case <-w.halt.Done():
			return
		case b := <-w.register:
			m := store.Member{Address: w.peers.Advertised(), Role: store.RoleWorker, DataCentre: w.cfg.Box.DataCentre, Backend: b}
			registration.Keep(w.halt, w.store, m, newer, w.log)
		}
	}
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
