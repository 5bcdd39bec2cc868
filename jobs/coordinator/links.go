package coordinator

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/zeebo/errs"
	"go.uber.org/zap"

	"github.com/lichenfall/lichenfall/jobs/store"
	"github.com/lichenfall/lichenfall/lib/peer"
	"github.com/lichenfall/lichenfall/wire"
)

var errSilent = errs.New("silent for too long")

// link is the connection that we keep to another process.
type link struct {
	role wire.Role
	conn *peer.Conn // nil while there is none
	stop context.CancelFunc
	// changed is when the connection was made or lost, or first wanted.
	changed time.Time
}

// route says where calls about a partition go.
type route struct {
	address string
	epoch   uint64
}

// membersChanged connects to processes that are new.
func (c *Coordinator) membersChanged(now time.Time, members []store.Member) {
	for _, m := range members {
		if m.Address == c.address() {
			continue
		}
		if _, known := c.members[m.Address]; !known {
			c.log.Info("member_known", zap.String("address", m.Address), zap.String("role", string(m.Role)))
		}
		c.members[m.Address] = m
		if m.Role == store.RoleWorker {
			c.core.WorkerKnown(now, m.Address)
		} else if c.links[m.Address] == nil {
			c.connect(now, m.Address, wire.RoleCoordinator)
		}
	}
	c.chooseWorkers(now)
}

// connect keeps a connection to the address until it is no longer wanted.
func (c *Coordinator) connect(now time.Time, address string, role wire.Role) {
	ctx, stop := context.WithCancel(c.halt)
	c.links[address] = &link{role: role, stop: stop, changed: now}
	go peer.Keep(ctx, address, c.peerOpts, c.hello, outbound{c, address})
}

// outbound handles the connection that we keep to an address.
type outbound struct {
	c    *Coordinator
	addr string
}

// Up is called when the connection is made.
func (o outbound) Up(conn *peer.Conn, h *wire.Hello) {
	o.c.loop.Post(event{kind: evUp, peer: o.addr, conn: conn, hello: h})
}

// Message is called for each message of the peer.
func (o outbound) Message(conn *peer.Conn, m wire.Message) {
	o.c.loop.Post(event{kind: evMessage, peer: o.addr, conn: conn, message: m})
}

// Down is called when the connection is lost.
func (o outbound) Down(conn *peer.Conn, err error) {
	o.c.loop.Post(event{kind: evDown, peer: o.addr, conn: conn, err: err})
}

// inbound handles connections that other coordinators keep to us.
type inbound struct{ c *Coordinator }

// Up is called when the connection is made.
func (i inbound) Up(*peer.Conn, *wire.Hello) {}

// Message is called for each message of the peer.
func (i inbound) Message(conn *peer.Conn, m wire.Message) {
	i.c.loop.Post(event{kind: evMessage, peer: conn.Peer().Address, conn: conn, message: m, inbound: true})
}

// Down is called when the connection is lost.
func (i inbound) Down(*peer.Conn, error) {}

func (c *Coordinator) linkUp(now time.Time, ev event) {
	l := c.links[ev.peer]
	if l == nil {
		return
	}
	l.conn = ev.conn
	l.changed = now
	if l.role == wire.RoleWorker {
		c.core.WorkerUp(now, ev.peer, ev.hello.DataCentre)
		return
	}
	c.log.Info("coordinator_up", zap.String("peer", ev.peer))
	c.toldAt = time.Time{}
}

func (c *Coordinator) linkDown(now time.Time, ev event) {
	l := c.links[ev.peer]
	if l == nil || (l.conn != nil && l.conn != ev.conn) {
		return
	}
	l.conn = nil
	l.changed = now
	if l.role == wire.RoleWorker {
		c.core.WorkerDown(now, ev.peer)
		return
	}
	c.log.Info("coordinator_down", zap.String("peer", ev.peer), zap.Error(ev.err))
	c.peerLost(now, ev.peer)
}

