package worker

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/lichenfall/lichenfall/jobs/routing"
	"github.com/lichenfall/lichenfall/lib/loop"
)

// operatorsPause is the time between two readings of the operators' records while the store
// does not answer, and the most by which the first is put off, so that not all workers ask
// at once: 960 workers then make 960 of the store's 6,000 readings a
// second, in its outages alone.
const operatorsPause = time.Second

// evacuationsRead holds the evacuated data centres as this process has read them itself.
type evacuationsRead struct{ evacuations routing.Evacuations }

func (e evacuationsRead) apply(w *Worker, now time.Time) {
	w.table.SetEvacuations(now, e.evacuations)
}

// readOperators reads the operators' records as long as no coordinator here has had word of
// them, so that this worker, which can reach the store, does not obey coordinators that
// cannot. It is called by the control goroutine.
func (w *Worker) readOperators(now time.Time) {
	unheard := w.table.EvacuationsStale(now)
	if unheard == (w.stopReading != nil) {
		return
	}
	w.log.Info("reads_operators", zap.Bool("begins", unheard))
	if !unheard {
		w.stopReading()
		w.stopReading = nil
		return
	}
	ctx, stop := context.WithCancel(w.halt)
	w.stopReading = stop
	go func() {
		loop.Sleep(ctx, rand.N(operatorsPause))
		w.store.WatchOperators(ctx, operatorsPause, func(n routing.OperatorUpdate) { w.loop.Post(evacuationsRead{n.Evacuations}) })
	}()
}
