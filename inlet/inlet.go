// Package inlet accepts callers' connections and reads their requests. Each connection has one goroutine that reads, so
// that a caller who leaves is noticed while a request is in progress, and one that writes the answers in the order of
// the requests. Idempotent requests that a caller sends ahead are handled at the same time.
package inlet

import (
	"context"
	"net"
	"net/http"
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
	// closeFor is how long a server that stops still takes a request on a connection without one, and a connection that
	// callers have opened already. Bytes that were sent before the caller could know of the stop are read, not reset.
	closeFor = 50 * time.Millisecond
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

// Option changes how a Server behaves.
type Option func(*Server)

// OnPanic names the function that is told of a panic in the handling of a request or the reading of a connection. It is
// called from the connection's goroutines. Without it a panic ends only its connection, unseen.
func OnPanic(f func(value any)) Option { return func(s *Server) { s.panicked = f } }

// Server serves the connections of one listener.
type Server struct {
	handler  Handler
	limits   func() *fleet.Limits
	clock    func() time.Time
	panicked func(value any)

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
func New(h Handler, limits func() *fleet.Limits, clock func() time.Time, options ...Option) *Server {
	s := &Server{handler: h, limits: limits, clock: clock, panicked: func(any) {}, conns: map[*conn]bool{}}
	for _, o := range options {
		o(s)
	}
	return s
}

// handle returns the handler's answer. A panic is that request's failure and not that of the process: what had become of
// the request is not known.
func (s *Server) handle(ctx context.Context, r *codec.Request, arrived time.Time) (a *codec.Answer) {
	defer func() {
		if v := recover(); v != nil {
			s.panicked(v)
			a = codec.NewAnswer(http.StatusBadGateway, "internal error\n")
		}
	}()
	return s.handler.Handle(ctx, r, arrived)
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
	g.Go(func() error { return s.accept(ctx, g, ln) })
	return g.Wait()
}

// deadlineListener is a listener whose Accept can be given a deadline.
type deadlineListener interface {
	net.Listener
	SetDeadline(t time.Time) error
}

// accept takes connections until ctx ends. StopAccepting wakes it; for a moment longer it takes those that callers have
// opened already.
func (s *Server) accept(ctx context.Context, g *errgroup.Group, ln net.Listener) error {
	woken := false
	for {
		nc, err := ln.Accept()
		l, ok := ln.(deadlineListener)
		switch {
		case err == nil:
			g.Go(func() error {
				s.serveConn(ctx, nc)
				return nil
			})
		case ctx.Err() != nil:
			return nil
		case isTimeout(err) && ok && !woken && l.SetDeadline(s.clock().Add(closeFor)) == nil:
			woken = true
		case isTimeout(err), errors.Is(err, net.ErrClosed):
			_ = ln.Close() // it may be closed already
			// The connections go on.
			<-ctx.Done()
			return nil
		default:
			// Out of descriptors, or the caller left before Accept.
			select {
			case <-time.After(10 * time.Millisecond):
			case <-ctx.Done():
			}
		}
	}
}

// Drain makes each connection end after its next answer.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

// StopAccepting refuses new connections and new requests, but for those that were already sent. Connections end after the
// answers to the requests that were taken.
func (s *Server) StopAccepting() {
	s.mu.Lock()
	for _, ln := range s.listeners {
		if l, ok := ln.(deadlineListener); !ok || l.SetDeadline(time.Unix(1, 0)) != nil {
			_ = ln.Close() // it may be closed already
		}
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

// Close stops taking requests if none is in progress and no connection is open, and reports whether that is so.
func (s *Server) Close() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = s.closed || s.inFlight == 0 && len(s.conns) == 0
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

// add counts a new connection. One that was opened just before the server stopped accepting gets one answer.
func (s *Server) add(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = true
	c.closing = s.stopped
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
