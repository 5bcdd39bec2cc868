package dispatch

import (
	"time"

	"github.com/lichenfall/lichenfall/lib/failure"
	"github.com/lichenfall/lichenfall/submissions/placement"
	"github.com/lichenfall/lichenfall/wire"
)

// PeerUp records a new connection to a peer that introduced itself with h. The
// name of an agent is its address.
func (c *Core) PeerUp(now time.Time, peer string, h *wire.Hello) {
	c.peers[peer] = &peerState{incarnation: h.Incarnation, lastHeard: now}
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

// PeerDown records that the connection to a peer broke. It gives up the claims
// and fetches sent to the peer and fails the jobs that have tasks there, since
// it is unknown whether those tasks ran.
func (c *Core) PeerDown(now time.Time, peer string) {
	delete(c.peers, peer)
	c.clearSilent(peer)
	c.agents.Remove(peer)
	c.dropClaims(now, peer)
	c.dropFetches(peer)
	for _, n := range sortedKeys(c.jobs, func(r *record) bool { return r.job.AnyPlacedAt(peer) }) {
		c.failTasksAt(now, c.jobs[n], peer)
	}
}

func (c *Core) failTasksAt(now time.Time, r *record, agent string) {
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
		c.failJob(now, r, first, failure.AgentLost, "the link to the agent broke")
	}
}

// SetListedLeaving records whether the box list has the agent as leaving.
func (c *Core) SetListedLeaving(agent string, leaving bool) {
	if a := c.agents.Agent(agent); a != nil {
		a.ListedLeaving = leaving
	}
}

// HandleMessage handles a message from a peer.
func (c *Core) HandleMessage(now time.Time, peer string, m wire.Message) {
	c.markHeard(now, peer)
	switch m := m.(type) {
	case *wire.Results:
		c.handleResults(now, peer, m)
	case *wire.ClaimReply:
		c.handleClaimReply(now, peer, m)
	case *wire.Fetch:
		c.handleFetch(now, peer, m)
	case *wire.Fetched:
		c.handleFetched(peer, m)
	default:
		c.count.Dropped(dropNotForEntry)
	}
}

// handleResults applies all results of a message before it fails any job
// because of one of them, so that the task counts in the answer of a failed job
// cover the whole message.
func (c *Core) handleResults(now time.Time, agent string, m *wire.Results) {
	c.agents.Release(agent, len(m.Items))
	c.agents.UpdateLoad(agent, m.Load)
	c.acknowledgeLeave(agent, m.Load)
	var ends []jobFailure
	for i := range m.Items {
		c.observe(agent, &m.Items[i])
		if e, failed := c.handleResult(now, agent, &m.Items[i]); failed {
			ends = append(ends, e)
		}
	}
	for _, e := range ends {
		if e.r.phase == running {
			c.failJob(now, e.r, e.task, e.kind, e.reason)
		}
	}
	c.placeDelayed(now)
}

// observe records the run time and the outcome of a task that ran at the agent,
// for outlier detection.
func (c *Core) observe(agent string, m *wire.Result) {
	if failure.Ran(m.Ran) == failure.DidRun {
		failed := failure.Kind(m.Kind) == failure.TaskFailed || failure.Kind(m.Kind) == failure.BadAnswer
		c.agents.Observe(agent, time.Duration(m.RunMicros)*time.Microsecond, failed)
	}
}

// acknowledgeLeave sends LeaveAck to an agent that is leaving, once. No task is
// sent to that agent afterwards.
func (c *Core) acknowledgeLeave(agent string, l wire.Load) {
	if p := c.peers[agent]; p != nil && l.Leaving && !p.leaveAcked {
		p.leaveAcked = true
		c.send(agent, &wire.LeaveAck{})
	}
}

// jobFailure is the reason for which a job has to be failed.
type jobFailure struct {
	r      *record
	task   int
	kind   failure.Kind
	reason string
}

func (c *Core) handleResult(now time.Time, agent string, m *wire.Result) (e jobFailure, failed bool) {
	r := c.jobs[m.Job]
	i := int(m.Index)
	if r == nil || !r.job.AwaitsResult(i, agent, int(m.Attempt)) {
		c.count.Dropped(dropLateResult)
		return jobFailure{}, false
	}
	k, ran := failure.Kind(m.Kind), failure.Ran(m.Ran)
	if k == failure.None {
		r.job.Finish(i, m.Body)
		if r.job.Answer() != nil {
			c.endJob(now, r)
		}
		return jobFailure{}, false
	}
	c.count.Refused(k)
	if ran == failure.NotRun {
		return c.handleNotRun(now, r, i, k, m.Reason)
	}
	r.job.End(i, ran)
	return jobFailure{r, i, k, m.Reason}, true
}
