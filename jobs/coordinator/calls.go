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

// call is a request about a job, from a caller of ours or forwarded by another coordinator.
type call struct {
	kind        wire.CallKind
	id          durable.JobID
	submission  *durable.Submission
	budget      time.Duration        // how long the caller waits; 0 if that is not known
	since       time.Time            // when it was received, or forwarded
	answer      chan scheduler.Reply // for a caller of ours
	conn        *peer.Conn           // from the coordinator that forwarded it to us, if any
	seq         uint64               // of that coordinator, on conn
	number      uint64               // unique in this process
	forwardedTo string               // address of the coordinator that it was forwarded to
	search      *search              // of the best-effort job that it cancels; nil before
	parent      *call                // whose search it is part of; else nil
}

// Submit submits a job and returns the reply once the store has it, for a best-effort job once it
// has ended. The reply's Failure is None on success. If ctx or the coordinator ends before, it is
// CommitUnknown: the job may or may not have been accepted.
func (c *Coordinator) Submit(ctx context.Context, s *durable.Submission) scheduler.Reply {
	return c.do(ctx, &call{kind: wire.CallSubmit, id: s.ID, submission: s})
}

// State returns the state of a durable job, or a Failure.
func (c *Coordinator) State(ctx context.Context, id durable.JobID) scheduler.Reply {
	return c.do(ctx, &call{kind: wire.CallState, id: id})
}

// Cancel cancels a job, and returns once the store has that. For a best-effort job, it returns once the
// coordinator that has the job starts nothing of it any more.
func (c *Coordinator) Cancel(ctx context.Context, id durable.JobID) scheduler.Reply {
	return c.do(ctx, &call{kind: wire.CallCancel, id: id})
}

