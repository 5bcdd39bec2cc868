package coordinator

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/jobs/ownership"
	"github.com/lichenfall/lichenfall/lib/peer"
	"github.com/lichenfall/lichenfall/wire"
)

// A coordinator that takes a partition over has the earlier owners end their terms at once: the store
// may not answer them, and they would send heartbeats until their leases are over. Those that can't be
// reached are waited for by the core.

// earlierTerms are terms of a partition of ours that may last.
type earlierTerms struct {
	terms []durable.Term
	endBy time.Time // when they have certainly ended
}

// earlierThan returns the terms that are earlier than ours. A later owner may have fenced us between our
// own fence and the reading; its term is not ours to end.
func earlierThan(id ownership.Term, terms []durable.Term) []durable.Term {
	var out []durable.Term
	for _, t := range terms {
		if t.Epoch < id.Epoch {
			out = append(out, t)
		}
	}
	return out
}

// endEarlierTerms ends the earlier terms that the store names. A term of our own address has ended: of
// this process, since a process has one term of a partition at a time; of a process before it, since
// that is gone.
func (c *Coordinator) endEarlierTerms(now time.Time, id ownership.Term, terms []durable.Term, endBy time.Time) {
	var others []durable.Term
	for _, t := range terms {
		switch {
		case t.Address == c.peers.Advertised() || c.endedTerms[id.Partition] == t.Epoch:
			c.core.EarlierTermEnded(now, id.Partition, t.Epoch)
		default:
			others = append(others, t)
		}
	}
	if len(others) == 0 {
		return
	}
	c.earlierTerms[id.Partition] = earlierTerms{others, endBy}
	for _, t := range others {
		c.askToEnd(now, t.Address)
	}
}

// askToEnd asks the coordinator at the address to end its terms of partitions that we own now, if it is
// connected. Otherwise it is asked when it is, unless they have ended by then: a program of an earlier
// version that has taken its place would close the connection for the message.
func (c *Coordinator) askToEnd(now time.Time, address string) {
	m := &wire.EndTerms{}
	for partition, e := range c.earlierTerms {
		if now.After(e.endBy) {
			delete(c.earlierTerms, partition)
			continue
		}
		for _, t := range e.terms {
			if t.Address == address {
				m.Terms = append(m.Terms, wire.PartitionEpoch{Partition: partition, Epoch: t.Epoch})
			}
		}
	}
	if l := c.links[address]; l != nil && l.role == wire.RoleCoordinator && len(m.Terms) > 0 {
		c.sendCoordinator(l, m)
	}
}

// handleEndTerms ends terms of ours as another coordinator demands that owns their partitions now. The
// store has not told us so yet, or could not. The next join shows what else has changed, and need not
// come sooner for it.
func (c *Coordinator) handleEndTerms(now time.Time, conn *peer.Conn, m *wire.EndTerms) {
	for _, t := range m.Terms {
		id := ownership.Term{Partition: t.Partition, Epoch: t.Epoch}
		c.owned.Lost(id)
		c.endTerm(now, id, "superseded")
	}
	reply := &wire.TermsEnded{Terms: m.Terms}
	if err := conn.Send(reply); err != nil {
		c.log.Debug("message_unsent", zap.Stringer("kind", reply.WireKind()), zap.Error(err))
	}
}

// handleTermsEnded records that terms of another coordinator have ended. At a planned stop it says so
// before we take its partitions over.
func (c *Coordinator) handleTermsEnded(now time.Time, m *wire.TermsEnded) {
	for _, t := range m.Terms {
		c.endedTerms[t.Partition] = max(c.endedTerms[t.Partition], t.Epoch)
		c.core.EarlierTermEnded(now, t.Partition, t.Epoch)
		if e, waits := c.earlierTerms[t.Partition]; waits {
			e.terms = slices.DeleteFunc(e.terms, func(o durable.Term) bool { return o.Epoch == t.Epoch })
			c.earlierTerms[t.Partition] = e
		}
	}
}
