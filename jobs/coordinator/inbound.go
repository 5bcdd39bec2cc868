package coordinator

import (
	"time"

	"github.com/lichenfall/lichenfall/lib/peer"
	"github.com/lichenfall/lichenfall/wire"
)

// inboundConns orders the connections that other coordinators have made to us by when they were
// made, so that messages over an older connection can be dropped. A coordinator that closes a
// broken connection makes a new one; when the network works again, messages that it sent over the
// old connection may still arrive. An old announcement would replace the current list of its
// best-effort jobs, and an old call whose caller has sent it again would run the job twice.
type inboundConns struct {
	count   uint64                // of connections so far
	numbers map[*peer.Conn]uint64 // by open connection; higher for a newer one
	newest  map[string]uint64     // by address, of the newest connection that a message came over
}

func newInboundConns() inboundConns {
	return inboundConns{numbers: make(map[*peer.Conn]uint64), newest: make(map[string]uint64)}
}

func (i *inboundConns) up(conn *peer.Conn) {
	i.count++
	i.numbers[conn] = i.count
}

func (i *inboundConns) down(conn *peer.Conn) { delete(i.numbers, conn) }

// accept returns whether a message from the address over the connection counts: no message has
// come over a newer connection from there. A newer connection without messages does not matter,
// since the coordinator may have given it up unused: it sends nothing before it has our hello.
func (i *inboundConns) accept(conn *peer.Conn, address string) bool {
	n := i.numbers[conn]
	if n < i.newest[address] {
		return false
	}
	i.newest[address] = n
	return true
}

// inboundUp reports that another coordinator has connected to us.
type inboundUp struct{ conn *peer.Conn }

func (e inboundUp) apply(c *Coordinator, now time.Time) {
	c.inbound.up(e.conn)
	c.dialBack(now, e.conn.Peer())
}

// dialBack connects at once to a coordinator that has connected to us. It may have just started
// and wait for our announcement. Without this we would reach it late: we dial an address that was
// unreachable for long only every few seconds, and cannot dial one before we have read its
// registration.
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

// inboundDown reports that a connection from another coordinator is lost.
type inboundDown struct{ conn *peer.Conn }

func (e inboundDown) apply(c *Coordinator, _ time.Time) { c.inbound.down(e.conn) }

// inbound posts the events of connections that other coordinators have made to us.
type inbound struct{ c *Coordinator }

// Up posts that a connection has been made.
func (i inbound) Up(conn *peer.Conn, _ *wire.Hello) { i.c.loop.Post(inboundUp{conn}) }

// Message posts a message.
func (i inbound) Message(conn *peer.Conn, m wire.Message) {
	i.c.loop.Post(peerMessage{address: conn.Peer().Address, conn: conn, message: m, inbound: true})
}

// Down posts that a connection is lost.
func (i inbound) Down(conn *peer.Conn, _ error) { i.c.loop.Post(inboundDown{conn}) }
