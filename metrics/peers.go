package metrics

import (
	"github.com/uber-go/tally/v4"

	"github.com/lichenfall/lichenfall/peer"
	"github.com/lichenfall/lichenfall/wire"
)

// Peers counts messages and faults on connections between processes. It is a
// peer.Counter.
type Peers struct {
	messages [2][256]tally.Counter
	bytes    [2]tally.Counter
	faults   map[string]tally.Counter
}

// NewPeers returns the counters, all at zero.
func NewPeers(s tally.Scope) *Peers {
	p := &Peers{}
	for d, name := range []string{peer.In: "in", peer.Out: "out"} {
		tagged := s.Tagged(map[string]string{"direction": name})
		p.bytes[d] = tagged.Counter("message_bytes")
		unknown := tagged.Tagged(map[string]string{"kind": "unknown"}).Counter("messages")
		for k := range p.messages[d] {
			p.messages[d][k] = unknown
		}
		for _, k := range wire.Kinds() {
			p.messages[d][k] = tagged.Tagged(map[string]string{"kind": k.String()}).Counter("messages")
		}
	}
	p.faults = labelled(s, "connection_faults", "reason", append(peer.FaultReasons(), other))
	return p
}

// Message counts one message.
func (p *Peers) Message(d peer.Direction, k wire.Kind, bytes int) {
	p.messages[d][k].Inc(1)
	p.bytes[d].Inc(int64(bytes))
}

// Fault counts a connection closed by the peer's fault.
func (p *Peers) Fault(reason string) { inc(p.faults, reason, 1) }
