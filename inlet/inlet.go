// Package inlet accepts callers' connections and reads their requests. Each connection has one goroutine that reads, so
// that a caller who leaves is noticed while a request is in progress, and one that writes the answers in the order of
// the requests. Idempotent requests that a caller sends ahead are handled at the same time.
package inlet

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/currantpier/currantpier/codec"
	"github.com/currantpier/currantpier/fleet"
)

const (
	// pipelineMost bounds the requests of one connection that are read and not yet answered.
	pipelineMost = 16
	// lingerFor is how long a connection is read after its last answer. Closing it with unread bytes would reset it and
	// could destroy the answer on its way.
	lingerFor = 500 * time.Millisecond
	// writeFor bounds the writing of one answer to a caller that does not read.
	writeFor = 10 * time.Second
	// bodyFor bounds the reading of a body; the requests' own deadlines are shorter.
	bodyFor = 30 * time.Second
	// smallBuffer is the first size of a connection's read buffer; it grows to the header limit when a header needs it.
	smallBuffer = 4 << 10
)

// defaultLimits are in force until the operators' limits are known.
var defaultLimits = fleet.Limits{
	HeaderBytes: 16 << 10, BodyBytes: 1 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second,
}

// Handler answers one request. Its context ends when the caller leaves.
type Handler interface {
	// Handle returns the answer; it never returns nil. Arrived is when the first byte of the request was read.
	Handle(ctx context.Context, r *codec.Request, arrived time.Time) *codec.Answer
	// MayOverlap reports whether the request may be in progress beside earlier ones of its connection.
	MayOverlap(r *codec.Request) bool
}

// Server serves the connections of one listener.
type Server struct {
	handler Handler
	limits  func() *fleet.Limits
	clock   func() time.Time

	mu    sync.Mutex
	conns map[*conn]bool
	// draining says that each connection ends after its next answer, stopped that no connection is taken any more, closed
	// that no request is.
	draining, stopped, closed bool
	// listeners are closed by StopAccepting.
	listeners []net.Listener
	inFlight  int
}

// New returns a server. Limits may return nil while none are known.
func New(h Handler, limits func() *fleet.Limits, clock func() time.Time) *Server {
	return &Server{handler: h, limits: limits, clock: clock, conns: map[*conn]bool{}}
}

// Serve accepts connections until ctx ends and returns once all of them are closed.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	g, ctx := errgroup.WithContext(ctx)
	s.mu.Lock()
	s.listeners = append(s.listeners, ln)
	s.mu.Unlock()
	stop := context.AfterFunc(ctx, func() {
		// Closing the listener ends Accept; its error adds nothing.
		_ = ln.Close()
		s.closeAll()
	})
	defer stop()
	g.Go(func() error {
		for {
			nc, err := ln.Accept()
			if err != nil {
				if ctx.Err() != nil {
					return nil
				}
				if errors.Is(err, net.ErrClosed) {
					// StopAccepting closed it; the connections go on.
					<-ctx.Done()
					return nil
				}
				// Out of descriptors, or the caller left before Accept.
				select {
				case <-time.After(10 * time.Millisecond):
				case <-ctx.Done():
				}
				continue
			}
			g.Go(func() error {
				s.serveConn(ctx, nc)
				return nil
			})
		}
	})
	return g.Wait()
}

// Drain makes each connection end after its next answer.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

// StopAccepting refuses new connections and new requests. Connections end after the answers to the requests that were
// taken.
func (s *Server) StopAccepting() {
	s.mu.Lock()
	for _, ln := range s.listeners {
		_ = ln.Close() // it may be closed already
	}
	s.listeners, s.stopped = nil, true
	conns := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	s.mu.Unlock()
	// A connection's lock is taken before the server's.
	for _, c := range conns {
		c.end()
	}
}

// Close stops taking requests if none is in progress, and reports whether that is so. A request that arrives later ends
// with its connection and has not been handled.
func (s *Server) Close() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = s.closed || s.inFlight == 0
	return s.closed
}

// admit counts a request that is taken. It reports false if the server is closed.
func (s *Server) admit() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closed {
		s.inFlight++
	}
	return !s.closed
}

// InFlight returns the number of requests in progress and of open connections.
func (s *Server) InFlight() (requests, connections int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inFlight, len(s.conns)
}

func (s *Server) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

func (s *Server) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.nc.Close() // ends the reader; nothing is left to be done about an error
	}
}

// add counts a new connection. It reports false if the server has stopped accepting in the meantime.
func (s *Server) add(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.stopped {
		s.conns[c] = true
	}
	return !s.stopped
}

func (s *Server) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

func (s *Server) progress(d int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight += d
}

func (s *Server) currentLimits() fleet.Limits {
	if l := s.limits(); l != nil {
		return *l
	}
	return defaultLimits
}

// job is one request of a connection on its way to an answer.
type job struct {
	// answer delivers exactly one answer.
	answer chan *codec.Answer
	// last says that the connection ends after this answer.
	last bool
	head bool
}