func (c *Coordinator) message(now time.Time, ev event) {
	if l := c.links[ev.peer]; !ev.inbound && (l == nil || l.conn != ev.conn) {
		return
	}
	switch m := ev.message.(type) {
	case *wire.WorkerStatus:
		c.core.Status(now, ev.peer, m)
	case *wire.RunEnds:
		c.core.Ends(now, ev.peer, m)
	case *wire.PartitionRuns:
		c.core.Runs(now, ev.peer, m)
	case *wire.JobCall:
		c.takeForwarded(now, ev.conn, m)
	case *wire.JobReply:
		c.forwardAnswered(now, m)
	case *wire.QueueCounts:
		c.countsHeard(ev.peer, m)
	case *wire.HandOver:
		c.kickJoin()
	}
}

// announceAfter is the age from which other coordinators are told of a
// best-effort job. It is less than the time after which a caller without an
// answer sends it again.
const announceAfter = 800 * time.Millisecond

// tellAnyway is how old the counts that others have of us may get.
const tellAnyway = time.Second

// tellCounts tells other coordinators what we own and how many jobs wait: soon
// where they would send a call to the wrong place, else now and then.
func (c *Coordinator) tellCounts(now time.Time) {
	if now.Sub(c.lookedAt) < c.cfg.Ownership.Tell.D() && !c.toldAt.IsZero() {
		return
	}
	c.lookedAt = now
	mine := c.core.Waiting()
	c.sumCounts(mine)
	m := &wire.QueueCounts{Partitions: c.core.Partitions(), BestEffort: c.core.LongHeld(now, announceAfter)}
	if now.Sub(c.toldAt) < tellAnyway && !routesDiffer(m, c.told) {
		return
	}
	c.toldAt = now
	c.told = m
	for queue, jobs := range mine {
		m.Counts = append(m.Counts, wire.QueueCount{Queue: queue, Jobs: jobs})
	}
	for _, l := range c.links {
		if l.conn != nil && l.role == wire.RoleCoordinator {
			_ = l.conn.Send(m)
		}
	}
}

// routesDiffer returns whether a call could go to the wrong place by what the
// others were told before.
func routesDiffer(m, told *wire.QueueCounts) bool {
	if !slices.Equal(m.Partitions, told.Partitions) {
		return true
	}
	for _, id := range m.BestEffort {
		if _, known := slices.BinarySearch(told.BestEffort, id); !known {
			return true
		}
	}
	return false
}

// reachable returns how many other coordinators are connected.
func (c *Coordinator) reachable() int {
	n := 0
	for _, l := range c.links {
		if l.conn != nil && l.role == wire.RoleCoordinator {
			n++
		}
	}
	return n
}

func (c *Coordinator) sumCounts(mine map[string]uint32) {
	all := maps.Clone(mine)
	for _, counts := range c.counts {
		for queue, jobs := range counts {
			all[queue] += jobs
		}
	}
	c.waiting.Store(&all)
}

func (c *Coordinator) countsHeard(from string, m *wire.QueueCounts) {
	counts := make(map[string]uint32, len(m.Counts))
	for _, q := range m.Counts {
		counts[q.Queue] = q.Jobs
	}
	c.counts[from] = counts
	c.forgetHeld(from)
	for _, id := range m.BestEffort {
		c.heldBy[id] = from
	}
	for p, r := range c.remote {
		if r.address == from {
			delete(c.remote, p)
		}
	}
	for _, p := range m.Partitions {
		if r, ok := c.remote[p.Partition]; !ok || p.Epoch >= r.epoch {
			c.remote[p.Partition] = route{from, p.Epoch}
		}
	}
}

// peerLost forgets what a coordinator said that cannot be reached.
func (c *Coordinator) peerLost(now time.Time, from string) {
	delete(c.counts, from)
	for p, r := range c.remote {
		if r.address == from {
			delete(c.remote, p)
		}
	}
	c.forgetHeld(from)
	c.failForwarded(now, from)
}

// forgetHeld forgets the best-effort jobs that the coordinator had.
func (c *Coordinator) forgetHeld(from string) {
	for id, address := range c.heldBy {
		if address == from {
			delete(c.heldBy, id)
		}
	}
}
