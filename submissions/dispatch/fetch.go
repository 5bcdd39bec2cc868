package dispatch

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/lichenfall/lichenfall/lib/failure"
	"github.com/lichenfall/lichenfall/submissions/claim"
	"github.com/lichenfall/lichenfall/submissions/job"
	"github.com/lichenfall/lichenfall/wire"
)

// fetch asks the entry that owns the submission for its answer.
func (c *Core) fetch(now time.Time, r *record, owner claim.Owner, grant uint64) {
	r.phase = fetching
	p := &pendingRequest{r: r, id: r.sub.ID, peer: owner.Address, owner: owner, grant: grant, until: now.Add(c.cfg.FetchWait)}
	c.startFetch(p)
}

func (c *Core) startFetch(p *pendingRequest) {
	c.fetches[c.nextSeq()] = p
	if s := c.peers[p.peer]; s != nil {
		c.sendFetches(p.peer, s.incarnation)
		return
	}
	c.out.Dials = append(c.out.Dials, p.peer)
}

// sendFetches sends the fetches that wait for a connection to the peer. Those
// for another incarnation of the peer fail, since the process that ran the
// submission no longer exists.
func (c *Core) sendFetches(peer, incarnation string) {
	for _, seq := range sortedKeys(c.fetches, func(p *pendingRequest) bool { return p.peer == peer && !p.sent }) {
		p := c.fetches[seq]
		if p.owner.Incarnation != incarnation {
			delete(c.fetches, seq)
			c.failFetch(p, failure.OutcomeUnknown, "the entry that ran the submission is gone")
			continue
		}
		p.sent = true
		m := &wire.Fetch{Seq: seq, Submission: p.id, Incarnation: p.owner.Incarnation, GrantSeq: p.grant, Lookup: p.lookup != nil}
		if p.r != nil {
			m.Digest = p.r.sub.Digest[:]
		}
		c.send(peer, m)
	}
}

// expireFetches gives up fetches that were not sent, and lookups that were not
// answered, within FetchWait. Other fetches expire when the deadline of their
// submission and the grace after it have passed.
func (c *Core) expireFetches(now time.Time) {
	late := func(p *pendingRequest) bool {
		if p.sent && p.r != nil {
			return now.After(p.r.sub.Deadline.Add(c.cfg.Grace))
		}
		return now.After(p.until)
	}
	for _, seq := range sortedKeys(c.fetches, late) {
		p := c.fetches[seq]
		delete(c.fetches, seq)
		c.failFetch(p, failure.ClaimUnavailable, "the entry that runs the submission does not answer")
	}
}

func (c *Core) dropFetches(peer string) {
	for _, seq := range sortedKeys(c.fetches, func(p *pendingRequest) bool { return p.peer == peer && p.sent }) {
		p := c.fetches[seq]
		delete(c.fetches, seq)
		c.failFetch(p, failure.ClaimUnavailable, "the link to the entry that runs the submission broke")
	}
}

func (c *Core) failFetch(p *pendingRequest, k failure.Kind, reason string) {
	if p.lookup != nil {
		c.failLookup(p, k, reason)
		return
	}
	c.answerAndForget(p.r, refusal(p.r, k, reason, failure.RanUnknown, c.retryPauseFor(k)))
}

// handleFetched handles the reply of another entry to a fetch.
func (c *Core) handleFetched(peer string, m *wire.Fetched) {
	p := c.fetches[m.Seq]
	if p == nil || p.peer != peer {
		c.count.Dropped(dropLateFetched)
		return
	}
	delete(c.fetches, m.Seq)
	if !m.Found {
		c.failFetch(p, failure.OutcomeUnknown, "the entry that ran the submission no longer keeps its answer")
		return
	}
	a := &job.Answer{}
	if err := json.Unmarshal(m.Answer, a); err != nil || a.Submission != p.id {
		c.count.Violated(promiseOwnAnswer)
		c.failFetch(p, failure.Internal, "another entry's answer does not fit")
		return
	}
	if p.lookup != nil {
		c.answer(*p.lookup, a)
		return
	}
	c.answerAndForget(p.r, asResent(a))
}

// handleFetch answers the fetch of another entry: at once for a lookup or a
// submission that is answered or unknown here, and else when its job ends.
func (c *Core) handleFetch(now time.Time, peer string, m *wire.Fetch) {
	w := Waiter{Peer: peer, Seq: m.Seq}
	r := c.records[m.Submission]
	known := r != nil && m.Incarnation == c.cfg.Self.Incarnation
	if known && r.phase == abandoned {
		known = c.closeAbandoned(now, r, m.GrantSeq)
	}
	if !known {
		c.send(peer, &wire.Fetched{Seq: m.Seq})
		return
	}
	if m.Lookup {
		c.sendFetched(w, stateOf(r))
		return
	}
	if string(m.Digest) != string(r.sub.Digest[:]) {
		// The holder granted this entry the content of the fetch. The record
		// here belongs to a later duplicate with other content, so the record of
		// the first one has been discarded.
		c.send(peer, &wire.Fetched{Seq: m.Seq})
		return
	}
	if r.phase == answered {
		c.sendFetched(w, r.answer)
		return
	}
	r.waiters = append(r.waiters, w)
}

// closeAbandoned settles an abandoned submission as not run: the fetch shows
// that the holder granted it to this entry by a claim that this entry had given
// up, so that it never ran, and now never will. It returns false when the grant
// is not for such a claim: the grant was used then, and its record discarded.
func (c *Core) closeAbandoned(now time.Time, r *record, grant uint64) bool {
	if !slices.Contains(r.gaveUp, grant) {
		return false
	}
	c.removeKept(r)
	a := refusal(r, failure.ClaimUnavailable, "the claim was given up before anything started", failure.NotRun, 0)
	a.Error.Retry = failure.RetryNewID.String()
	c.settle(now, r, a)
	return true
}

func (c *Core) sendFetched(w Waiter, a *job.Answer) {
	body, err := json.Marshal(a)
	if err != nil {
		c.count.Violated(promiseJSON)
		c.send(w.Peer, &wire.Fetched{Seq: w.Seq})
		return
	}
	if len(body) > c.cfg.MaxFetched {
		e := failure.New(failure.AnswerTooLarge, "the whole answer is at the entry that ran the submission; it is too large to be passed on")
		c.sendFetched(w, job.Refusal(a.Submission, e, failure.DidRun))
		return
	}
	c.send(w.Peer, &wire.Fetched{Seq: w.Seq, Found: true, Answer: body})
}
