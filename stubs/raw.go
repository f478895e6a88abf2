package stubs

import (
	"net"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// maxRawRequest bounds a request to a Raw, in bytes.
	maxRawRequest = 4 << 10
	// rawTimeout bounds a connection to a Raw.
	rawTimeout = 5 * time.Second
)

// Raw is a server that answers the first request of each connection with the same bytes and then closes the connection. The bytes
// need not be HTTP. It serves one connection at a time.
type Raw struct {
	ln     net.Listener
	answer []byte
	// ended is closed when no further connection is accepted.
	ended chan struct{}
}

// NewRaw starts a server on a free port of 127.0.0.1. Close must be called after use.
func NewRaw(answer string) (*Raw, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	r := &Raw{ln: ln, answer: []byte(answer), ended: make(chan struct{})}
	go r.serve()
	return r, nil
}

// Address returns the address of the server, host:port.
func (r *Raw) Address() string { return r.ln.Addr().String() }

// Port returns the port of the server.
func (r *Raw) Port() int { return r.ln.Addr().(*net.TCPAddr).Port }

// Close ends the server.
func (r *Raw) Close() {
	_ = r.ln.Close() // no more connections, whatever Close returns
	<-r.ended
}

func (r *Raw) serve() {
	defer close(r.ended)
	for {
		nc, err := r.ln.Accept()
		if err != nil {
			return
		}
		// A client that leaves early is its own affair.
		_ = nc.SetDeadline(time.Now().Add(rawTimeout))
		_, _ = nc.Read(make([]byte, maxRawRequest))
		_, _ = nc.Write(r.answer)
		_ = nc.Close()
	}
}
