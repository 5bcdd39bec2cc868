package coordinator

import (
	"time"

	"github.com/lichenfall/lichenfall/lib/peer"
	"github.com/lichenfall/lichenfall/wire"
)

// inboundConns orders the connections that other coordinators keep to us, by when they came
// up. What a coordinator sent before it gave a connection up may arrive when a cut heals,
// beside its next connection: an old announcement would hide which best-effort jobs it has,
// and a call that its caller has long sent again would run beside its copy.
type inboundConns struct {
	ups    uint64
	number map[*peer.Conn]uint64 // rises with each connection
	heard  map[string]uint64     // the latest that each address was heard over
}

func newInboundConns() inboundConns {
	return inboundConns{number: make(map[*peer.Conn]uint64), heard: make(map[string]uint64)}
}

func (i *inboundConns) up(conn *peer.Conn) {
	i.ups++
	i.number[conn] = i.ups
}

func (i *inboundConns) down(conn *peer.Conn) { delete(i.number, conn) }

// accept returns whether what comes from the address over the connection counts: none that
// came up later has been heard. A coordinator says nothing over a connection before it has
// our hello, so one that it gave up unheard retires nothing.
func (i *inboundConns) accept(conn *peer.Conn, address string) bool {
	n := i.number[conn]
	if n < i.heard[address] {
		return false
	}
	i.heard[address] = n
	return true
}

// inboundUp says that another coordinator has connected.
type inboundUp struct{ conn *peer.Conn }

func (e inboundUp) apply(c *Coordinator, now time.Time) {
	c.inbound.up(e.conn)
	c.dialBack(now, e.conn.Peer())
}

// dialBack connects at once to a coordinator that has connected to us. It may have just begun,
// and waits to hear what we have, while we dial an address that was silent for long only now and
// then, or have not read of it.
func (c *Coordinator) dialBack(now time.Time, h *wire.Hello) {
	l := c.links[h.Address]
	switch {
	case h.Role != wire.RoleCoordinator || l != nil && l.conn != nil:
		return
	case l != nil:
		l.stop()
	}
	c.connect(now, h.Address, wire.RoleCoordinator)
}

// inboundDown says that its connection is lost.
type inboundDown struct{ conn *peer.Conn }

func (e inboundDown) apply(c *Coordinator, _ time.Time) { c.inbound.down(e.conn) }

// inbound posts what happens on connections that other coordinators keep to us.
type inbound struct{ c *Coordinator }

// Up is called when the connection is made.
func (i inbound) Up(conn *peer.Conn, _ *wire.Hello) { i.c.loop.Post(inboundUp{conn}) }

// Message is called for each message of the peer.
func (i inbound) Message(conn *peer.Conn, m wire.Message) {
	i.c.loop.Post(peerSaid{address: conn.Peer().Address, conn: conn, message: m, inbound: true})
}

// Down is called when the connection is lost.
func (i inbound) Down(conn *peer.Conn, _ error) { i.c.loop.Post(inboundDown{conn}) }
