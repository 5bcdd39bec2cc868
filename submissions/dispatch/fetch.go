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
	p := &pending{r: r, id: r.sub.ID, peer: owner.Address, owner: owner, grant: grant, until: now.Add(c.set.FetchWait)}
	c.startFetch(p)
}

func (c *Core) startFetch(p *pending) {
	c.fetches[c.nextSeq()] = p
	if s := c.peers[p.peer]; s != nil {
		c.sendFetches(p.peer, s.incarnation)
		return
	}
	c.out.Dials = append(c.out.Dials, p.peer)
}

// sendFetches sends the questions that wait for a connection to the peer.
func (c *Core) sendFetches(peer, incarnation string) {
	for _, seq := range matching(c.fetches, func(p *pending) bool { return p.peer == peer && !p.sent }) {
		p := c.fetches[seq]
		if p.owner.Incarnation != incarnation {
			delete(c.fetches, seq)
			c.fetchFailed(p, failure.OutcomeUnknown, "the entry that ran the submission is gone")
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

// expireFetches gives up questions that could not be sent in time, and those
// whose caller's own deadline has passed.
func (c *Core) expireFetches(now time.Time) {
	late := func(p *pending) bool {
		if p.sent && p.r != nil {
			return now.After(p.r.sub.Deadline.Add(c.set.Grace))
		}
		return now.After(p.until)
	}
	for _, seq := range matching(c.fetches, late) {
		p := c.fetches[seq]
		delete(c.fetches, seq)
		c.fetchFailed(p, failure.ClaimUnavailable, "the entry that runs the submission does not answer")
	}
}

func (c *Core) dropFetches(peer string) {
	for _, seq := range matching(c.fetches, func(p *pending) bool { return p.peer == peer && p.sent }) {
		p := c.fetches[seq]
		delete(c.fetches, seq)
		c.fetchFailed(p, failure.ClaimUnavailable, "the link to the entry that runs the submission broke")
	}
}

func (c *Core) fetchFailed(p *pending, k failure.Kind, reason string) {
	if p.lookup != nil {
		c.lookupFailed(p, k, reason)
		return
	}
	c.pass(p.r, refusal(p.r, k, reason, failure.RanUnknown, c.pauseFor(k)))
}

// fetched takes another entry's answer.
func (c *Core) fetched(peer string, m *wire.Fetched) {
	p := c.fetches[m.Seq]
	if p == nil || p.peer != peer {
		c.count.Dropped(dropLateFetched)
		return
	}
	delete(c.fetches, m.Seq)
	if !m.Found {
		c.fetchFailed(p, failure.OutcomeUnknown, "the entry that ran the submission no longer keeps its answer")
		return
	}
	a := &job.Answer{}
	if err := json.Unmarshal(m.Answer, a); err != nil || a.Submission != p.id {
		c.count.Violated(promiseOwnAnswer)
		c.fetchFailed(p, failure.Internal, "another entry's answer does not fit")
		return
	}
	if p.lookup != nil {
		c.answer(*p.lookup, a)
		return
	}
	c.pass(p.r, resent(a))
}

// fetchAsked answers another entry, now or when the job ends.
func (c *Core) fetchAsked(now time.Time, peer string, m *wire.Fetch) {
	w := Waiter{Peer: peer, Seq: m.Seq}
	r := c.records[m.Submission]
	known := r != nil && m.Incarnation == c.set.Self.Incarnation
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
		// The holder granted us the content that is asked for. What we know of
		// now is a later copy with other content, so we have forgotten the first.
		c.send(peer, &wire.Fetched{Seq: m.Seq})
		return
	}
	if r.phase == answered {
		c.sendFetched(w, r.answer)
		return
	}
	r.waiters = append(r.waiters, w)
}

// closeAbandoned ends a submission that turns out to be ours although we gave
// up claiming it: it never ran, and from now on never will. It returns false
// when the grant is not one that we gave up: then we used it, and forgot.
func (c *Core) closeAbandoned(now time.Time, r *record, grant uint64) bool {
	if !slices.Contains(r.gaveUp, grant) {
		return false
	}
	c.unkeep(r)
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
	if len(body) > c.set.MaxFetched {
		e := failure.New(failure.AnswerTooLarge, "the whole answer is at the entry that ran the submission; it is too large to be passed on")
		c.sendFetched(w, job.Refusal(a.Submission, e, failure.DidRun))
		return
	}
	c.send(w.Peer, &wire.Fetched{Seq: w.Seq, Found: true, Answer: body})
}
