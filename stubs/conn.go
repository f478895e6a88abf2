package stubs

import (
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// listener makes the connections of an Upstream able to go silent.
type listener struct {
	net.Listener
	u *Upstream
}

// Accept waits for a connection.
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

// conn is a connection that can go silent: it stays open, what arrives is not answered, and what is written is lost.
type conn struct {
	net.Conn
	u      *Upstream
	silent atomic.Bool
	// expired is set while the read deadline is. The server sets one only to interrupt a read at once.
	expired atomic.Bool
	// wake has one element after expired was set.
	wake   chan struct{}
	closed chan struct{}
	once   sync.Once
}

func (c *conn) silence() { c.silent.Store(true) }

// Read blocks for ever on a silent connection, as far as the server lets it.
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

// Write loses what is written to a silent connection.
func (c *conn) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// SetReadDeadline also interrupts the read of a silent connection.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.expired.Store(!t.IsZero())
	select {
	case c.wake <- struct{}{}:
	default:
	}
	return c.Conn.SetReadDeadline(t)
}

// SetLinger passes on to TCP.
func (c *conn) SetLinger(sec int) error {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		return t.SetLinger(sec)
	}
	return nil
}

// Close closes the connection, silent or not.
func (c *conn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.u.mu.Lock()
		delete(c.u.conns, c)
		c.u.mu.Unlock()
	})
	return c.Conn.Close()
}
