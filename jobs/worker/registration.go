package worker

import (
	"context"
	"time"

	"github.com/lichenfall/lichenfall/jobs/registration"
	"github.com/lichenfall/lichenfall/jobs/runtable"
	"github.com/lichenfall/lichenfall/jobs/store"
	"github.com/lichenfall/lichenfall/lib/loop"
)

// Bounds of the first questions of a process. Chosen, not measured.
const (
	identifyPause = 50 * time.Millisecond // between questions to the backend server
	identifyTries = 20                    // after them its heartbeat has come
)

// identify asks a backend server that was there before us which life it is, so
// that its lease is renewed before its next heartbeat; and the store what an
// earlier process here knew of that life, so that it can be used at once.
func (w *Worker) identify(k *registration.Keeper) {
	for range identifyTries {
		ctx, cancel := context.WithTimeout(w.halt, w.cfg.Runs.CallLimit.D())
		life, ok := w.backend.Identify(ctx)
		cancel()
		if ok {
			w.loop.Post(backendFound{runtable.Identity{Instance: life.Instance, Born: life.Born}})
			w.recall(k, life)
			return
		}
		loop.Sleep(w.halt, identifyPause)
	}
}

// recall uses what is registered of the life.
func (w *Worker) recall(k *registration.Keeper, life runtable.Life) {
	m, found, err := k.Recall(w.halt)
	if err != nil || !found || m.Backend == nil {
		return
	}
	id := runtable.Identity(*m.Backend)
	if id.Life() == life {
		w.loop.Post(backendFound{id})
	}
}

// keepRegistered makes the process known as soon as its backend server is, and each
// change of that.
func (w *Worker) keepRegistered() {
	k := registration.NewKeeper(w.store, w.peers.Advertised(), w.log)
	w.identify(k)
	newer := func() bool { return len(w.register) > 0 }
	for {
		select {
		case <-w.halt.Done():
			return
		case b := <-w.register:
			m := store.Member{Address: w.peers.Advertised(), Role: store.RoleWorker, DataCentre: w.cfg.Box.DataCentre, Backend: b}
			k.Keep(w.halt, m, newer)
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
