package send

import (
	"net"

	"github.com/cockroachdb/errors"

	"github.com/currantpier/currantpier/outlet"
)

// errNotQuiet is returned by a write to a pooled connection that was closed, or on which bytes arrived, while it was idle.
// No byte of the request was written. Such bytes belong to no request: a target may send a response twice.
var errNotQuiet = errors.New("bytes or the end of the connection before the request")

// quietConn is a connection that accepts the start of a request only while nothing is to be read. It is used by one goroutine
// at a time.
type quietConn struct {
	net.Conn
	// wasRead is set if the last call was a read, so that the next write starts a request.
	wasRead bool
}

// Read implements net.Conn.
func (c *quietConn) Read(b []byte) (int, error) {
	c.wasRead = true
	return c.Conn.Read(b)
}

// Write implements net.Conn.
func (c *quietConn) Write(b []byte) (int, error) {
	if c.wasRead && !outlet.IsOpenAndQuiet(c.Conn) {
		return 0, errNotQuiet
	}
	c.wasRead = false
	return c.Conn.Write(b)
}
