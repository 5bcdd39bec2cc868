package worker

import (
	"context"
	"time"

	"github.com/lichenfall/lichenfall/jobs/runtable"
	"github.com/lichenfall/lichenfall/lib/loop"
)

// Pauses between renewals of the backend server's lease. Chosen, not measured.
const (
	renewGap   = 5 * time.Millisecond   // after one that was answered at once
	renewRetry = 10 * time.Millisecond  // after one without an answer
	renewIdle  = 100 * time.Millisecond // while none may be made
)

// keepRenewing renews the lease and listens for ends: a renewal waits at the
// backend server until there is news. One is on its way at a time.
func (w *Worker) keepRenewing() {
	for w.halt.Err() == nil {
		next := w.nextRenewal()
		if !next.ok {
			w.waitKick(renewIdle)
			continue
		}
		began := time.Now()
		answer := w.renew(next.call)
		w.loop.Post(renewalAnswered{next.call, answer})
		switch {
		case answer.Result != runtable.RenewOK:
			loop.Sleep(w.halt, renewRetry)
		case time.Since(began) < renewGap:
			w.waitKick(renewGap)
		}
	}
}

func (w *Worker) renew(call runtable.RenewCall) runtable.RenewAnswer {
	ctx, cancel := context.WithTimeout(w.halt, call.Wait+call.Limit)
	defer cancel()
	return w.backend.Renew(ctx, call)
}

func (w *Worker) nextRenewal() renewal {
	n, _ := loop.Ask(w.loop, func(answer chan<- renewal) event { return renewalWanted{answer} })
	return n // not ok after the end of the loop
}

// kickRenewal ends the present pause between renewals.
func (w *Worker) kickRenewal() {
	select {
	case w.renewNow <- struct{}{}:
	default:
	}
}

func (w *Worker) waitKick(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-w.halt.Done():
	case <-t.C:
	case <-w.renewNow:
	}
}
