package coordinator

import (
	"context"
	"testing"

	"github.com/lichenfall/lichenfall/lib/peer"
	"github.com/lichenfall/lichenfall/wire"
)

// TestLinkThatWasReplacedChangesNothing guards against a worker or coordinator that is taken for
// unreachable while it is connected: the connection of a link that has been replaced came up after that
// of the present link, was taken for it, and closed.
func TestLinkThatWasReplacedChangesNothing(t *testing.T) {
	for _, role := range []wire.Role{wire.RoleWorker, wire.RoleCoordinator, wire.RoleClaimant} {
		c := newStallCase(t)
		c.ctx, c.cancel = context.WithCancel(context.Background())
		c.cancel() // no link dials
		const address = "127.0.0.1:1"
		connect := func() *link {
			if role == wire.RoleClaimant {
				c.connectWitness(c.now, address)
				return c.witnesses[address]
			}
			c.connect(c.now, address, role)
			return c.links[address]
		}
		up := func(l *link, conn *peer.Conn) event {
			if role == wire.RoleClaimant {
				return witnessUp{address, l, conn}
			}
			return linkUp{address, l, conn, &wire.Hello{}}
		}
		replaced, present := connect(), connect()
		conn := &peer.Conn{}
		up(present, conn).apply(c.Coordinator, c.now)
		up(replaced, &peer.Conn{}).apply(c.Coordinator, c.now)
		if present.conn != conn {
			t.Errorf("role %d: the connection of a link that was replaced is taken for that of the present one", role)
		}
	}
}
