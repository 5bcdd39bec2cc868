package dispatch

import (
	"time"

	"github.com/lichenfall/lichenfall/wire"
)

// An agent that holds tasks of ours and says nothing for PingAfter is asked
// whether it is there. One that does not answer within PingWait is silent: it
// gets no new tasks and no claims until something is heard of it. Agents that
// answer tasks are never asked, and idle ones cost nothing.

const (
	watchEvery = 50 * time.Millisecond // between looks; a quarter of placement.ping_after
	// pausedGap is how far apart two ticks are when it was us who stood still. Four looks.
	pausedGap = 200 * time.Millisecond
)

// watch looks for agents that have gone silent.
func (c *Core) watch(now time.Time) {
	gap := now.Sub(c.watched)
	if gap < watchEvery {
		return
	}
	c.watched = now
	if gap > pausedGap {
		c.excusePeers(now)
	}
	for _, a := range c.agents.All() {
		p := c.peers[a.ID]
		switch {
		case a.Outstanding == 0 || p.silent:
		case p.pinged.IsZero() && now.Sub(p.heard) >= c.set.PingAfter:
			p.pinged = now
			c.send(a.ID, &wire.Ping{})
		case !p.pinged.IsZero() && now.Sub(p.pinged) >= c.set.PingWait:
			c.markSilent(a.ID)
		}
	}
}

// excusePeers gives all peers time to be heard again after we stood still, so
// that our own pause does not count as their silence.
func (c *Core) excusePeers(now time.Time) {
	for _, p := range c.peers {
		p.heard = now
		if !p.pinged.IsZero() {
			p.pinged = now
		}
	}
}

// awaitWord notes that n tasks go to the agent. If it held none, nothing could
// be heard of it before, and its time to answer begins now.
func (c *Core) awaitWord(now time.Time, agent string, n int) {
	if a := c.agents.Agent(agent); a != nil && a.Outstanding <= n {
		c.peers[agent].heard = now
	}
}

// markSilent takes the peer out of use until it is heard. An entry to which too
// many agents seem silent at once suspects itself instead, and goes on placing
// tasks at all of them.
func (c *Core) markSilent(peer string) {
	p := c.peers[peer]
	if p == nil || p.silent {
		return
	}
	p.silent = true
	a := c.agents.Agent(peer)
	if a == nil {
		return
	}
	if float64(c.silent+1) > c.set.SilentShare*float64(len(c.agents.All())) {
		c.count.Suspected("self")
		return
	}
	c.count.Suspected("agent")
	a.Silent = true
	c.silent++
}

// hear records that something came from the peer.
func (c *Core) hear(now time.Time, peer string) {
	p := c.peers[peer]
	if p == nil {
		return
	}
	p.heard = now
	p.pinged = time.Time{}
	p.silent = false
	c.unsilence(peer)
}

func (c *Core) unsilence(peer string) {
	if a := c.agents.Agent(peer); a != nil && a.Silent {
		a.Silent = false
		c.silent--
	}
}
