package peer

import (
	"time"

	"github.com/zeebo/errs"

	"github.com/lichenfall/lichenfall/wire"
)

// handshake sends the local hello and reads the remote one. A peer that sends no valid hello within
// Options.HelloTimeout is not a lichenfall process, and the connection is closed.
func (c *Conn) handshake(local *wire.Hello) (*wire.Hello, error) {
	buf, err := wire.Append(nil, local)
	if err != nil {
		return nil, err
	}
	if err := c.nc.SetReadDeadline(time.Now().Add(c.opts.HelloTimeout)); err != nil {
		return nil, err
	}
	if err := c.writeAll(buf); err != nil {
		return nil, err
	}
	c.opts.Counter.Message(Out, local, len(buf))
	remote, err := c.readHello()
	if err != nil {
		return nil, err
	}
	return remote, c.nc.SetReadDeadline(time.Time{})
}

// maxHello is the limit on the first frame in bytes: an unknown client cannot make the process
// allocate more. It is about twenty times the size of a hello.
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
		return nil, errs.New("peer has protocol version %d, this process has %d", h.Version, wire.Version)
	}
	if c.opts.ClockBound != NoClockBound && !clockOK(h, time.Now(), c.opts.ClockBound) {
		c.opts.Counter.Fault(faultClock)
		return nil, ErrClock
	}
	c.opts.Counter.Message(In, h, n)
	return h, nil
}

// NewHello returns the hello of a process with the present time. address is where peers reach the
// process; it is empty if they know it as the address that they dialled.
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
