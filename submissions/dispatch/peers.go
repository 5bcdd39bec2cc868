package dispatch

import (
	"time"

	"github.com/lichenfall/lichenfall/lib/failure"
	"github.com/lichenfall/lichenfall/submissions/placement"
	"github.com/lichenfall/lichenfall/wire"
)

// PeerUp records a connection to a peer. For agents peer is their address.
func (c *Core) PeerUp(now time.Time, peer string, h *wire.Hello) {
	c.peers[peer] = &peerState{incarnation: h.Incarnation, heard: now}
	if h.Role == wire.RoleAgent {
		c.agents.Add(&placement.Agent{
			ID:         peer,
			Pool:       h.Pool,
			DataCentre: h.DataCentre,
			Slots:      int(h.Slots),
			Queue:      int(h.Queue),
			Leaving:    h.Leaving,
		})
	}
	c.sendFetches(peer, h.Incarnation)
}

// PeerDown records that the connection is lost. What the peer held has an
// unknown end.
func (c *Core) PeerDown(now time.Time, peer string) {
	delete(c.peers, peer)
	c.unsilence(peer)
	c.agents.Remove(peer)
	c.dropClaims(now, peer)
	c.dropFetches(peer)
	for _, n := range matching(c.jobs, func(r *record) bool { return r.job.AnyPlacedAt(peer) }) {
		c.loseAgent(now, c.jobs[n], peer)
	}
}

func (c *Core) loseAgent(now time.Time, r *record, agent string) {
	first := -1
	for i := range r.job.Tasks {
		if r.job.PlacedAt(i) != agent {
			continue
		}
		r.job.End(i, failure.RanUnknown)
		c.count.Refused(failure.AgentLost)
		if first < 0 {
			first = i
		}
	}
	if first >= 0 {
		c.fail(now, r, first, failure.AgentLost, "the link to the agent broke")
	}
}

// SetListedLeaving records whether the box list calls the agent leaving.
func (c *Core) SetListedLeaving(agent string, leaving bool) {
	if a := c.agents.Agent(agent); a != nil {
		a.ListedLeaving = leaving
	}
}

// HandleMessage takes a message from a peer.
func (c *Core) HandleMessage(now time.Time, peer string, m wire.Message) {
	c.hear(now, peer)
	switch m := m.(type) {
	case *wire.Results:
		c.results(now, peer, m)
	case *wire.ClaimReply:
		c.claimReply(now, peer, m)
	case *wire.Fetch:
		c.fetchAsked(now, peer, m)
	case *wire.Fetched:
		c.fetched(peer, m)
	default:
		c.count.Dropped(dropNotForEntry)
	}
}

// results takes all that a message says before any job is failed by it, so
// that the answer of a failed job knows as much as can be known at once.
func (c *Core) results(now time.Time, agent string, m *wire.Results) {
	c.agents.Release(agent, len(m.Items))
	c.agents.UpdateLoad(agent, m.Load)
	c.acknowledgeLeave(agent, m.Load)
	var ends []ending
	for i := range m.Items {
		c.observe(agent, &m.Items[i])
		if e, failed := c.result(now, agent, &m.Items[i]); failed {
			ends = append(ends, e)
		}
	}
	for _, e := range ends {
		if e.r.phase == running {
			c.fail(now, e.r, e.task, e.kind, e.reason)
		}
	}
	c.placeDue(now)
}

// observe counts a task that ran there for outlier detection.
func (c *Core) observe(agent string, m *wire.Result) {
	if failure.Ran(m.Ran) == failure.DidRun {
		failed := failure.Kind(m.Kind) == failure.TaskFailed || failure.Kind(m.Kind) == failure.BadAnswer
		c.agents.Observe(agent, time.Duration(m.RunMicros)*time.Microsecond, failed)
	}
}

// acknowledgeLeave tells an agent that leaves that no task comes after this.
func (c *Core) acknowledgeLeave(agent string, l wire.Load) {
	if p := c.peers[agent]; p != nil && l.Leaving && !p.leaving {
		p.leaving = true
		c.send(agent, &wire.LeaveAck{})
	}
}

// ending is why a job has to be failed.
type ending struct {
	r      *record
	task   int
	kind   failure.Kind
	reason string
}

func (c *Core) result(now time.Time, agent string, m *wire.Result) (e ending, failed bool) {
	r := c.jobs[m.Job]
	i := int(m.Index)
	if r == nil || !r.job.AwaitsResult(i, agent, int(m.Attempt)) {
		c.count.Dropped(dropLateResult)
		return ending{}, false
	}
	k, ran := failure.Kind(m.Kind), failure.Ran(m.Ran)
	if k == failure.None {
		r.job.Finish(i, m.Body)
		if r.job.Answer() != nil {
			c.end(now, r)
		}
		return ending{}, false
	}
	c.count.Refused(k)
	if ran == failure.NotRun {
		return c.handBack(now, r, i, k, m.Reason)
	}
	r.job.End(i, ran)
	return ending{r, i, k, m.Reason}, true
}
