package dispatch

import (
	"time"

	"github.com/lichenfall/lichenfall/lib/failure"
	"github.com/lichenfall/lichenfall/submissions/claim"
	"github.com/lichenfall/lichenfall/submissions/job"
	"github.com/lichenfall/lichenfall/wire"
)

// Lookup returns to the caller the state of a submission, whichever entry runs
// it. It starts nothing.
func (c *Core) Lookup(now time.Time, caller uint64, id string) {
	w := Waiter{Caller: caller}
	if r := c.records[id]; r != nil && r.phase != fetching && r.phase != abandoned {
		c.answer(w, stateOf(r))
		return
	}
	p := &pendingRequest{peer: claim.HolderOf(id, c.cfg.Holders), until: now.Add(c.cfg.ClaimWait), id: id, lookup: &w}
	if !c.reachable(p.peer) {
		c.failLookup(p, failure.ClaimUnavailable, "the holder of the ID cannot be reached")
		return
	}
	seq := c.nextSeq()
	c.claims[seq] = p
	c.send(p.peer, &wire.Claim{Seq: seq, Submission: id, Lookup: true, Assignment: c.digest})
}

func stateOf(r *record) *job.Answer {
	if r.phase == answered {
		return r.answer
	}
	return &job.Answer{Submission: r.sub.ID, State: job.Running}
}

// handleLookupReply continues a lookup with the reply of the holder.
func (c *Core) handleLookupReply(now time.Time, p *pendingRequest, owner claim.Owner, m *wire.ClaimReply) {
	v := claim.Verdict(m.Verdict)
	if p.id == "" {
		return // a probe
	}
	switch {
	case v == claim.NotHolder:
		c.failLookup(p, failure.ClaimUnavailable, "the holder goes by another list of holders")
	case v != claim.Held || owner.Address == c.cfg.Self.Address:
		c.failLookup(p, failure.SubmissionNotFound, "nothing is remembered under this ID")
	default:
		c.startFetch(&pendingRequest{id: p.id, peer: owner.Address, owner: owner, grant: m.GrantSeq, until: now.Add(c.cfg.FetchWait), lookup: p.lookup})
	}
}

func (c *Core) failLookup(p *pendingRequest, k failure.Kind, reason string) {
	if p.id == "" {
		return // a probe
	}
	e := failure.New(k, reason)
	e.RetryAfter = c.retryPauseFor(k)
	c.answer(*p.lookup, job.Refusal(p.id, e, failure.RanUnknown))
}
