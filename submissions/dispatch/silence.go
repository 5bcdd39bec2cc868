package dispatch

import (
	"time"

	"github.com/lichenfall/lichenfall/wire"
)

// An agent that holds tasks of this entry and sends nothing for PingAfter is
// pinged. If it sends nothing for PingWait after that, it is silent: it gets no
// new tasks and no claims until a message from it arrives. Agents that keep
// sending results are never pinged, and idle ones cause no messages.

const (
	silenceCheckInterval = 50 * time.Millisecond // a quarter of placement.ping_after
	// stallGap is the time between two checks above which this process itself was stalled: four
	// intervals.
	stallGap = 200 * time.Millisecond
)

// checkSilence pings agents that have sent nothing for PingAfter and marks those
// silent whose ping has gone unanswered for PingWait.
func (c *Core) checkSilence(now time.Time) {
	gap := now.Sub(c.silenceCheckedAt)
	if gap < silenceCheckInterval {
		return
	}
	c.silenceCheckedAt = now
	if gap > stallGap {
		c.resetSilenceTimers(now)
	}
	for _, a := range c.agents.All() {
		p := c.peers[a.ID]
		switch {
		case a.Outstanding == 0 || p.silent:
		case p.pingedAt.IsZero() && now.Sub(p.lastHeard) >= c.cfg.PingAfter:
			p.pingedAt = now
			c.send(a.ID, &wire.Ping{})
		case !p.pingedAt.IsZero() && now.Sub(p.pingedAt) >= c.cfg.PingWait:
			c.markSilent(a.ID)
		}
	}
}

// resetSilenceTimers restarts the timeouts of all peers after a stall of this
// process, whose duration must not count as silence of the peers.
func (c *Core) resetSilenceTimers(now time.Time) {
	for _, p := range c.peers {
		p.lastHeard = now
		if !p.pingedAt.IsZero() {
			p.pingedAt = now
		}
	}
}

// restartSilenceTimer is called when n tasks are sent to the agent. If it held
// none before, it had no reason to send anything, so its timeout starts now.
func (c *Core) restartSilenceTimer(now time.Time, agent string, n int) {
	if a := c.agents.Agent(agent); a != nil && a.Outstanding <= n {
		c.peers[agent].lastHeard = now
	}
}

// markSilent marks the peer as silent until a message from it arrives. If more
// than SilentShare of the agents would be silent at once, the entry suspects its
// own network or process instead and goes on placing tasks at the agent, but
// sends no claims to it.
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
	if float64(c.silent+1) > c.cfg.SilentShare*float64(len(c.agents.All())) {
		c.count.Suspected("self")
		return
	}
	c.count.Suspected("agent")
	a.Silent = true
	c.silent++
}

// markHeard records that a message arrived from the peer.
func (c *Core) markHeard(now time.Time, peer string) {
	p := c.peers[peer]
	if p == nil {
		return
	}
	p.lastHeard = now
	p.pingedAt = time.Time{}
	p.silent = false
	c.clearSilent(peer)
}

func (c *Core) clearSilent(peer string) {
	if a := c.agents.Agent(peer); a != nil && a.Silent {
		a.Silent = false
		c.silent--
	}
}
