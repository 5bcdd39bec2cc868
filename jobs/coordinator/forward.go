package coordinator

import (
	"time"

	"go.uber.org/zap"

	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/jobs/scheduler"
	"github.com/lichenfall/lichenfall/lib/failure"
	"github.com/lichenfall/lichenfall/lib/peer"
	"github.com/lichenfall/lichenfall/wire"
)

// duplicateForwarded is the log message and metric label of a resent best-effort job that was
// forwarded to the coordinator that holds it.
const duplicateForwarded = "copy_passed_on"

// duplicateRefused is the log message and metric label of a best-effort job that was refused since
// another coordinator may hold it or have run it.
const duplicateRefused = "copy_unsure"

// forward sends the call to the coordinator at the address. It returns false if there is no
// connection to it.
func (c *Coordinator) forward(now time.Time, cl *call, address string) bool {
	l := c.links[address]
	if l == nil || l.conn == nil {
		return false
	}
	m := &wire.JobCall{Seq: cl.number, Kind: uint8(cl.kind), ID: cl.id, Submission: cl.submission, BudgetMS: cl.budget.Milliseconds()}
	if l.conn.Send(m) != nil {
		return false
	}
	cl.forwardedTo = address
	cl.since = now
	c.forwarded[cl.number] = cl
	if cl.bestEffort() {
		c.metrics.Decision(duplicateForwarded)
		c.log.Info(duplicateForwarded, zap.String("job", string(cl.id)), zap.String("peer", address))
	}
	return true
}

// handleForwarded handles a call that another coordinator has forwarded to us.
func (c *Coordinator) handleForwarded(now time.Time, conn *peer.Conn, m *wire.JobCall) {
	c.handleCall(now, &call{kind: wire.CallKind(m.Kind), id: m.ID, submission: m.Submission, budget: time.Duration(m.BudgetMS) * time.Millisecond, since: now, conn: conn, seq: m.Seq})
}

// handleForwardReply sends the reply to a forwarded call to its caller.
func (c *Coordinator) handleForwardReply(m *wire.JobReply) {
	cl := c.forwarded[m.Seq]
	if cl == nil {
		return
	}
	delete(c.forwarded, m.Seq)
	c.reply(cl, scheduler.Reply{
		ID:         cl.id,
		Failure:    failure.Kind(m.Failure),
		State:      durable.State(m.State),
		RetryAfter: time.Duration(m.RetryMS) * time.Millisecond,
	})
}

// expireForwarded fails forwarded calls that the partition's owner has not answered within the call
// limit. Best-effort jobs have no such limit: their reply comes at the end of the job.
func (c *Coordinator) expireForwarded(now time.Time) {
	for _, cl := range c.forwarded {
		if !cl.bestEffort() && now.Sub(cl.since) > c.cfg.Scheduler.CallLimit.D() {
			c.failForward(cl)
		}
	}
}

// failForwarded fails the calls that were forwarded to the coordinator at the address.
func (c *Coordinator) failForwarded(address string) {
	for _, cl := range c.forwarded {
		if cl.forwardedTo == address {
			c.failForward(cl)
		}
	}
}

// failForward fails a forwarded call. Its outcome is not known: the other coordinator may have
// accepted it.
func (c *Coordinator) failForward(cl *call) {
	delete(c.forwarded, cl.number)
	c.log.Info("forward_unanswered", zap.String("job", string(cl.id)), zap.String("peer", cl.forwardedTo))
	c.reply(cl, c.refusal(cl, failure.CommitUnknown))
}
