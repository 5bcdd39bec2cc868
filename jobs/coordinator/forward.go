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

// copyPassedOn names the line of a copy of a best-effort job that went to who has the first.
const copyPassedOn = "copy_passed_on"

// copyUnsure names the line of a best-effort job that is not taken, since it may be a copy of
// one that another coordinator has.
const copyUnsure = "copy_unsure"

// forward returns whether the call is on its way to the coordinator at the address.
func (c *Coordinator) forward(now time.Time, cl *call, address string) bool {
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
	if cl.bestEffort() {
		c.metrics.Decision(copyPassedOn)
		c.log.Info(copyPassedOn, zap.String("job", string(cl.id)), zap.String("peer", address))
	}
	return true
}

// handleForwarded takes a call that another coordinator passes on.
func (c *Coordinator) handleForwarded(now time.Time, conn *peer.Conn, m *wire.JobCall) {
	c.handleCall(now, &call{kind: wire.CallKind(m.Kind), id: m.ID, submission: m.Submission, budget: time.Duration(m.BudgetMS) * time.Millisecond, since: now, conn: conn, seq: m.Seq})
}

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

// expireForwarded answers callers whose call got no answer from the owner.
func (c *Coordinator) expireForwarded(now time.Time) {
	for _, cl := range c.forwarded {
		if !cl.bestEffort() && now.Sub(cl.since) > c.cfg.Scheduler.CallLimit.D() {
			c.failForward(cl)
		}
	}
}

// failForwarded answers the callers whose calls went to a lost coordinator.
func (c *Coordinator) failForwarded(address string) {
	for _, cl := range c.forwarded {
		if cl.sentTo == address {
			c.failForward(cl)
		}
	}
}

// failForward answers a call whose fate is not known: the owner may have it.
func (c *Coordinator) failForward(cl *call) {
	delete(c.forwarded, cl.number)
	c.log.Info("forward_unanswered", zap.String("job", string(cl.id)), zap.String("peer", cl.sentTo))
	c.reply(cl, c.refusal(cl, failure.CommitUnknown))
}
