package send

import (
	"io"
	"net"

	"github.com/cockroachdb/errors"

	"github.com/currantpier/currantpier/outlet"
)

// errNotQuiet is returned by a write to a pooled connection that was closed, or on which bytes arrived, while it was idle.
// No byte of the request was written. Such bytes belong to no request: a target may send a response twice.
var errNotQuiet = errors.New("bytes or the end of the connection before the request")

// errClosedInResponse is returned by a read if the connection ends after the first byte of a response. The library takes
// such an end for that of the body if the response states no length, so that a response cut short would look complete.
var errClosedInResponse = errors.New("the connection was closed within a response")

// quietConn is a connection that accepts the start of a request only while nothing is to be read, and on which a response
// must end before the connection does. It is used by one goroutine at a time.
type quietConn struct {
	net.Conn
	// wasRead is set if the last call was a read, so that the next write starts a request.
	wasRead bool
	// inResponse is set from the first byte read after a write.
	inResponse bool
	// closed is called when the connection was closed.
	closed func()
}

// Close implements net.Conn.
func (c *quietConn) Close() error {
	c.closed()
	return c.Conn.Close()
}

// Read implements net.Conn.
func (c *quietConn) Read(b []byte) (int, error) {
	c.wasRead = true
	n, err := c.Conn.Read(b)
	c.inResponse = c.inResponse || n > 0
	if err == io.EOF && c.inResponse {
		err = errClosedInResponse
	}
	return n, err
}

// Write implements net.Conn.
func (c *quietConn) Write(b []byte) (int, error) {
	if c.wasRead && !outlet.IsOpenAndQuiet(c.Conn) {
		return 0, errNotQuiet
	}
	c.wasRead, c.inResponse = false, false
	return c.Conn.Write(b)
}
