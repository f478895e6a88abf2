// Package inlet accepts connections of callers and reads their requests. Each connection has one goroutine that reads,
// so that a disconnect is noticed while a request is in progress, and one that writes the responses in the order of the
// requests. Pipelined requests are handled concurrently if the handler allows it.
package inlet

import (
	"container/list"
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/currantpier/currantpier/codec"
	"github.com/currantpier/currantpier/fleet"
	"github.com/currantpier/currantpier/memory"
)

const (
	// maxPipelined bounds the requests of one connection that are read and have no response yet.
	maxPipelined = 16
	// lingerTimeout bounds how long a connection is read after its last response. Closing it with unread bytes would
	// reset it, which could discard a response that the caller has not read yet.
	lingerTimeout = 500 * time.Millisecond
	// writeTimeout bounds the writing of one response to a caller that does not read.
	writeTimeout = 10 * time.Second
	// bodyTimeout bounds the reading of a request, from its first byte. The deadlines of requests are shorter.
	bodyTimeout = 30 * time.Second
	// stopGracePeriod is how long a stopping server still accepts connections from the kernel's queue, and one request
	// on each idle connection. What was sent before the caller could notice the stop is served and not reset.
	stopGracePeriod = 50 * time.Millisecond
	// initialBufferBytes is the initial size of a connection's read buffer, which grows to the header limit if a header
	// needs it.
	initialBufferBytes = 4 << 10
	// uncountedBodyBytes is the size up to which a body doesn't count towards the memory limit, so that long bodies don't keep
	// others from being served.
	uncountedBodyBytes = 16 << 10
)

// defaultLimits apply until the operators' limits are available.
var defaultLimits = fleet.Limits{
	HeaderBytes: 16 << 10, BodyBytes: 1 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second,
}

// Handler responds to requests. The context of a request ends when the caller disconnects, or with the cause that is given
// to Abort.
type Handler interface {
	// Handle returns the response, never nil. Arrived is when the first byte of the request was read.
	Handle(ctx context.Context, r *codec.Request, arrived time.Time) *codec.Response
	// AllowsPipelining reports whether the request may run concurrently with earlier ones of its connection.
	AllowsPipelining(r *codec.Request) bool
}

// Option configures a Server.
type Option func(*Server)

// OnPanic sets a function that is called with the value of each panic in handling a request or in reading or writing a
// connection. It is called from the connection's goroutines. Without it such panics are not reported.
func OnPanic(f func(value any)) Option { return func(s *Server) { s.onPanic = f } }

// LimitBodies makes the server reject requests whose bodies exceed the memory that is left, before the body is read if its length
// is known. The limit can be shared with other servers. OnRefusal returns the response to a rejected request, of which only the header
// was read. The connection ends after it.
func LimitBodies(limit *memory.Limit, onRefusal func(r *codec.Request, arrived time.Time) *codec.Response) Option {
	return func(s *Server) { s.bodies, s.onNoMemory = limit, onRefusal }
}

// LimitConnections bounds the open connections. Beyond n, each new one ends the one that has been idle longest. Without it, idle
// connections of callers take all file descriptors of the process in a rush, and requests wait in the kernel's queue until their
// callers leave.
func LimitConnections(n int) Option { return func(s *Server) { s.maxConns = n } }

// RefuseBody is a response to a request for whose body there is no memory.
func RefuseBody(*codec.Request, time.Time) *codec.Response {
	return codec.NewResponse(http.StatusServiceUnavailable, "no memory for the body\n", codec.Field{Name: "Retry-After", Value: "1"})
}

// Server serves the connections of its listeners.
type Server struct {
	handler Handler
	limits  func() *fleet.Limits
	clock   func() time.Time
	onPanic func(value any)
	// bodies bounds the memory for the bodies of requests, nil for no limit.
	bodies     *memory.Limit
	onNoMemory func(r *codec.Request, arrived time.Time) *codec.Response

	// acceptFailures counts the calls of Accept that failed for another reason than a stop.
	acceptFailures atomic.Uint64
	// maxConns is the number of connections beyond which a new one ends an idle one, zero for no limit.
	maxConns int

	mu    sync.Mutex
	conns map[*conn]bool
	// idle are the connections without a request, the one that is idle longest first.
	idle *list.List
	// draining: each connection ends after its next response. stopped: no new connection is accepted. closed: no
	// request is admitted.
	draining, stopped, closed bool
	// aborted is the cause with which the requests in progress were given up; nil before Abort.
	aborted error
	// listeners are given an immediate deadline, or closed, by StopAccepting.
	listeners []net.Listener
	inFlight  int
}

// New returns a server. Limits may return nil while no limits are available.
func New(h Handler, limits func() *fleet.Limits, clock func() time.Time, options ...Option) *Server {
	s := &Server{handler: h, limits: limits, clock: clock, onPanic: func(any) {}, onNoMemory: RefuseBody, conns: map[*conn]bool{}, idle: list.New()}
	for _, o := range options {
		o(s)
	}
	return s
}

