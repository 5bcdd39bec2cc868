package coordinator

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

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
	cl.since = c.clock.Now()
	if end, ok := ctx.Deadline(); ok {
		cl.budget = time.Until(end)
	}
	c.loop.Post(called{cl})
	select {
	case r := <-cl.answer:
		c.metrics.Call(uint8(cl.kind), r.Failure.String(), time.Since(cl.since))
		return r
	case <-ctx.Done():
	case <-c.loop.Done():
	}
	c.loop.Post(callerLeft{cl})
	c.metrics.Call(uint8(cl.kind), failure.CommitUnknown.String(), time.Since(cl.since))
	return c.refusal(cl, failure.CommitUnknown)
}

// refusal returns the reply to a call that has failed here.
func (c *Coordinator) refusal(cl *call, kind failure.Kind) scheduler.Reply {
	return scheduler.Reply{ID: cl.id, Failure: kind, RetryAfter: c.cfg.Scheduler.RetryAfter.D()}
}

// handleCall answers a call here or passes it on to who has the job.
func (c *Coordinator) handleCall(now time.Time, cl *call) {
	c.nextCall++
	cl.number = c.nextCall
	if cl.bestEffort() {
		c.handleBestEffort(now, cl)
		return
	}
	if c.core.Owns(cl.id) {
		c.toCore(now, cl)
		return
	}
	if cl.conn != nil || !c.forward(now, cl, c.remote[cl.id.Partition(c.cfg.Scheduler.Partitions)].address) {
		c.reply(cl, c.refusal(cl, failure.NoOwner))
	}
}

// handleBestEffort takes a best-effort job here, unless another coordinator has it, or may have it.
// One that was passed on to us and is here no more may have been long on its way.
func (c *Coordinator) handleBestEffort(now time.Time, cl *call) {
	if c.core.HasBestEffort(cl.id) {
		c.toCore(now, cl)
		return
	}
	if cl.conn != nil || c.core.Ending(cl.id) {
		c.refuseDuplicate(cl, "ended_here")
		return
	}
	if !c.copies.Ready(now) {
		c.deferCall(cl)
		return
	}
	if c.lateness.MayBeOlder(now, c.copies.Settings().AnnounceDeadline()) {
		c.refuseDuplicate(cl, "was_late")
		return
	}
	address, held := c.copies.Holder(now, cl.id)
	switch {
	case !held:
		c.toCore(now, cl)
	case !c.forward(now, cl, address):
		c.refuseDuplicate(cl, "holder_lost")
	}
}

// refuseDuplicate does not take a best-effort job that may be a copy of one that runs elsewhere: its
// fate is not known.
func (c *Coordinator) refuseDuplicate(cl *call, why string) {
	c.metrics.Decision(copyUnsure)
	c.log.Info(copyUnsure, zap.String("job", string(cl.id)), zap.String("reason", why))
	c.reply(cl, c.refusal(cl, failure.CommitUnknown))
}

// deferCall keeps a best-effort job until the others have told what they have. While it is not
// known who they are, nobody knows when that will be.
func (c *Coordinator) deferCall(cl *call) {
	if !c.copies.InitialPeersKnown() || len(c.early) >= c.cfg.Scheduler.MaxJobs {
		c.refuseDuplicate(cl, "just_begun")
		return
	}
	c.early = append(c.early, cl)
}

// handleDeferred takes the jobs that came before the others had told what they have.
func (c *Coordinator) handleDeferred(now time.Time) {
	if len(c.early) == 0 || !c.copies.Ready(now) {
		return
	}
	early := c.early
	c.early = nil
	for _, cl := range early {
		c.handleBestEffort(now, cl)
	}
}

func (cl *call) bestEffort() bool { return cl.submission != nil && cl.submission.BestEffort }

func (c *Coordinator) toCore(now time.Time, cl *call) {
	number := scheduler.Call(cl.number)
	c.calls[number] = cl
	switch cl.kind {
	case wire.CallSubmit:
		c.core.Submit(now, number, cl.submission, cl.budget)
		c.recordSentTime(now, cl)
	case wire.CallState:
		c.core.State(now, number, cl.id, cl.budget)
	case wire.CallCancel:
		c.core.Cancel(now, number, cl.id)
	}
}

// recordSentTime tells the core when the call may have been sent, and has the others told soon of a job
// that is old enough.
func (c *Coordinator) recordSentTime(now time.Time, cl *call) {
	sent := c.lateness.EarliestSent(now, cl.since)
	c.core.SentBefore(cl.id, sent)
	if now.Sub(sent) >= c.copies.Settings().AnnounceAfter() {
		c.announcedAt = time.Time{}
	}
}

// answer takes a reply of the core.
func (c *Coordinator) answer(r scheduler.Reply) {
	cl := c.calls[r.Call]
	if cl == nil {
		return
	}
	delete(c.calls, r.Call)
	c.reply(cl, r)
}

// reply answers a caller of ours, or the coordinator that passed the call on. One
// that is gone sends the call again.
func (c *Coordinator) reply(cl *call, r scheduler.Reply) {
	if cl.conn == nil {
		cl.answer <- r
		return
	}
	m := &wire.JobReply{Seq: cl.seq, Failure: uint8(r.Failure), State: uint8(r.State), RetryMS: r.RetryAfter.Milliseconds()}
	if err := cl.conn.Send(m); err != nil {
		c.log.Info("reply_unsent", zap.String("job", string(cl.id)), zap.String("peer", cl.conn.Peer().Address), zap.Error(err))
	}
}

// forget drops a call whose caller has left.
func (c *Coordinator) forget(now time.Time, cl *call) {
	c.early = slices.DeleteFunc(c.early, func(e *call) bool { return e == cl })
	delete(c.calls, scheduler.Call(cl.number))
	delete(c.forwarded, cl.number)
	c.core.Abandon(now, scheduler.Call(cl.number), cl.id)
}
