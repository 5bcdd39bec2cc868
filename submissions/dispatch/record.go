package dispatch

import (
	"container/list"
	"time"

	"github.com/lichenfall/lichenfall/lib/failure"
	"github.com/lichenfall/lichenfall/submissions/job"
)

// phase is the state of a submission at this entry.
type phase uint8

const (
	claiming  phase = iota // a claim is pending at the holder
	running                // granted to this entry, which runs its job
	answered               // granted to this entry, with a final answer
	fetching               // granted to another entry, whose answer is being fetched
	abandoned              // the claim was given up unanswered; nothing was started
)

// record is the state of one submission at this entry.
type record struct {
	sub   *job.Submission
	phase phase
	// gaveUp holds the sequence numbers of claims that were given up unanswered.
	// If the holder granted the ID to one of them, nothing was started by it, and
	// the submission may be started now.
	gaveUp  []uint64
	waiters []Waiter
	job     *job.Job
	answer  *job.Answer
	bytes   int           // size of the answer's results
	kept    *list.Element // in keptRecords, when answered or abandoned
	keptAt  time.Time
}

// keptRecords holds the answered and abandoned records, oldest first.
type keptRecords struct {
	order *list.List // of *record
	bytes int
}

func newKeptRecords() keptRecords { return keptRecords{order: list.New()} }

// keep retains the record for resent calls until it expires or the limits on
// the number and the bytes of answers force it out.
func (c *Core) keep(now time.Time, r *record) {
	r.keptAt = now
	r.kept = c.kept.order.PushBack(r)
	c.kept.bytes += r.bytes
	for c.kept.order.Len() > c.cfg.KeepAnswers || c.kept.bytes > c.cfg.KeepBytes {
		if c.kept.order.Len() == 0 {
			return
		}
		c.discard(c.kept.order.Front().Value.(*record))
	}
}

func (c *Core) removeKept(r *record) {
	c.kept.order.Remove(r.kept)
	c.kept.bytes -= r.bytes
	r.kept = nil
}

func (c *Core) discard(r *record) {
	c.removeKept(r)
	delete(c.records, r.sub.ID)
}

// expireKept discards the records that have been kept for longer than KeepFor.
func (c *Core) expireKept(now time.Time) {
	for e := c.kept.order.Front(); e != nil; e = c.kept.order.Front() {
		r := e.Value.(*record)
		if now.Sub(r.keptAt) <= c.cfg.KeepFor {
			return
		}
		c.discard(r)
	}
}

// settle sends the final answer to all waiters of the record and keeps it.
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

// answerAndForget sends an answer to all waiters of the record and deletes the
// record, since this entry has no final answer of the submission to keep.
func (c *Core) answerAndForget(r *record, a *job.Answer) {
	c.answerAll(r, a)
	delete(c.records, r.sub.ID)
}

func (c *Core) answerAll(r *record, a *job.Answer) {
	for i, w := range r.waiters {
		out := a
		if i > 0 {
			out = asResent(a)
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

func asResent(a *job.Answer) *job.Answer {
	out := *a
	out.Resent = true
	return &out
}

// refusal returns a failed answer to the submission of r. ran states whether the
// submission ran as far as is known; after is the suggested delay before it is
// resent, or zero.
func refusal(r *record, k failure.Kind, reason string, ran failure.Ran, after time.Duration) *job.Answer {
	e := failure.New(k, reason)
	e.RetryAfter = after
	return job.Refusal(r.sub.ID, e, ran)
}
