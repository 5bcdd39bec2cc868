// Package tcp sets the timeouts after which the operating system closes a silent connection. Without
// them, a connection whose peer's box has lost power, or whose network path drops all packets, would
// hang forever. The package holds no state and relies on the socket options of Linux.
package tcp

import (
	"net"
	"syscall"
	"time"
)

// Timeouts of a connection with unacknowledged bytes and of an idle one. Linux sends no keep-alive
// probe while bytes are unacknowledged, so both are needed. Processes have shorter timeouts of
// their own for the replies that they wait for; these close the remaining connections.
const (
	userTimeout  = 3 * time.Second // TCP_USER_TIMEOUT: unacknowledged bytes
	keepIdle     = 2 * time.Second // idle time before the first keep-alive probe
	keepInterval = time.Second     // interval between probes
	keepCount    = 2               // unanswered probes after which the connection is closed
)

// optionUserTimeout is the number of the socket option TCP_USER_TIMEOUT on Linux.
const optionUserTimeout = 18

var keepAlive = net.KeepAliveConfig{Enable: true, Idle: keepIdle, Interval: keepInterval, Count: keepCount}

// Dialer returns a dialer that sets the timeouts on its connections; limit is the timeout of a dial.
func Dialer(limit time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         limit,
		KeepAliveConfig: keepAlive,
		Control:         func(_, _ string, c syscall.RawConn) error { return setUserTimeout(c) },
	}
}

// SetTimeouts sets the timeouts on an accepted connection. It ignores connections that are not TCP.
func SetTimeouts(nc net.Conn) error {
	c, ok := nc.(*net.TCPConn)
	if !ok {
		return nil
	}
	if err := c.SetKeepAliveConfig(keepAlive); err != nil {
		return err
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	return setUserTimeout(raw)
}

func setUserTimeout(c syscall.RawConn) error {
	return c.Control(func(fd uintptr) {
		// The error is ignored: without this option, the keep-alive probes still close idle
		// connections.
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, optionUserTimeout, int(userTimeout.Milliseconds()))
	})
}
