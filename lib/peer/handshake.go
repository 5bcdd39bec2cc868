package peer

import (
	"time"

	"github.com/zeebo/errs"

	"github.com/lichenfall/lichenfall/wire"
)

// handshake sends our hello and reads theirs. Whoever does not say a proper
// hello in time is not one of our processes, and is cut off.
func (c *Conn) handshake(ours *wire.Hello) (*wire.Hello, error) {
	buf, err := wire.Append(nil, ours)
	if err != nil {
		return nil, err
	}
	if err := c.nc.SetReadDeadline(time.Now().Add(c.opts.HelloTimeout)); err != nil {
		return nil, err
	}
	if err := c.writeAll(buf); err != nil {
		return nil, err
	}
	c.opts.Counter.Message(Out, ours, len(buf))
	theirs, err := c.readHello()
	if err != nil {
		return nil, err
	}
	return theirs, c.nc.SetReadDeadline(time.Time{})
}

// maxHello bounds what a stranger can make us hold, in bytes. Some twenty times a hello.
const maxHello = 4 << 10

func (c *Conn) readHello() (*wire.Hello, error) {
	m, n, err := wire.Read(c.r, maxHello)
	if err != nil {
		c.countFault(err)
		return nil, err
	}
	h, ok := m.(*wire.Hello)
	if !ok {
		c.opts.Counter.Fault(faultNoHello)
		return nil, errs.New("first message is %s, not hello", m.WireKind())
	}
	if h.Version != wire.Version {
		c.opts.Counter.Fault(faultVersion)
		return nil, errs.New("peer speaks version %d, we speak %d", h.Version, wire.Version)
	}
	if c.opts.ClockBound != NoClockBound && !clockOK(h, time.Now(), c.opts.ClockBound) {
		c.opts.Counter.Fault(faultClock)
		return nil, ErrClock
	}
	c.opts.Counter.Message(In, h, n)
	return h, nil
}

// NewHello returns the Hello of a process, written now. address is where its
// peers reach it; empty for one that is known by where it was dialled.
func NewHello(role wire.Role, box, dataCentre, incarnation, address string) *wire.Hello {
	return &wire.Hello{
		Version:     wire.Version,
		Role:        role,
		Box:         box,
		DataCentre:  dataCentre,
		Incarnation: incarnation,
		Address:     address,
		UnixMicros:  time.Now().UnixMicro(),
	}
}
