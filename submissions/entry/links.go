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

// link is a connection to a peer, kept or to be made.
type link struct {
	conn *peer.Conn // nil while there is none
	stop context.CancelFunc
}

// dial keeps a connection to the address from now on.
func (e *Entry) dial(addr string) {
	if e.links[addr] != nil {
		return
	}
	ctx, stop := context.WithCancel(e.halt)
	e.links[addr] = &link{stop: stop}
	go peer.Keep(ctx, addr, e.peerOpts, e.hello, outbound{e, addr})
}

func (e *Entry) drop(addr string) {
	if l := e.links[addr]; l != nil {
		l.stop()
		delete(e.links, addr)
	}
}

// outbound handles the connection that we keep to an address.
type outbound struct {
	e    *Entry
	addr string
}

// Up is called when the connection is made.
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

// inboundPrefix begins the names of connections that were made to us; all other
// names are addresses.
const inboundPrefix = "in-"

// inbound handles the connections that other entries make to us.
type inbound struct {
	e *Entry
}

// Up is called when another entry has connected.
func (i inbound) Up(c *peer.Conn, h *wire.Hello) {
	c.Name = fmt.Sprintf("%s%d", inboundPrefix, i.e.lastInbound.Add(1))
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

// pollBoxes reads the platform's box list again and again. What cannot be read
// changes nothing.
func (e *Entry) pollBoxes() {
	var version uint64
	for e.halt.Err() == nil {
		list, changed, err := e.boxes.Boxes(e.halt, version)
		if err != nil {
			e.log.Debug("box list not read", zap.Error(err))
		}
		if err == nil && changed {
			version = list.Version
			e.loop.Post(event{kind: evBoxes, boxes: list})
		}
		e.pause(e.cfg.BoxList.Poll.D())
	}
}

// pause waits for half to one and a half times d.
func (e *Entry) pause(d time.Duration) {
	t := time.NewTimer(d/2 + rand.N(d))
	defer t.Stop()
	select {
	case <-t.C:
	case <-e.halt.Done():
	}
}

func (e *Entry) takeBoxes(now time.Time, list membership.BoxList) {
	change, ok := e.view.Apply(now, list)
	if !ok {
		e.log.Warn("box list passed over", zap.Uint64("version", list.Version), zap.Int("boxes", len(list.Boxes)))
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
