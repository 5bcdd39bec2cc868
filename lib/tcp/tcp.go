// Package tcp sets the limits after which the operating system gives a silent connection
// up: one whose peer's box has no power, or whose path drops everything, hangs for ever
// otherwise. It owns nothing, and relies on the socket options of Linux.
package tcp

import (
	"net"
	"syscall"
	"time"
)

// The limits, for a connection with unacknowledged bytes and for an idle one. Linux sends no
// keep-alive probe while bytes are unacknowledged, so the first does not follow from the
// others. Each process has shorter ones of its own for what it waits for; these free what it
// has forgotten.
const (
	userTimeout  = 3 * time.Second // TCP_USER_TIMEOUT: unacknowledged bytes
	keepIdle     = 2 * time.Second // before the first keep-alive probe
	keepInterval = time.Second     // between probes
	keepCount    = 2               // unanswered probes that end the connection
)

// optionUserTimeout is the number of the socket option TCP_USER_TIMEOUT on Linux.
const optionUserTimeout = 18

var keepAlive = net.KeepAliveConfig{Enable: true, Idle: keepIdle, Interval: keepInterval, Count: keepCount}

// Dialer returns a dialer whose connections have the limits; limit is for one dial.
func Dialer(limit time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         limit,
		KeepAliveConfig: keepAlive,
		Control:         func(_, _ string, c syscall.RawConn) error { return setUserTimeout(c) },
	}
}

// SetTimeouts sets the limits of a connection that was accepted.
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
		// Where the system has no such option, the keep-alive probes do.
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, optionUserTimeout, int(userTimeout.Milliseconds()))
	})
}
