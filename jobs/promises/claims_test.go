package promises

import (
	"fmt"
	"slices"
	"time"

	"github.com/lichenfall/lichenfall/jobs/claims"
	"github.com/lichenfall/lichenfall/lib/ordered"
	"github.com/lichenfall/lichenfall/wire"
)

// claimant holds a coordinator's claims of best-effort jobs and its links to witnesses. It follows
// claims.go of package coordinator.
type claimant struct {
	n      *coordinatorNode
	claims *claims.Claimant
	links  map[string]*claimLink
	dialAt map[string]time.Time
	lostAt map[string]time.Time // when the link to a witness was lost, or first missing
}

// claimLink is a connection that a coordinator opens to a worker as a witness.
type claimLink struct {
	from         *coordinatorNode
	to           *workerNode
	incarnations [2]int
	name         string
	closed       bool
	silent       bool // carries nothing any more, and neither end knows
	last         [2]time.Time
}

func (n *coordinatorNode) startClaims() {
	if !n.w.announceJobs {
		return
	}
	n.claimant = &claimant{n: n, claims: claims.NewClaimant(), links: make(map[string]*claimLink), dialAt: make(map[string]time.Time), lostAt: make(map[string]time.Time)}
	n.later(membersReadAfter, n.claimant.choose)
}

// choose sets the witnesses, which it does every second as chooseWorkers of package coordinator.
func (c *claimant) choose() {
	var all []claims.Worker
	for _, o := range c.n.w.workers {
		lostAt, missing := c.lostAt[o.name]
		if !missing && c.links[o.name] == nil {
			lostAt, missing = c.n.now(), true
			c.lostAt[o.name] = lostAt
			c.dialAt[o.name] = c.n.w.now
		}
		all = append(all, claims.Worker{Address: o.name, DataCentre: o.dataCentre, Gone: missing && c.n.now().Sub(lostAt) >= claims.GoneAfter})
	}
	c.claims.SetPool(c.n.now(), claims.Pool(all))
	c.n.later(time.Second, c.choose)
}

// tick does the part of a tick that is about claims.
func (c *claimant) tick() {
	c.dial()
	for _, id := range c.claims.Jobs() {
		if !c.n.core.HasBestEffort(id) && !c.n.core.HasOutstandingRuns(id) {
			c.claims.Withdraw(id)
		}
	}
	c.claims.Tick(c.n.now())
}

// dial opens the links that are missing.
func (c *claimant) dial() {
	w := c.n.w
	for _, o := range w.workers {
		if at, known := c.dialAt[o.name]; c.links[o.name] != nil || !known || w.now.Before(at) {
			continue
		}
		c.dialAt[o.name] = w.now.Add(w.between(maxRedialDelay/3, maxRedialDelay))
		if !o.alive || o.paused || !w.reaches(c.n.name, o.name) || !w.reaches(o.name, c.n.name) {
			continue
		}
		c.n.lastConn++
		l := &claimLink{from: c.n, to: o, incarnations: [2]int{c.n.incarnation, o.incarnation}, name: fmt.Sprintf("%s#%d", c.n.fullName(), c.n.lastConn)}
		c.links[o.name] = l
		delete(c.lostAt, o.name)
		o.claimLinks = append(o.claimLinks, l)
		o.witness.Up(l.name, c.n.fullName(), c.n.name)
		c.claims.Up(c.n.now(), o.name)
	}
}

// reset closes the link. Both ends detect that at once.
func (l *claimLink) reset() {
	if l.closed {
		return
	}
	l.closed = true
	l.to.postFrom(l.name, l.incarnations[1], func() { l.to.witness.Down(l.name) })
	l.from.post(l.incarnations[0], func() {
		c := l.from.claimant
		if c.links[l.to.name] != l {
			return
		}
		delete(c.links, l.to.name)
		c.lostAt[l.to.name] = l.from.w.now
		c.dialAt[l.to.name] = l.from.w.now.Add(l.from.w.between(0, maxRedialDelay))
		c.claims.Down(l.from.now(), l.to.name)
	})
}

