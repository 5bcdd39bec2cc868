package dispatch

import (
	"container/list"
	"time"

	"github.com/lichenfall/lichenfall/lib/failure"
	"github.com/lichenfall/lichenfall/submissions/job"
)

// phase is where a submission stands at this entry.
type phase uint8

const (
	claiming  phase = iota // the holder has been asked
	running                // granted to us, tasks are out
	answered               // granted to us, and the answer is final
	fetching               // granted to another entry, which has been asked
	abandoned              // asked the holder, gave up waiting; never started
)

// record is what this entry knows of one submission.
type record struct {
	sub   *job.Submission
	phase phase
	// gaveUp holds the numbers of claims given up unanswered. If the holder
	// granted one of them, nothing was started by it, and we may start now.
	gaveUp  []uint64
	waiters []Waiter
	job     *job.Job
	answer  *job.Answer
	bytes   int           // of the answer's results
	kept    *list.Element // in the keeper, when answered or abandoned
	keptAt  time.Time
}

// keeper holds the records that nobody waits for, oldest first.
type keeper struct {
	order *list.List // of *record
	bytes int
}

func newKeeper() keeper { return keeper{order: list.New()} }

// keep lets the record be found by resends until it is old or room is short.
func (c *Core) keep(now time.Time, r *record) {
	r.keptAt = now
	r.kept = c.kept.order.PushBack(r)
	c.kept.bytes += r.bytes
	for c.kept.order.Len() > c.set.KeepAnswers || c.kept.bytes > c.set.KeepBytes {
		if c.kept.order.Len() == 0 {
			return
		}
		c.discard(c.kept.order.Front().Value.(*record))
	}
}

func (c *Core) unkeep(r *record) {
	c.kept.order.Remove(r.kept)
	c.kept.bytes -= r.bytes
	r.kept = nil
}

func (c *Core) discard(r *record) {
	c.unkeep(r)
	delete(c.records, r.sub.ID)
}

// forget discards what is older than it has to be kept.
func (c *Core) forget(now time.Time) {
	for e := c.kept.order.Front(); e != nil; e = c.kept.order.Front() {
		r := e.Value.(*record)
		if now.Sub(r.keptAt) <= c.set.KeepFor {
			return
		}
		c.discard(r)
	}
}

// settle gives all who wait for the record the final answer and keeps it.
func (c *Core) settle(now time.Time, r *record, a *job.Answer) {
	r.phase = answered
	r.answer = a
	r.sub.Payloads = nil
	for _, body := range a.Results {
		r.bytes += len(body)
	}
	c.answerAll(r, a)
	c.keep(now, r)
}

// pass gives all who wait for the record an answer that is not ours to keep.
func (c *Core) pass(r *record, a *job.Answer) {
	c.answerAll(r, a)
	delete(c.records, r.sub.ID)
}

func (c *Core) answerAll(r *record, a *job.Answer) {
	for i, w := range r.waiters {
		out := a
		if i > 0 {
			out = resent(a)
		}
		c.answer(w, out)
	}
	r.waiters = nil
}

func (c *Core) answer(w Waiter, a *job.Answer) {
	if w.Peer != "" {
		c.sendFetched(w, a)
		return
	}
	c.count.Answered(kindOf(a))
	c.out.Deliveries = append(c.out.Deliveries, Delivery{Caller: w.Caller, Answer: a})
}

func kindOf(a *job.Answer) failure.Kind {
	if a.Error == nil {
		return failure.None
	}
	k, _ := failure.Parse(a.Error.Kind)
	return k
}

func resent(a *job.Answer) *job.Answer {
	out := *a
	out.Resent = true
	return &out
}

// refusal makes an answer that says of the submission what ran says.
func refusal(r *record, k failure.Kind, reason string, ran failure.Ran, after time.Duration) *job.Answer {
	e := failure.New(k, reason)
	e.RetryAfter = after
	return job.Refusal(r.sub.ID, e, ran)
}
