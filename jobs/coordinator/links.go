package coordinator

import (
	"context"
	"time"

	"github.com/zeebo/errs"
	"go.uber.org/zap"

	"github.com/lichenfall/lichenfall/jobs/dedup"
	"github.com/lichenfall/lichenfall/lib/peer"
	"github.com/lichenfall/lichenfall/wire"
)

// link is the connection that we maintain to another process.
type link struct {
	role wire.Role
	conn *peer.Conn // nil while it is down
	stop context.CancelFunc
	// changed is when the connection was last made or lost, or when the link was created.
	changed time.Time
}

// connect creates a link to the address: a connection that is dialled again whenever it is lost,
// until the link's stop is called.
func (c *Coordinator) connect(now time.Time, address string, role wire.Role) {
	ctx, stop := context.WithCancel(c.ctx)
	l := &link{role: role, stop: stop, changed: now}
	c.links[address] = l
	go peer.KeepConnected(ctx, address, c.linkOptions(role), c.hello, outbound{c, address, l})
}

// linkOptions returns the options of connections to processes of the role. Workers need no
// AckLimit: a silent worker is detected sooner, by its missing statuses.
func (c *Coordinator) linkOptions(role wire.Role) peer.Options {
	opts := c.peerOpts
	if role == wire.RoleCoordinator {
		opts.AckLimit = ackLimit
	}
	return opts
}

var errSilent = errs.New("no status from the worker in time")

// reconnect closes the connection to a silent worker, which is then dialled again.
func (c *Coordinator) reconnect(address string) {
	if l := c.links[address]; l != nil && l.conn != nil {
		l.conn.Close(errSilent)
		l.conn = nil
	}
}

// linkUp reports that the connection of a link has been made. Another link to the address may have
// taken its place.
type linkUp struct {
	address string
	link    *link
	conn    *peer.Conn
	hello   *wire.Hello
}

func (e linkUp) apply(c *Coordinator, now time.Time) {
	l := c.links[e.address]
	if l != e.link {
		return
	}
	l.conn = e.conn
	l.changed = now
	if l.role == wire.RoleWorker {
		c.core.WorkerUp(now, e.address, e.hello.DataCentre)
		c.reportRecord(e.address, e.conn)
		return
	}
	c.log.Info("coordinator_up", zap.String("peer", e.address))
	c.announcedAt = time.Time{}
	c.askToEnd(now, e.address)
}

// reportRecord sends a worker its record in the store, as far as we have read it. A worker that has
// just started would otherwise have to read the records of all processes to find its own.
func (c *Coordinator) reportRecord(address string, conn *peer.Conn) {
	b := c.members[address].Backend
	if b == nil {
		return
	}
	m := &wire.RecordedBackend{Instance: b.Instance, Born: b.Born, Service: b.Service, Ready: b.Ready, Capacity: b.Capacity, Labels: b.Labels}
	if err := conn.Send(m); err != nil {
		c.log.Debug("message_unsent", zap.String("peer", address), zap.Stringer("kind", m.WireKind()), zap.Error(err))
	}
}

// linkDown reports that the connection of a link is lost.
type linkDown struct {
	address string
	link    *link
	conn    *peer.Conn
	err     error
}

func (e linkDown) apply(c *Coordinator, now time.Time) {
	l := c.links[e.address]
	if l != e.link || (l.conn != nil && l.conn != e.conn) {
		return
	}
	l.conn = nil
	l.changed = now
	if l.role == wire.RoleWorker {
		c.core.WorkerDown(now, e.address)
		return
	}
	c.log.Info("coordinator_down", zap.String("peer", e.address), zap.Error(e.err))
	c.peerLost(now, e.address)
}

// peerMessage is a message from the process that is known by the address.
type peerMessage struct {
	address string
	conn    *peer.Conn
	message wire.Message
	inbound bool // over a connection that the peer has made to us
}

func (e peerMessage) apply(c *Coordinator, now time.Time) {
	if l := c.links[e.address]; !e.inbound && (l == nil || l.conn != e.conn) {
		return
	}
	if e.inbound && !c.inbound.accept(e.conn, e.address) {
		return
	}
	switch m := e.message.(type) {
	case *wire.WorkerStatus:
		c.core.Status(now, e.address, m)
	case *wire.RunEnds:
		c.core.Ends(now, e.address, m)
	case *wire.PartitionRuns:
		c.core.Runs(now, e.address, m)
	case *wire.ReportPending:
		c.core.ReportPending(now, e.address, m)
	case *wire.JobCall:
		c.handleForwarded(now, e.conn, m)
	case *wire.JobReply:
		c.handleForwardReply(m)
	case *wire.QueueCounts:
		c.handleAnnouncement(now, dedup.Peer{Address: e.address, Incarnation: e.conn.Peer().Incarnation}, m)
	case *wire.CrashReport:
		c.core.RecordCrashes(now, m)
	case *wire.HandOver:
		c.requestJoin()
	case *wire.EndTerms:
		c.handleEndTerms(now, e.conn, m)
	case *wire.TermsEnded:
		c.handleTermsEnded(now, m)
	}
}

// outbound posts the events of our link to an address.
type outbound struct {
	c       *Coordinator
	address string
	link    *link
}

// Up posts that the connection has been made.
func (o outbound) Up(conn *peer.Conn, h *wire.Hello) {
	o.c.loop.Post(linkUp{o.address, o.link, conn, h})
}

// Message posts a message.
func (o outbound) Message(conn *peer.Conn, m wire.Message) {
	o.c.loop.Post(peerMessage{address: o.address, conn: conn, message: m})
}

// Down posts that the connection is lost.
func (o outbound) Down(conn *peer.Conn, err error) {
	o.c.loop.Post(linkDown{o.address, o.link, conn, err})
}
