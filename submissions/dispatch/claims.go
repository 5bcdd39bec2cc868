package dispatch

import (
	"slices"
	"time"

	"github.com/lichenfall/lichenfall/lib/failure"
	"github.com/lichenfall/lichenfall/submissions/claim"
	"github.com/lichenfall/lichenfall/submissions/job"
	"github.com/lichenfall/lichenfall/wire"
)

// pendingRequest is a claim or fetch that a peer has not answered yet.
type pendingRequest struct {
	r       *record
	peer    string
	askedAt time.Time
	until   time.Time
	lookup  *Waiter // set when the request only reads the state and starts nothing
	id      string
	owner   claim.Owner // of a fetch: the entry that was granted the ID
	grant   uint64      // of a fetch: sequence number of the claim by which the owner was granted the ID
	sent    bool
}

// claim asks the holder of the submission's ID to grant it to this entry. If
// the holder is silent or not connected, the caller gets a refusal at once; a
// silent holder is also probed.
func (c *Core) claim(now time.Time, r *record) {
	r.phase = claiming
	holder := claim.HolderOf(r.sub.ID, c.cfg.Holders)
	p := c.peers[holder]
	if p == nil || p.silent {
		c.answerAndForget(r, c.claimUnavailable(r, "the holder of the ID cannot be reached"))
		c.probeHolder(now, holder, p)
		return
	}
	seq := c.nextSeq()
	c.claims[seq] = &pendingRequest{r: r, peer: holder, askedAt: now, until: now.Add(c.cfg.ClaimWait), id: r.sub.ID}
	c.send(holder, &wire.Claim{Seq: seq, Submission: r.sub.ID, Digest: r.sub.Digest[:], Assignment: c.digest})
}

// CanClaim returns whether the holder of the ID is connected, not silent and
// not leaving. The entry hands out only IDs for which it returns true.
func (c *Core) CanClaim(id string) bool {
	p := c.peers[claim.HolderOf(id, c.cfg.Holders)]
	return p != nil && !p.silent && !p.leaveAcked
}

// probeHolder sends a lookup without an ID to a silent holder, unless a request
// to it is pending. Its reply marks the holder as reachable again.
func (c *Core) probeHolder(now time.Time, holder string, p *peerState) {
	if p == nil {
		return
	}
	for _, q := range c.claims {
		if q.peer == holder {
			return
		}
	}
	seq := c.nextSeq()
	c.claims[seq] = &pendingRequest{peer: holder, until: now.Add(c.cfg.ClaimWait), lookup: &Waiter{}}
	c.send(holder, &wire.Claim{Seq: seq, Lookup: true, Assignment: c.digest})
}

func (c *Core) handleClaimReply(now time.Time, from string, m *wire.ClaimReply) {
	p := c.claims[m.Seq]
	if p == nil || p.peer != from {
		c.count.Dropped(dropLateClaimReply)
		return
	}
	delete(c.claims, m.Seq)
	owner := claim.Owner{Address: m.Owner, Incarnation: m.OwnerIncarnation}
	if p.lookup != nil {
		c.handleLookupReply(now, p, owner, m)
		return
	}
	c.count.Claimed(claim.Verdict(m.Verdict), now.Sub(p.askedAt))
	c.applyVerdict(now, p.r, owner, m)
}

// applyVerdict acts on the holder's reply to a claim.
func (c *Core) applyVerdict(now time.Time, r *record, owner claim.Owner, m *wire.ClaimReply) {
	switch claim.Verdict(m.Verdict) {
	case claim.Granted:
		c.admit(now, r)
	case claim.Held:
		c.handleHeld(now, r, owner, m.GrantSeq)
	case claim.Mismatch:
		c.answerAndForget(r, refusal(r, failure.SubmissionMismatch, "", failure.NotRun, 0))
	case claim.TooEarly:
		at, _ := claim.IDTime(r.sub.ID)
		c.answerAndForget(r, refusal(r, failure.IDTooEarly, "", failure.RanUnknown, at.Sub(now)))
	case claim.NotHolder:
		c.answerAndForget(r, c.claimUnavailable(r, "the holder goes by another list of holders"))
	default:
		c.answerAndForget(r, refusal(r, failure.OutcomeUnknown, m.Reason, failure.RanUnknown, 0))
	}
}

// handleHeld handles an ID that was granted before. If it was granted to
// another entry, that entry is asked for its answer. If it was granted to a
// claim of this incarnation that was given up before the reply arrived, nothing
// was started by that claim and the submission is admitted now. Any other grant
// to this entry may have been used, and its answer discarded.
func (c *Core) handleHeld(now time.Time, r *record, owner claim.Owner, seq uint64) {
	if owner.Address != c.cfg.Self.Address {
		c.fetch(now, r, owner, seq)
		return
	}
	if owner.Incarnation == c.cfg.Self.Incarnation && slices.Contains(r.gaveUp, seq) {
		c.admit(now, r)
		return
	}
	c.answerAndForget(r, refusal(r, failure.OutcomeUnknown, "the answer is no longer kept", failure.RanUnknown, 0))
}

// expireClaims gives up claims that were not answered in time. Their callers
// get a refusal at once and may resend the submission.
func (c *Core) expireClaims(now time.Time) {
	for _, seq := range sortedKeys(c.claims, func(p *pendingRequest) bool { return !now.Before(p.until) }) {
		p := c.claims[seq]
		delete(c.claims, seq)
		c.markSilent(p.peer)
		c.giveUpClaim(now, seq, p, "the holder of the ID did not answer in time")
	}
}

// dropClaims gives up the claims sent to a peer whose connection broke.
func (c *Core) dropClaims(now time.Time, peer string) {
	for _, seq := range sortedKeys(c.claims, func(p *pendingRequest) bool { return p.peer == peer }) {
		p := c.claims[seq]
		delete(c.claims, seq)
		c.giveUpClaim(now, seq, p, "the link to the holder of the ID broke")
	}
}

// giveUpClaim answers the callers and records the claim's sequence number. The
// holder may still grant the ID to that claim; a resent call that finds it held
// by that number can then start the submission, since nothing was started yet.
func (c *Core) giveUpClaim(now time.Time, seq uint64, p *pendingRequest, reason string) {
	if p.lookup != nil {
		c.failLookup(p, failure.ClaimUnavailable, reason)
		return
	}
	r := p.r
	c.answerAll(r, c.claimUnavailable(r, reason))
	r.phase = abandoned
	r.gaveUp = append(r.gaveUp, seq)
	r.sub.Payloads = nil
	c.keep(now, r)
}

// claimUnavailable returns a refusal that leaves open whether the submission
// ran, because another entry may have started a duplicate of it.
func (c *Core) claimUnavailable(r *record, reason string) *job.Answer {
	return refusal(r, failure.ClaimUnavailable, reason, failure.RanUnknown, c.retryPause())
}