// handle returns the handler's response. A panic fails only this request and not the process; whether the request has
// run is then unknown.
func (s *Server) handle(ctx context.Context, r *codec.Request, arrived time.Time) (a *codec.Response) {
	defer func() {
		if v := recover(); v != nil {
			s.onPanic(v)
			a = codec.NewResponse(http.StatusBadGateway, "internal error\n")
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
		// Closing the listener ends Accept; the error of Close is of no use.
		_ = ln.Close()
		s.closeAll()
	})
	defer stop()
	g.Go(func() error { return s.accept(ctx, g, ln) })
	return g.Wait()
}

// deadlineListener is a listener that supports a deadline for Accept.
type deadlineListener interface {
	net.Listener
	SetDeadline(t time.Time) error
}

// accept accepts connections until ctx ends. StopAccepting interrupts Accept with a deadline; connections in the
// kernel's queue are then accepted for another stopGracePeriod.
func (s *Server) accept(ctx context.Context, g *errgroup.Group, ln net.Listener) error {
	inGracePeriod := false
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
		case isTimeout(err) && ok && !inGracePeriod && l.SetDeadline(s.clock().Add(stopGracePeriod)) == nil:
			inGracePeriod = true
		case isTimeout(err), errors.Is(err, net.ErrClosed):
			_ = ln.Close() // it may already be closed
			// Open connections are still served.
			<-ctx.Done()
			return nil
		default:
			// The process is out of file descriptors, or the caller disconnected before Accept.
			s.acceptFailures.Add(1)
			select {
			case <-time.After(10 * time.Millisecond):
			case <-ctx.Done():
			}
		}
	}
}

// AcceptFailures returns how often a connection could not be accepted, as without a file descriptor for it.
func (s *Server) AcceptFailures() uint64 { return s.acceptFailures.Load() }

// Drain makes each connection end after its next response.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

// StopAccepting refuses new connections and new requests, except those that were already sent. Connections end after
// the responses to the admitted requests.
func (s *Server) StopAccepting() {
	s.mu.Lock()
	for _, ln := range s.listeners {
		if l, ok := ln.(deadlineListener); !ok || l.SetDeadline(time.Unix(1, 0)) != nil {
			_ = ln.Close() // it may already be closed
		}
	}
	s.listeners, s.stopped = nil, true
	conns := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	s.mu.Unlock()
	// The lock of a connection must be taken before that of the server.
	for _, c := range conns {
		c.closeAfterPending()
	}
}

// Abort ends the contexts of all requests, those admitted later too, with the given cause. The responses that the handler
// then returns are still written. Further calls have no effect.
func (s *Server) Abort(cause error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.aborted != nil {
		return
	}
	s.aborted = cause
	for c := range s.conns {
		c.cancel(cause)
	}
}

// Close stops admitting requests if none is in progress and no connection is open, and reports whether requests are no
// longer admitted.
func (s *Server) Close() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = s.closed || s.inFlight == 0 && len(s.conns) == 0
	return s.closed
}

// admit counts a request that is admitted. It reports false if the server is closed.
func (s *Server) admit() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closed {
		s.inFlight++
	}
	return !s.closed
}

// Active returns the number of requests in progress and of open connections.
func (s *Server) Active() (requests, connections int) {
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
		_ = c.nc.Close() // ends the read loop; an error needs no handling
	}
}

// add registers a new connection. One that was opened just before the server stopped accepting gets one response.
func (s *Server) add(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = true
	c.closing = s.stopped
	if s.aborted != nil {
		c.cancel(s.aborted)
	}
}

func (s *Server) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	s.removeIdle(c)
}

// setIdle records that a connection has no request, or has one.
func (s *Server) setIdle(c *conn, idle bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeIdle(c)
	if idle && s.conns[c] {
		c.idleAt = s.idle.PushBack(c)
	}
}

// removeIdle removes a connection from the idle ones. The caller must hold the mutex.
func (s *Server) removeIdle(c *conn) {
	if c.idleAt != nil {
		s.idle.Remove(c.idleAt)
		c.idleAt = nil
	}
}

// endLongestIdle ends the connection that has been idle longest if there are more than maxConns.
func (s *Server) endLongestIdle() {
	s.mu.Lock()
	var c *conn
	if first := s.idle.Front(); s.maxConns > 0 && len(s.conns) > s.maxConns && first != nil {
		c = first.Value.(*conn)
		s.removeIdle(c)
	}
	s.mu.Unlock()
	// The lock of a connection must be taken before that of the server.
	if c != nil {
		c.closeAfterPending()
	}
}

func (s *Server) addInFlight(d int) {
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

// exchange is one admitted request of a connection and its pending response.
type exchange struct {
	// response delivers exactly one response.
	response chan *codec.Response
	// last is set if the connection ends after this response.
	last bool
	head bool
}
