package metrics

import (
	"github.com/uber-go/tally/v4"

	"github.com/lichenfall/lichenfall/lib/peer"
	"github.com/lichenfall/lichenfall/wire"
)

// directions are the labels of peer.Direction.
var directions = [...]string{peer.In: "in", peer.Out: "out"}

// Peers counts messages and faults on connections between processes. It is a
// peer.Counter.
type Peers struct {
	messages [2]map[string]tally.Counter
	bytes    [2]map[string]tally.Counter // by kind
	faults   map[string]tally.Counter
}

// NewPeers returns the counters, all at zero.
func NewPeers(s tally.Scope) *Peers {
	p := &Peers{}
	for d, name := range directions {
		tagged := s.Tagged(map[string]string{"direction": name})
		p.bytes[d] = labelled(tagged, "message_bytes", "kind", append(wire.Labels(), other))
		p.messages[d] = labelled(tagged, "messages", "kind", append(wire.Labels(), other))
	}
	p.faults = labelled(s, "connection_faults", "reason", append(peer.FaultReasons(), other))
	return p
}

// Message counts one message.
func (p *Peers) Message(d peer.Direction, m wire.Message, bytes int) {
	inc(p.messages[d], wire.Label(m), 1)
	inc(p.bytes[d], wire.Label(m), bytes)
}

// Fault counts a connection closed by the peer's fault.
func (p *Peers) Fault(reason string) { inc(p.faults, reason, 1) }
