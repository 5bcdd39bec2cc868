package metrics

import (
	"github.com/uber-go/tally/v4"

	"github.com/lichenfall/lichenfall/lib/peer"
	"github.com/lichenfall/lichenfall/wire"
)

// directions are the values of the label direction, indexed by peer.Direction.
var directions = [...]string{peer.In: "in", peer.Out: "out"}

// Peers holds the metrics of messages and faults on connections between processes. It implements
// peer.Counter.
type Peers struct {
	messages [2]map[string]tally.Counter // indexed by direction, then by wire.Label
	bytes    [2]map[string]tally.Counter // likewise
	faults   map[string]tally.Counter    // by reason
}

// NewPeers registers the metrics of connections, all at zero.
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

// Message counts one message and its size in bytes.
func (p *Peers) Message(d peer.Direction, m wire.Message, bytes int) {
	inc(p.messages[d], wire.Label(m), 1)
	inc(p.bytes[d], wire.Label(m), bytes)
}

// Fault counts a connection that was closed because of a fault.
func (p *Peers) Fault(reason string) { inc(p.faults, reason, 1) }
