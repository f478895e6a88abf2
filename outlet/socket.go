package outlet

import (
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// tcpUserTimeout is the Linux socket option TCP_USER_TIMEOUT (tcp(7)). Its value is in milliseconds.
const tcpUserTimeout = 18

// dialer opens connections that end when the peer stops responding: by keep-alive probes while idle, and by
// TCP_USER_TIMEOUT while sent bytes are not acknowledged.
var dialer = NewDialer(unackedTimeout)

// NewDialer returns a dialer whose connections end when sent bytes are not acknowledged for the given time, and are reset when
// they are closed, also by the end of the process. After a plain close, the kernel goes on sending what the peer has not
// acknowledged: a request that a partition holds back would run when the partition ends, long after its caller was told that it
// failed. A reset drops it.
func NewDialer(unacked time.Duration) *net.Dialer {
	return &net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2},
		Control: func(_, _ string, rc syscall.RawConn) error {
			var set error
			err := rc.Control(func(fd uintptr) { set = setOptions(int(fd), unacked) })
			return errors.CombineErrors(err, set)
		},
	}
}

// setOptions sets the options of a socket before it is connected. A linger time of zero makes the kernel reset the connection on
// close.
func setOptions(fd int, unacked time.Duration) error {
	if err := syscall.SetsockoptInt(fd, syscall.IPPROTO_TCP, tcpUserTimeout, int(unacked.Milliseconds())); err != nil {
		return err
	}
	return syscall.SetsockoptLinger(fd, syscall.SOL_SOCKET, syscall.SO_LINGER, &syscall.Linger{Onoff: 1, Linger: 0})
}

// isOpenAndQuiet reports whether an idle connection is open and has no bytes to read, as it must be between two
// requests.
func (c *conn) isOpenAndQuiet() bool { return c.br.Buffered() == 0 && IsOpenAndQuiet(c.Conn) }

// IsOpenAndQuiet reports whether a connection is open and has no bytes to read.
func IsOpenAndQuiet(nc net.Conn) bool {
	sc, ok := nc.(syscall.Conn)
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
