package tcp

import (
	"net"
	"syscall"
	"testing"
	"time"
)

// TestLimits checks the socket options at both ends of a connection.
func TestLimits(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	dialled, err := Dialer(time.Minute).Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer dialled.Close()
	accepted, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer accepted.Close()
	if err := SetTimeouts(accepted); err != nil {
		t.Fatal(err)
	}
	want := map[string]int{"user timeout": 3000, "keep-alive": 1, "idle": 2, "interval": 1, "count": 2}
	for end, c := range map[string]net.Conn{"dialled": dialled, "accepted": accepted} {
		for name, value := range options(t, c) {
			if value != want[name] {
				t.Errorf("%s: %s is %d, not %d", end, name, value, want[name])
			}
		}
	}
}

// options returns the values of the socket options that the operating system has in force.
func options(t *testing.T, c net.Conn) map[string]int {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	out := make(map[string]int)
	read := func(fd uintptr, name string, level, option int) {
		value, err := syscall.GetsockoptInt(int(fd), level, option)
		if err != nil {
			t.Fatal(err)
		}
		out[name] = value
	}
	err = raw.Control(func(fd uintptr) {
		read(fd, "user timeout", syscall.IPPROTO_TCP, optionUserTimeout)
		read(fd, "keep-alive", syscall.SOL_SOCKET, syscall.SO_KEEPALIVE)
		read(fd, "idle", syscall.IPPROTO_TCP, syscall.TCP_KEEPIDLE)
		read(fd, "interval", syscall.IPPROTO_TCP, syscall.TCP_KEEPINTVL)
		read(fd, "count", syscall.IPPROTO_TCP, syscall.TCP_KEEPCNT)
	})
	if err != nil {
		t.Fatal(err)
	}
	return out
}