// do posts the call to the control goroutine and waits for the reply.
func (c *Coordinator) do(ctx context.Context, cl *call) scheduler.Reply {
	cl.answer = make(chan scheduler.Reply, 1)
	cl.since = c.clock.Now()
	if end, ok := ctx.Deadline(); ok {
		cl.budget = time.Until(end)
	}
	c.loop.Post(callReceived{cl})
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

// refusal returns a reply with the failure and the configured time after which to retry.
func (c *Coordinator) refusal(cl *call, kind failure.Kind) scheduler.Reply {
	return scheduler.Reply{ID: cl.id, Failure: kind, RetryAfter: c.cfg.Scheduler.RetryAfter.D()}
}

// handleCall passes a call to the core, or forwards it to the coordinator that has the job. A call
// that was forwarded to us is not forwarded again.
func (c *Coordinator) handleCall(now time.Time, cl *call) {
	c.lastCall++
	cl.number = c.lastCall
	if cl.bestEffort() {
		c.handleBestEffort(now, cl)
		return
	}
	if cl.kind == wire.CallCancelBestEffort || cl.kind == wire.CallCancel && c.hasBestEffort(cl.id) {
		c.cancelBestEffort(now, cl)
		return
	}
	if c.core.Owns(cl.id) {
		c.passToCore(now, cl)
		return
	}
	if cl.conn != nil || !c.forward(now, cl, c.routes[cl.id.Partition(c.cfg.Scheduler.Partitions)].address) {
		c.reply(cl, c.refusal(cl, failure.NoOwner))
	}
}

// handleBestEffort runs a best-effort job here, unless another coordinator holds it or may hold it.
// A forwarded call for a job that is not here is refused: it may have been delayed until after
// the job's end. So is a call that may have waited through a long stall, since its caller may have
// sent it again elsewhere.
func (c *Coordinator) handleBestEffort(now time.Time, cl *call) {
	if c.core.HasBestEffort(cl.id) {
		c.passToCore(now, cl)
		return
	}
	if cl.conn != nil || c.core.HasOutstandingRuns(cl.id) {
		c.refuseDuplicate(cl, "ended_here")
		return
	}
	if !c.dedup.Ready(now) {
		c.deferCall(cl)
		return
	}
	if c.stalls.MayBeOlder(now, c.dedup.Settings().AnnounceDeadline()) {
		c.refuseDuplicate(cl, "was_late")
		return
	}
	address, held := c.dedup.Holder(now, cl.id)
	switch {
	case !held:
		c.passToCore(now, cl)
	case !c.forward(now, cl, address):
		c.refuseDuplicate(cl, "holder_lost")
	}
}

// refuseDuplicate refuses a call for a best-effort job that may run elsewhere or may have run, so
// that its outcome is not known.
func (c *Coordinator) refuseDuplicate(cl *call, reason string) {
	c.metrics.Decision(duplicateRefused)
	c.log.Info(duplicateRefused, zap.String("job", string(cl.id)), zap.String("reason", reason))
	c.reply(cl, c.refusal(cl, failure.CommitUnknown))
}

// deferCall keeps a call until dedup is ready. It refuses the call while the other coordinators are
// not known, since dedup then waits without a limit, and when too many calls are deferred.
func (c *Coordinator) deferCall(cl *call) {
	if !c.dedup.InitialPeersKnown() || len(c.deferred) >= c.cfg.Scheduler.MaxJobs {
		c.refuseDuplicate(cl, "just_begun")
		return
	}
	c.deferred = append(c.deferred, cl)
}

// handleDeferred handles the deferred calls once dedup is ready.
func (c *Coordinator) handleDeferred(now time.Time) {
	if len(c.deferred) == 0 || !c.dedup.Ready(now) {
		return
	}
	deferred := c.deferred
	c.deferred = nil
	for _, cl := range deferred {
		c.handleBestEffort(now, cl)
	}
}

func (cl *call) bestEffort() bool { return cl.submission != nil && cl.submission.BestEffort }

func (c *Coordinator) passToCore(now time.Time, cl *call) {
	number := scheduler.Call(cl.number)
	c.calls[number] = cl
	switch cl.kind {
	case wire.CallSubmit:
		c.submit(now, number, cl)
	case wire.CallState:
		c.core.State(now, number, cl.id, cl.budget)
	case wire.CallCancel:
		c.core.Cancel(now, number, cl.id)
	}
}

// submit passes a submission to the core. A best-effort job waits there until it is claimed.
func (c *Coordinator) submit(now time.Time, number scheduler.Call, cl *call) {
	if !cl.bestEffort() {
		c.core.Submit(now, number, cl.submission, cl.budget)
		return
	}
	c.core.SubmitUnclaimed(now, number, cl.submission, cl.budget)
	c.recordSentTime(now, cl)
	if c.core.Unclaimed(cl.id) {
		c.claims.Claim(now, cl.id)
	}
}

// recordSentTime sets the earliest time at which the call may have been sent, from which the core
// counts the job's age. A job that is already due to be announced is announced at once.
func (c *Coordinator) recordSentTime(now time.Time, cl *call) {
	sent := c.stalls.EarliestSent(now, cl.since)
	c.core.SetEarliestSent(cl.id, sent)
	if now.Sub(sent) >= c.dedup.Settings().AnnounceAfter() {
		c.announcedAt = time.Time{}
	}
}

// handleCoreReply sends a reply of the core to the caller, if it still waits.
func (c *Coordinator) handleCoreReply(r scheduler.Reply) {
	cl := c.calls[r.Call]
	if cl == nil {
		return
	}
	delete(c.calls, r.Call)
	c.reply(cl, r)
}

// reply sends a reply to a caller of ours, or to the coordinator that forwarded the call. If that
// coordinator has gone, the caller sends the call again.
func (c *Coordinator) reply(cl *call, r scheduler.Reply) {
	switch {
	case cl.parent != nil:
		c.searched(cl, r)
		return
	case cl.cancelsUnknown(r):
		c.searchBestEffort(cl, r)
		return
	case cl.conn == nil:
		cl.answer <- r
		return
	}
	m := &wire.JobReply{Seq: cl.seq, Failure: uint8(r.Failure), State: uint8(r.State), RetryMS: r.RetryAfter.Milliseconds()}
	if err := cl.conn.Send(m); err != nil {
		c.log.Info("reply_unsent", zap.String("job", string(cl.id)), zap.String("peer", cl.conn.Peer().Address), zap.Error(err))
	}
}

// dropCall removes a call whose caller no longer waits.
func (c *Coordinator) dropCall(now time.Time, cl *call) {
	c.deferred = slices.DeleteFunc(c.deferred, func(d *call) bool { return d == cl })
	delete(c.calls, scheduler.Call(cl.number))
	delete(c.forwarded, cl.number)
	c.core.Abandon(now, scheduler.Call(cl.number), cl.id)
}