// carry has a message delivered, after those before it, to the witness (way 0) or to the coordinator
// (way 1). What is sent into a cut is lost, and the link is closed ackTimeout later.
func (l *claimLink) carry(way int, deliver func()) {
	ends := [2]*process{&l.to.process, &l.from.process}
	incarnations := [2]int{l.incarnations[1], l.incarnations[0]}
	w := l.from.w
	if !w.reaches(l.from.name, l.to.name) || !w.reaches(l.to.name, l.from.name) {
		if !l.silent {
			l.silent = true
			w.after(ackTimeout, l.reset)
		}
	}
	if l.closed || l.silent {
		return
	}
	at := w.now.Add(w.between(200*time.Microsecond, 3*time.Millisecond))
	if at.Before(l.last[way]) {
		at = l.last[way]
	}
	l.last[way] = at
	w.after(at.Sub(w.now), func() { ends[way].postFrom(l.name, incarnations[way], deliver) })
}

// sendClaims sends what is due to the witnesses. A witness that is frozen is silent, and the link to
// it is closed ackTimeout after a message.
func (c *claimant) sendClaims(sends []claims.ToWitness) {
	for _, s := range sends {
		l := c.links[s.Address]
		if l == nil {
			continue
		}
		m := s.Message
		l.carry(0, func() { l.to.handleClaims(l, m) })
		l.awaitAck()
	}
}

// awaitAck closes the link after ackTimeout if the witness is frozen all the while.
func (l *claimLink) awaitAck() {
	if !l.to.paused {
		return
	}
	w := l.from.w
	w.after(ackTimeout, func() {
		if l.to.paused && l.to.incarnation == l.incarnations[1] {
			l.reset()
		}
	})
}

func (n *workerNode) handleClaims(l *claimLink, m *wire.JobClaims) {
	reply := n.witness.Handle(n.now(), l.name, m)
	if reply == nil {
		return
	}
	l.carry(1, func() {
		if c := l.from.claimant; c.links[n.name] == l {
			c.claims.Answered(l.from.now(), n.name, reply)
			l.from.perform()
		}
	})
}

// perform carries out the decisions about claims.
func (c *claimant) perform() {
	now := c.n.now()
	e := c.claims.Take(now)
	for _, o := range e.Outcomes {
		c.handleOutcome(o)
	}
	c.sendClaims(e.Sends)
}

func (c *claimant) handleOutcome(o claims.Outcome) {
	c.n.w.trace(c.n.fullName(), string(o.Job), "claim: holder %q confirmed %v granted %d denied %d unsure %d silent %d", o.Holder, o.Confirmed, o.Granted, o.Denied, o.Unsure, o.Silent)
	now := c.n.now()
	if o.Holder == "" {
		if !o.Confirmed {
			c.n.w.counts["claims unconfirmed"]++
		}
		c.n.core.Claimed(now, o.Job)
		return
	}
	c.n.w.counts["claims lost"]++
	for _, number := range c.n.core.WithdrawUnclaimed(now, o.Job) {
		call := c.n.calls[number]
		delete(c.n.calls, number)
		if call != nil && (call.forwarded || !c.n.forward(call, o.Holder)) {
			c.n.refuseDuplicate(call, "claimed elsewhere")
		}
	}
}

// endClaims closes the links of a coordinator that dies.
func (n *coordinatorNode) endClaims() {
	if n.claimant == nil {
		return
	}
	for _, l := range ordered.Values(n.claimant.links) {
		l.reset()
	}
}

// endClaimLinks closes the links of a witness that dies.
func (n *workerNode) endClaimLinks() {
	links := slices.Clone(n.claimLinks)
	n.claimLinks = nil
	for _, l := range links {
		l.reset()
	}
}
