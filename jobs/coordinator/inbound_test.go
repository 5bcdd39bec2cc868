package coordinator

import (
	"testing"

	"github.com/lichenfall/lichenfall/lib/peer"
)

// TestLateInbound guards against messages of an old connection being accepted after messages of a
// newer one: another coordinator connects again while what it sent before is still on its way.
func TestLateInbound(t *testing.T) {
	const address, other = "10.0.0.1:7720", "10.0.0.2:7720"
	earlier, later, unused := &peer.Conn{}, &peer.Conn{}, &peer.Conn{}
	i := newInboundConns()
	i.up(earlier)
	if !i.accept(earlier, address) {
		t.Fatal("a message over the only connection is dropped")
	}
	i.up(later)
	if !i.accept(earlier, address) {
		t.Fatal("a message over the older connection is dropped before one has come over the newer")
	}
	if !i.accept(later, address) || i.accept(earlier, address) {
		t.Fatal("a late message over the older connection is accepted, or one over the newer is dropped")
	}
	i.up(unused) // the peer gave it up before it sent a message
	if !i.accept(later, address) {
		t.Fatal("a message is dropped because of a newer connection without messages")
	}
	if !i.accept(unused, other) {
		t.Fatal("a message of another coordinator is dropped")
	}
	i.down(earlier)
	if i.accept(earlier, address) {
		t.Fatal("a message that is handled after the end of its older connection is accepted")
	}
}
