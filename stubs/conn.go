package stubs

import (
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// listener wraps accepted connections so that the fault UpstreamFaults.Silence can make them silent.
type listener struct {
	net.Listener
	u *Upstream
}

// Accept waits for the next connection and registers it with the Upstream.
func (l listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: inner, u: l.u, closed: make(chan struct{}), wake: make(chan struct{}, 1)}
	l.u.mu.Lock()
	l.u.conns[c] = struct{}{}
	l.u.mu.Unlock()
	return c, nil
}

// conn is a connection that can become silent: it stays open, but received bytes are not passed to the server and
// written bytes are discarded.
type conn struct {
	net.Conn
	u      *Upstream
	silent atomic.Bool
	// expired reports whether a read deadline is set. The HTTP server sets one only to interrupt a pending read at
	// once, so any deadline counts as expired.
	expired atomic.Bool
	// wake receives a value when the read deadline changes.
	wake   chan struct{}
	closed chan struct{}
	once   sync.Once
}

func (c *conn) silence() { c.silent.Store(true) }

// Read blocks on a silent connection until the server interrupts it with a read deadline or closes the connection.
func (c *conn) Read(b []byte) (int, error) {
	if !c.silent.Load() {
		if n, err := c.Conn.Read(b); err != nil || !c.silent.Load() {
			return n, err
		}
	}
	for !c.expired.Load() {
		select {
		case <-c.closed:
			return 0, net.ErrClosed
		case <-c.wake:
		}
	}
	return 0, os.ErrDeadlineExceeded
}

// Write discards the bytes if the connection is silent.
func (c *conn) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// SetReadDeadline also interrupts a pending Read of a silent connection.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.expired.Store(!t.IsZero())
	select {
	case c.wake <- struct{}{}:
	default:
	}
	return c.Conn.SetReadDeadline(t)
}

// SetLinger sets SO_LINGER of the TCP connection.
func (c *conn) SetLinger(sec int) error {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		return t.SetLinger(sec)
	}
	return nil
}

// Close closes the connection and unblocks a pending Read of a silent one.
func (c *conn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.u.mu.Lock()
		delete(c.u.conns, c)
		c.u.mu.Unlock()
	})
	return c.Conn.Close()
}
