package worker

import (
	"context"
	"time"

	"github.com/lichenfall/lichenfall/jobs/runtable"
	"github.com/lichenfall/lichenfall/lib/loop"
)

// Pauses between renewals of the backend server's lease.
const (
	fastAnswerPause = 5 * time.Millisecond   // after one that was answered faster than this
	unansweredPause = 10 * time.Millisecond  // after one that was not answered or not accepted
	refusedPause    = 50 * time.Millisecond  // after one whose connection was refused
	idlePause       = 100 * time.Millisecond // while none may be made
)

// maxRenewals bounds the renewals in flight: one that waits for ends of runs, and some whose
// answers are overdue, perhaps lost.
const maxRenewals = 3

// keepRenewing renews the lease and receives the ends of runs by long polling: the backend
// server answers a renewal when there is an end to report, or when the wait that the renewal
// allows is over. The next renewal is made after the answer, or in parallel when the answer is
// overdue.
func (w *Worker) keepRenewing() {
	slots := make(chan struct{}, maxRenewals)
	for w.ctx.Err() == nil {
		next := w.nextRenewal()
		if !next.ok {
			w.pauseOrRenewSoon(idlePause)
			continue
		}
		select {
		case slots <- struct{}{}:
		case <-w.ctx.Done():
			return
		}
		began := time.Now()
		result, answered := w.renewUntilOverdue(next.call, func() { <-slots })
		switch {
		case !answered:
		case result == runtable.RenewConnectionRefused:
			loop.Sleep(w.ctx, refusedPause)
		case result != runtable.RenewOK:
			loop.Sleep(w.ctx, unansweredPause)
		case time.Since(began) < fastAnswerPause:
			w.pauseOrRenewSoon(fastAnswerPause)
		}
	}
}

// renewUntilOverdue makes a renewal and returns when it is answered or overdue. Its result is
// posted whenever it arrives, and done is called then.
func (w *Worker) renewUntilOverdue(call runtable.RenewCall, done func()) (result runtable.RenewResult, answered bool) {
	results := make(chan runtable.RenewResult, 1)
	go func() {
		defer done()
		answer := w.renew(call)
		// Post the answer before the caller requests the next renewal, so that the table handles
		// them in this order.
		w.loop.Post(renewalAnswered{call, answer})
		results <- answer.Result
	}()
	overdue := time.NewTimer(call.Wait + call.OverdueAfter)
	defer overdue.Stop()
	select {
	case result := <-results:
		return result, true
	case <-overdue.C:
		w.loop.Post(renewalOverdue{call})
		return runtable.RenewUnanswered, false
	}
}

func (w *Worker) renew(call runtable.RenewCall) runtable.RenewAnswer {
	ctx, cancel := context.WithTimeout(w.ctx, call.Wait+call.Limit)
	defer cancel()
	return w.backend.Renew(ctx, call)
}

func (w *Worker) nextRenewal() renewal {
	n, _ := loop.Call(w.loop, func(answer chan<- renewal) event { return renewalRequested{answer} })
	return n // ok is false after the loop has ended
}

// renewSoon ends the current call of pauseOrRenewSoon, or else the next one.
func (w *Worker) renewSoon() {
	select {
	case w.renewNow <- struct{}{}:
	default:
	}
}

// pauseOrRenewSoon waits for the duration, or until renewSoon or Close is called.
func (w *Worker) pauseOrRenewSoon(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-w.ctx.Done():
	case <-t.C:
	case <-w.renewNow:
	}
}
