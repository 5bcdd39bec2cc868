package worker

import (
	"context"
	"time"

	"github.com/lichenfall/lichenfall/jobs/runtable"
	"github.com/lichenfall/lichenfall/lib/loop"
)

// Pauses between renewals of the backend server's lease.
const (
	renewGap     = 5 * time.Millisecond   // after one that was answered at once
	renewRetry   = 10 * time.Millisecond  // after one without an answer
	renewRefused = 50 * time.Millisecond  // after one whose connection was refused
	renewIdle    = 100 * time.Millisecond // while none may be made
)

// maxRenewals is how many renewals may be on their way at once. One that listens, and some of
// which the answers are lost.
const maxRenewals = 3

// keepRenewing renews the lease and listens for ends: a renewal waits at the backend
// server until there is news. The next is made when it is answered, or beside it when its
// answer is overdue.
func (w *Worker) keepRenewing() {
	free := make(chan struct{}, maxRenewals)
	for w.halt.Err() == nil {
		next := w.nextRenewal()
		if !next.ok {
			w.waitKick(renewIdle)
			continue
		}
		select {
		case free <- struct{}{}:
		case <-w.halt.Done():
			return
		}
		began := time.Now()
		result, answered := w.renewUntilOverdue(next.call, func() { <-free })
		switch {
		case !answered:
		case result == runtable.RenewConnectionRefused:
			loop.Sleep(w.halt, renewRefused)
		case result != runtable.RenewOK:
			loop.Sleep(w.halt, renewRetry)
		case time.Since(began) < renewGap:
			w.waitKick(renewGap)
		}
	}
}

// renewUntilOverdue makes a renewal, and returns when it is answered or overdue. Its
// answer is posted whenever it comes; done is called then.
func (w *Worker) renewUntilOverdue(call runtable.RenewCall, done func()) (result runtable.RenewResult, answered bool) {
	results := make(chan runtable.RenewResult, 1)
	go func() {
		defer done()
		answer := w.renew(call)
		// The answer comes first in the loop, the question for the next renewal after it.
		w.loop.Post(renewalAnswered{call, answer})
		results <- answer.Result
	}()
	overdue := time.NewTimer(call.Wait + call.OverdueAfter)
	defer overdue.Stop()
	select {
	case result := <-results:
		return result, true
	case <-overdue.C:
		w.loop.Post(renewalIsOverdue{call})
		return runtable.RenewUnanswered, false
	}
}

func (w *Worker) renew(call runtable.RenewCall) runtable.RenewAnswer {
	ctx, cancel := context.WithTimeout(w.halt, call.Wait+call.Limit)
	defer cancel()
	return w.backend.Renew(ctx, call)
}

func (w *Worker) nextRenewal() renewal {
	n, _ := loop.Call(w.loop, func(answer chan<- renewal) event { return renewalWanted{answer} })
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
