package coordinator

import (
	"context"
	"time"

	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/jobs/scheduler"
	"github.com/lichenfall/lichenfall/lib/failure"
	"github.com/lichenfall/lichenfall/lib/peer"
	"github.com/lichenfall/lichenfall/wire"
)

// call is a caller's request, ours or passed on by another coordinator.
type call struct {
	kind       wire.CallKind
	id         durable.JobID
	submission *durable.Submission
	budget     time.Duration // how long our own caller waits
	since      time.Time
	answer     chan scheduler.Reply // of our own callers
	conn       *peer.Conn           // of calls that were passed on to us
	seq        uint64               // of the caller, on conn
	number     uint64               // ours
	sentTo     string               // the coordinator it was passed on to
}

// Submit keeps the job. The answer's Failure is None when it is kept.
func (c *Coordinator) Submit(ctx context.Context, s *durable.Submission) scheduler.Reply {
	return c.ask(ctx, &call{kind: wire.CallSubmit, id: s.ID, submission: s})
}

// State tells where the job stands.
func (c *Coordinator) State(ctx context.Context, id durable.JobID) scheduler.Reply {
	return c.ask(ctx, &call{kind: wire.CallState, id: id})
}

// Cancel cancels the job.
func (c *Coordinator) Cancel(ctx context.Context, id durable.JobID) scheduler.Reply {
	return c.ask(ctx, &call{kind: wire.CallCancel, id: id})
}

func (c *Coordinator) ask(ctx context.Context, cl *call) scheduler.Reply {
	cl.answer = make(chan scheduler.Reply, 1)
	cl.since = time.Now()
	if end, ok := ctx.Deadline(); ok {
		cl.budget = time.Until(end)
	}
	c.loop.Post(event{kind: evCall, call: cl})
	select {
	case r := <-cl.answer:
		c.metrics.Call(uint8(cl.kind), r.Failure.String(), time.Since(cl.since))
		return r
	case <-ctx.Done():
	case <-c.loop.Done():
	}
	c.loop.Post(event{kind: evGone, call: cl})
	c.metrics.Call(uint8(cl.kind), failure.CommitUnknown.String(), time.Since(cl.since))
	return scheduler.Reply{ID: cl.id, Failure: failure.CommitUnknown, RetryAfter: c.cfg.Scheduler.RetryAfter.D()}
}

// take answers a call here or passes it on to the owner of the partition.
func (c *Coordinator) take(now time.Time, cl *call) {
	c.nextCall++
	cl.number = c.nextCall
	if c.core.Owns(cl.id) || c.takesBestEffort(cl) {
		c.calls[scheduler.Call(cl.number)] = cl
		c.toCore(now, cl)
		return
	}
	if cl.conn != nil || !c.forward(now, cl) {
		c.reply(now, cl, scheduler.Reply{ID: cl.id, Failure: failure.NoOwner, RetryAfter: c.cfg.Scheduler.RetryAfter.D()})
	}
}

// takesBestEffort returns whether the call is about a best-effort job that is
// to run here: one that another coordinator still has is sent there.
func (c *Coordinator) takesBestEffort(cl *call) bool {
	if !cl.bestEffort() {
		return false
	}
	_, elsewhere := c.heldBy[cl.id]
	return cl.conn != nil || c.core.Holds(cl.id) || !elsewhere
}

func (cl *call) bestEffort() bool { return cl.submission != nil && cl.submission.BestEffort }

// ownerOf returns the address of the coordinator that has the job.
func (c *Coordinator) ownerOf(cl *call) string {
	if cl.bestEffort() {
		return c.heldBy[cl.id]
	}
	return c.remote[cl.id.Partition(c.cfg.Scheduler.Partitions)].address
}

func (c *Coordinator) toCore(now time.Time, cl *call) {
	number := scheduler.Call(cl.number)
	switch cl.kind {
	case wire.CallSubmit:
		c.core.Submit(now, number, cl.submission, cl.budget)
	case wire.CallState:
		c.core.State(now, number, cl.id, cl.budget)
	case wire.CallCancel:
		c.core.Cancel(now, number, cl.id)
	}
}

// forward returns whether the call is on its way to the owner.
func (c *Coordinator) forward(now time.Time, cl *call) bool {
	address := c.ownerOf(cl)
	l := c.links[address]
	if l == nil || l.conn == nil {
		return false
	}
	m := &wire.JobCall{Seq: cl.number, Kind: uint8(cl.kind), ID: cl.id, Submission: cl.submission, BudgetMS: cl.budget.Milliseconds()}
	if l.conn.Send(m) != nil {
		return false
	}
	cl.sentTo = address
	cl.since = now
	c.forwarded[cl.number] = cl
	return true
}

// answer takes a reply of the core.
func (c *Coordinator) answer(now time.Time, r scheduler.Reply) {
	cl := c.calls[r.Call]
	if cl == nil {
		return
	}
	delete(c.calls, r.Call)
	c.reply(now, cl, r)
}

func (c *Coordinator) reply(_ time.Time, cl *call, r scheduler.Reply) {
	if cl.conn == nil {
		cl.answer <- r
		return
	}
	_ = cl.conn.Send(&wire.JobReply{Seq: cl.seq, Failure: uint8(r.Failure), State: uint8(r.State), RetryMS: r.RetryAfter.Milliseconds()})
}

// takeForwarded takes a call that another coordinator passes on.
func (c *Coordinator) takeForwarded(now time.Time, conn *peer.Conn, m *wire.JobCall) {
	c.take(now, &call{kind: wire.CallKind(m.Kind), id: m.ID, submission: m.Submission, budget: time.Duration(m.BudgetMS) * time.Millisecond, since: now, conn: conn, seq: m.Seq})
}

func (c *Coordinator) forwardAnswered(now time.Time, m *wire.JobReply) {
	cl := c.forwarded[m.Seq]
	if cl == nil {
		return
	}
	delete(c.forwarded, m.Seq)
	c.reply(now, cl, scheduler.Reply{
		ID:         cl.id,
		Failure:    failure.Kind(m.Failure),
		State:      durable.State(m.State),
		RetryAfter: time.Duration(m.RetryMS) * time.Millisecond,
	})
}

// expireForwarded answers callers whose call got no answer from the owner.
func (c *Coordinator) expireForwarded(now time.Time) {
	for _, cl := range c.forwarded {
		if !cl.bestEffort() && now.Sub(cl.since) > c.cfg.Scheduler.CallLimit.D() {
			c.failForward(now, cl)
		}
	}
}

// failForwarded answers the callers whose calls went to a lost coordinator.
func (c *Coordinator) failForwarded(now time.Time, address string) {
	for _, cl := range c.forwarded {
		if cl.sentTo == address {
			c.failForward(now, cl)
		}
	}
}

// failForward answers a call whose fate is not known: the owner may have it.
func (c *Coordinator) failForward(now time.Time, cl *call) {
	delete(c.forwarded, cl.number)
	c.log.Info("forward_unanswered")
	c.reply(now, cl, scheduler.Reply{ID: cl.id, Failure: failure.CommitUnknown, RetryAfter: c.cfg.Scheduler.RetryAfter.D()})
}

// forget drops a call whose caller has left.
func (c *Coordinator) forget(now time.Time, cl *call) {
	delete(c.calls, scheduler.Call(cl.number))
	delete(c.forwarded, cl.number)
	c.core.Abandon(now, scheduler.Call(cl.number), cl.id)
}
