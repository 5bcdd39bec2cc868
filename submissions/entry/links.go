package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/lichenfall/lichenfall/lib/peer"
	"github.com/lichenfall/lichenfall/submissions/membership"
	"github.com/lichenfall/lichenfall/wire"
)

// link is a connection to a peer, whether established or still being dialled.
type link struct {
	conn *peer.Conn // nil while not connected
	stop context.CancelFunc
}

// dial starts to keep a connection to the address: it is made again after each loss, until drop is
// called.
func (e *Entry) dial(addr string) {
	if e.links[addr] != nil {
		return
	}
	ctx, stop := context.WithCancel(e.ctx)
	e.links[addr] = &link{stop: stop}
	go peer.KeepConnected(ctx, addr, e.peerOpts, e.hello, outbound{e, addr})
}

// drop closes the connection to the address and stops redialling it.
func (e *Entry) drop(addr string) {
	if l := e.links[addr]; l != nil {
		l.stop()
		delete(e.links, addr)
	}
}

// outbound handles the connection that this entry keeps to an address.
type outbound struct {
	e    *Entry
	addr string
}

// Up is called when the connection is established.
func (o outbound) Up(c *peer.Conn, h *wire.Hello) {
	o.e.loop.Post(event{kind: evUp, peer: o.addr, conn: c, hello: h})
}

// Message is called for each message of the peer.
func (o outbound) Message(_ *peer.Conn, m wire.Message) {
	o.e.loop.Post(event{kind: evMessage, peer: o.addr, message: m})
}

// Down is called when the connection is lost.
func (o outbound) Down(_ *peer.Conn, err error) {
	o.e.loop.Post(event{kind: evDown, peer: o.addr, err: err})
}

// inboundPrefix begins the names of connections that peers opened to this entry. The name of every
// other connection is its address.
const inboundPrefix = "in-"

// inbound handles the connections that other entries open to this one.
type inbound struct {
	e *Entry
}

// Up is called when another entry has connected.
func (i inbound) Up(c *peer.Conn, h *wire.Hello) {
	c.Name = fmt.Sprintf("%s%d", inboundPrefix, i.e.lastInboundID.Add(1))
	i.e.loop.Post(event{kind: evUp, peer: c.Name, conn: c, hello: h})
}

// Message is called for each message of the peer.
func (i inbound) Message(c *peer.Conn, m wire.Message) {
	i.e.loop.Post(event{kind: evMessage, peer: c.Name, message: m})
}

// Down is called when the connection is lost.
func (i inbound) Down(c *peer.Conn, err error) {
	i.e.loop.Post(event{kind: evDown, peer: c.Name, err: err})
}

// pollBoxes polls the platform's box list until the entry ends. After a failed read the last list
// stays in force.
func (e *Entry) pollBoxes() {
	var version uint64
	for e.ctx.Err() == nil {
		list, changed, err := e.boxes.Boxes(e.ctx, version)
		if err != nil {
			e.log.Debug("cannot read the box list", zap.Error(err))
		}
		if err == nil && changed {
			version = list.Version
			e.loop.Post(event{kind: evBoxes, boxes: list})
		}
		e.sleepWithJitter(e.cfg.BoxList.Poll.D())
	}
}

// sleepWithJitter waits for half to one and a half times d, or until the entry ends.
func (e *Entry) sleepWithJitter(d time.Duration) {
	t := time.NewTimer(d/2 + rand.N(d))
	defer t.Stop()
	select {
	case <-t.C:
	case <-e.ctx.Done():
	}
}

// applyBoxes updates the view of the agents from a new box list. The view rejects a list that is
// empty or older than the last one.
func (e *Entry) applyBoxes(now time.Time, list membership.BoxList) {
	change, ok := e.view.Apply(now, list)
	if !ok {
		e.log.Warn("box list rejected", zap.Uint64("version", list.Version), zap.Int("boxes", len(list.Boxes)))
		return
	}
	for _, addr := range change.Dial {
		e.dial(addr)
	}
	for _, addr := range change.Leaving {
		e.core.SetListedLeaving(addr, true)
	}
	for _, addr := range change.NotLeaving {
		e.core.SetListedLeaving(addr, false)
	}
}
