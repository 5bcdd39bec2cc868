package worker

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/lichenfall/lichenfall/jobs/routing"
	"github.com/lichenfall/lichenfall/lib/loop"
)

// operatorsRetryPause is the time between two attempts to read the operators' records while the
// store does not answer. It is also the longest random delay before the first attempt, so that
// not all workers read at the same time: 960 workers then make 960 of the 6,000 reads a second
// that the store can answer, and only during its outages.
const operatorsRetryPause = time.Second

// evacuationsRead holds the evacuated data centres that this process has read from the store.
type evacuationsRead struct{ evacuations routing.Evacuations }

func (e evacuationsRead) apply(w *Worker, now time.Time) {
	w.table.SetEvacuations(now, e.evacuations)
}

// updateOperatorsWatch starts watching the operators' records in the store when no connected
// coordinator has read them recently, and stops once one has. A worker that can reach the store
// thus does not start tasks in an evacuated data centre for coordinators that cannot reach it.
// It is called by the control goroutine.
func (w *Worker) updateOperatorsWatch(now time.Time) {
	stale := w.table.EvacuationsStale(now)
	if stale == (w.stopOperatorsWatch != nil) {
		return
	}
	w.log.Info("reads_operators", zap.Bool("begins", stale))
	if !stale {
		w.stopOperatorsWatch()
		w.stopOperatorsWatch = nil
		return
	}
	ctx, stop := context.WithCancel(w.ctx)
	w.stopOperatorsWatch = stop
	go func() {
		loop.Sleep(ctx, rand.N(operatorsRetryPause))
		w.store.WatchOperators(ctx, operatorsRetryPause, func(u routing.OperatorUpdate) { w.loop.Post(evacuationsRead{u.Evacuations}) })
	}()
}

// servicesLimit bounds one reading of the configuration for its services.
const servicesLimit = 2 * time.Second

// servicesRead holds the services that the operators' configuration names.
type servicesRead struct{ names []string }

func (e servicesRead) apply(w *Worker, now time.Time) {
	w.trackIdentity(func() { w.table.SetServices(now, e.names) })
}

// readServices reads once which services the operators' configuration names.
func (w *Worker) readServices() {
	ctx, stop := context.WithTimeout(w.ctx, servicesLimit)
	defer stop()
	w.store.WatchOperators(ctx, operatorsRetryPause, func(u routing.OperatorUpdate) {
		if u.Configuration != nil {
			w.loop.Post(servicesRead{u.Configuration.Services()})
		}
		stop()
	})
}
