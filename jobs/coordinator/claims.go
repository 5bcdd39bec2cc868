package coordinator

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/lichenfall/lichenfall/jobs/claims"
	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/jobs/store"
	"github.com/lichenfall/lichenfall/lib/peer"
	"github.com/lichenfall/lichenfall/wire"
)

// Log messages and metric labels of decisions about claims.
const (
	claimLost        = "claim_lost"        // another coordinator has the job
	claimUnconfirmed = "claim_unconfirmed" // too few witnesses answered, and the job runs here all the same
)

// chooseWitnesses keeps connections to the workers that are witnesses.
func (c *Coordinator) chooseWitnesses(now time.Time) {
	pool := claims.Pool(c.possibleWitnesses(now))
	inPool := make(map[string]bool, len(pool))
	for _, w := range pool {
		inPool[w.Address] = true
		if c.witnesses[w.Address] == nil {
			c.connectWitness(now, w.Address)
		}
	}
	for address, l := range c.witnesses {
		if !inPool[address] {
			l.stop()
			delete(c.witnesses, address)
		}
	}
	c.claims.SetPool(now, pool)
}

// possibleWitnesses returns the registered workers.
func (c *Coordinator) possibleWitnesses(now time.Time) []claims.Worker {
	var out []claims.Worker
	for address, m := range c.members {
		if m.Role != store.RoleWorker {
			continue
		}
		l := c.witnesses[address]
		gone := l != nil && l.conn == nil && now.Sub(l.changed) >= claims.GoneAfter
		out = append(out, claims.Worker{Address: address, DataCentre: m.DataCentre, Gone: gone})
	}
	return out
}

// connectWitness creates a link to a witness. It is apart from the link over which runs are ordered:
// most witnesses are not among the workers that this coordinator orders runs from.
func (c *Coordinator) connectWitness(now time.Time, address string) {
	ctx, stop := context.WithCancel(c.ctx)
	l := &link{role: wire.RoleClaimant, stop: stop, changed: now}
	c.witnesses[address] = l
	opts := c.peerOpts
	opts.AckLimit = ackLimit
	hello := func() *wire.Hello { return c.helloAs(wire.RoleClaimant) }
	go peer.KeepConnected(ctx, address, opts, hello, toWitness{c, address, l})
}

// performClaims carries out the decisions about claims, and sends what is due to witnesses.
func (c *Coordinator) performClaims(now time.Time) {
	e := c.claims.Take(now)
	for i := range e.Outcomes {
		c.handleClaim(now, &e.Outcomes[i])
	}
	for _, s := range e.Sends {
		l := c.witnesses[s.Address]
		if l == nil || l.conn == nil {
			continue
		}
		if err := l.conn.Send(s.Message); err != nil {
			c.log.Debug("message_unsent", zap.String("peer", s.Address), zap.Stringer("kind", s.Message.WireKind()), zap.Error(err))
		}
	}
}

// handleClaim has the tasks of a job ordered that no other coordinator runs. Calls about another job
// are forwarded to the coordinator that has it, or refused if that one cannot be reached.
func (c *Coordinator) handleClaim(now time.Time, o *claims.Outcome) {
	if o.Holder == "" {
		if !o.Confirmed {
			c.logClaim(now, claimUnconfirmed, o)
		}
		c.core.Claimed(now, o.Job)
		return
	}
	c.logClaim(now, claimLost, o)
	for _, number := range c.core.WithdrawUnclaimed(now, o.Job) {
		cl := c.calls[number]
		delete(c.calls, number)
		switch {
		case cl == nil:
		case cl.conn != nil || !c.forward(now, cl, o.Holder):
			c.refuseDuplicate(cl, "claimed_elsewhere")
		}
	}
}

func (c *Coordinator) logClaim(now time.Time, what string, o *claims.Outcome) {
	c.metrics.Decision(what)
	c.log.Sampled(now, what,
		zap.String("job", string(o.Job)),
		zap.String("holder", o.Holder),
		zap.Int64("age_ms", o.Age.Milliseconds()),
		zap.Int("granted", o.Granted),
		zap.Int("denied", o.Denied),
		zap.Int("unsure", o.Unsure),
		zap.Int("silent", o.Silent))
}

// withdrawEnded withdraws the claims of jobs that are over here and whose runs have ended.
func (c *Coordinator) withdrawEnded() {
	for _, id := range c.claims.Jobs() {
		if !c.mayRun(id) {
			c.claims.Withdraw(id)
		}
	}
}

// mayRun returns whether runs of a best-effort job may be at work for this coordinator, now or later.
func (c *Coordinator) mayRun(id durable.JobID) bool {
	return c.core.HasBestEffort(id) || c.core.HasOutstandingRuns(id)
}

// witnessUp reports that the connection to a witness has been made.
type witnessUp struct {
	address string
	link    *link
	conn    *peer.Conn
}

func (e witnessUp) apply(c *Coordinator, now time.Time) {
	l := c.witnesses[e.address]
	if l != e.link {
		return
	}
	l.conn, l.changed = e.conn, now
	c.claims.Up(now, e.address)
}

// witnessDown reports that the connection to a witness is lost.
type witnessDown struct {
	address string
	link    *link
	conn    *peer.Conn
}

func (e witnessDown) apply(c *Coordinator, now time.Time) {
	l := c.witnesses[e.address]
	if l != e.link || l.conn != e.conn {
		return
	}
	l.conn, l.changed = nil, now
	c.claims.Down(now, e.address)
}

// claimsAnswered is the answer of a witness.
type claimsAnswered struct {
	address string
	conn    *peer.Conn
	reply   *wire.JobClaimsReply
}

func (e claimsAnswered) apply(c *Coordinator, now time.Time) {
	if l := c.witnesses[e.address]; l != nil && l.conn == e.conn {
		c.claims.Answered(now, e.address, e.reply)
	}
}

// toWitness posts the events of our link to a witness.
type toWitness struct {
	c       *Coordinator
	address string
	link    *link
}

// Up posts that the connection has been made.
func (t toWitness) Up(conn *peer.Conn, _ *wire.Hello) {
	t.c.loop.Post(witnessUp{t.address, t.link, conn})
}

// Message posts the answer of a witness.
func (t toWitness) Message(conn *peer.Conn, m wire.Message) {
	if reply, ok := m.(*wire.JobClaimsReply); ok {
		t.c.loop.Post(claimsAnswered{t.address, conn, reply})
	}
}

// Down posts that the connection is lost.
func (t toWitness) Down(conn *peer.Conn, _ error) {
	t.c.loop.Post(witnessDown{t.address, t.link, conn})
}
