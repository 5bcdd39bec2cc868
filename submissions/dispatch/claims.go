package dispatch

import (
	"slices"
	"time"

	"github.com/lichenfall/lichenfall/lib/failure"
	"github.com/lichenfall/lichenfall/submissions/claim"
	"github.com/lichenfall/lichenfall/submissions/job"
	"github.com/lichenfall/lichenfall/wire"
)

// pending is a question to a peer that is not answered yet.
type pending struct {
	r      *record
	peer   string
	asked  time.Time
	until  time.Time
	lookup *Waiter // set when only the state is asked for
	id     string
	owner  claim.Owner // asked for its answer, for fetches
	grant  uint64      // by which the owner was granted the ID, for fetches
	sent   bool
}

// claim asks the holder of the submission's ID whether we may start it.
func (c *Core) claim(now time.Time, r *record) {
	r.phase = claiming
	holder := claim.HolderOf(r.sub.ID, c.set.Holders)
	p := c.peers[holder]
	if p == nil || p.silent {
		c.pass(r, c.unclaimed(r, "the holder of the ID cannot be reached"))
		c.probe(now, holder, p)
		return
	}
	seq := c.nextSeq()
	c.claims[seq] = &pending{r: r, peer: holder, asked: now, until: now.Add(c.set.ClaimWait), id: r.sub.ID}
	c.send(holder, &wire.Claim{Seq: seq, Submission: r.sub.ID, Digest: r.sub.Digest[:], Assignment: c.digest})
}

// CanClaim returns whether the holder of the ID seems to be there. IDs that are
// handed out are chosen by it.
func (c *Core) CanClaim(id string) bool {
	p := c.peers[claim.HolderOf(id, c.set.Holders)]
	return p != nil && !p.silent && !p.leaving
}

// probe lets one lookup at a time find out whether a silent holder is back.
func (c *Core) probe(now time.Time, holder string, p *peerState) {
	if p == nil {
		return
	}
	for _, q := range c.claims {
		if q.peer == holder {
			return
		}
	}
	seq := c.nextSeq()
	c.claims[seq] = &pending{peer: holder, until: now.Add(c.set.ClaimWait), lookup: &Waiter{}}
	c.send(holder, &wire.Claim{Seq: seq, Lookup: true, Assignment: c.digest})
}

func (c *Core) claimReply(now time.Time, from string, m *wire.ClaimReply) {
	p := c.claims[m.Seq]
	if p == nil || p.peer != from {
		c.count.Dropped(dropLateClaimReply)
		return
	}
	delete(c.claims, m.Seq)
	owner := claim.Owner{Address: m.Owner, Incarnation: m.OwnerIncarnation}
	if p.lookup != nil {
		c.found(now, p, owner, m)
		return
	}
	c.count.Claimed(claim.Verdict(m.Verdict), now.Sub(p.asked))
	c.decide(now, p.r, owner, m)
}

// decide acts on the holder's word.
func (c *Core) decide(now time.Time, r *record, owner claim.Owner, m *wire.ClaimReply) {
	switch claim.Verdict(m.Verdict) {
	case claim.Granted:
		c.admit(now, r)
	case claim.Held:
		c.heldBy(now, r, owner, m.GrantSeq)
	case claim.Mismatch:
		c.pass(r, refusal(r, failure.SubmissionMismatch, "", failure.NotRun, 0))
	case claim.TooEarly:
		at, _ := claim.IDTime(r.sub.ID)
		c.pass(r, refusal(r, failure.IDTooEarly, "", failure.RanUnknown, at.Sub(now)))
	case claim.NotHolder:
		c.pass(r, c.unclaimed(r, "the holder goes by another list of holders"))
	default:
		c.pass(r, refusal(r, failure.OutcomeUnknown, m.Reason, failure.RanUnknown, 0))
	}
}

// heldBy goes on with an ID that was granted before. A claim of ours that was
// granted, but given up before the answer came, is as good as one granted now;
// any other grant to us may have been used and forgotten.
func (c *Core) heldBy(now time.Time, r *record, owner claim.Owner, seq uint64) {
	if owner.Address != c.set.Self.Address {
		c.fetch(now, r, owner, seq)
		return
	}
	if owner.Incarnation == c.set.Self.Incarnation && slices.Contains(r.gaveUp, seq) {
		c.admit(now, r)
		return
	}
	c.pass(r, refusal(r, failure.OutcomeUnknown, "the answer is no longer kept", failure.RanUnknown, 0))
}

// expireClaims gives up claims that were not answered in time. Their callers
// are answered at once and may ask again.
func (c *Core) expireClaims(now time.Time) {
	for _, seq := range matching(c.claims, func(p *pending) bool { return !now.Before(p.until) }) {
		p := c.claims[seq]
		delete(c.claims, seq)
		c.markSilent(p.peer)
		c.giveUpClaim(now, seq, p, "the holder of the ID did not answer in time")
	}
}

// dropClaims gives up the claims asked of a peer that is gone.
func (c *Core) dropClaims(now time.Time, peer string) {
	for _, seq := range matching(c.claims, func(p *pending) bool { return p.peer == peer }) {
		p := c.claims[seq]
		delete(c.claims, seq)
		c.giveUpClaim(now, seq, p, "the link to the holder of the ID broke")
	}
}

// giveUpClaim remembers that the holder may grant us the ID although nothing
// was started, so that a resend can still go on from there.
func (c *Core) giveUpClaim(now time.Time, seq uint64, p *pending, reason string) {
	if p.lookup != nil {
		c.lookupFailed(p, failure.ClaimUnavailable, reason)
		return
	}
	r := p.r
	c.answerAll(r, c.unclaimed(r, reason))
	r.phase = abandoned
	r.gaveUp = append(r.gaveUp, seq)
	r.sub.Payloads = nil
	c.keep(now, r)
}

// unclaimed says that this copy was not started, and nothing about others.
func (c *Core) unclaimed(r *record, reason string) *job.Answer {
	return refusal(r, failure.ClaimUnavailable, reason, failure.RanUnknown, c.comeBack())
}
