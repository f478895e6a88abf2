package outlet

import (
	"net"
	"syscall"
	"time"
)

// tcpUserTimeout is the socket option TCP_USER_TIMEOUT of Linux (tcp(7)), in milliseconds.
const tcpUserTimeout = 18

// dialer opens connections that end when their path has gone silent: by keep-alive probes while unused and by
// TCP_USER_TIMEOUT while bytes are on their way.
var dialer = NewDialer(unackedFor)

// NewDialer returns a dialer whose connections end when sent bytes are not acknowledged for the given time.
func NewDialer(unacked time.Duration) *net.Dialer {
	return &net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2},
		Control: func(_, _ string, rc syscall.RawConn) error {
			var set error
			err := rc.Control(func(fd uintptr) {
				set = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unacked.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return set
		},
	}
}

// usable reports whether an unused connection is still open and silent, as it must be between two requests.
func (c *conn) usable() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = rc.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = err == syscall.EAGAIN
	})
	return err == nil && open
}
