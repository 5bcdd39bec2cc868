package coordinator

import (
	"testing"

	"github.com/lichenfall/lichenfall/lib/peer"
)

// TestLateInbound has another coordinator connect anew while what it sent over its earlier
// connection is still on its way.
func TestLateInbound(t *testing.T) {
	const address, other = "10.0.0.1:7720", "10.0.0.2:7720"
	earlier, later, unused := &peer.Conn{}, &peer.Conn{}, &peer.Conn{}
	i := newInboundConns()
	i.up(earlier)
	if !i.accept(earlier, address) {
		t.Fatal("the only connection is not heard")
	}
	i.up(later)
	if !i.accept(earlier, address) {
		t.Fatal("a connection is retired before the next is heard")
	}
	if !i.accept(later, address) || i.accept(earlier, address) {
		t.Fatal("what comes late over an earlier connection counts")
	}
	i.up(unused) // given up unheard by its peer
	if !i.accept(later, address) {
		t.Fatal("a connection that was never used retires one that is")
	}
	if !i.accept(unused, other) {
		t.Fatal("another coordinator is not heard")
	}
	i.down(earlier)
	if i.accept(earlier, address) {
		t.Fatal("a message that waited behind the end of its connection counts")
	}
}
