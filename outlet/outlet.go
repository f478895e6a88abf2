// Package outlet keeps connections to upstream targets and sends one request at a time on each. It does not retry: an
// error states whether any byte was written, and the caller of the package decides.
package outlet

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/currantpier/currantpier/codec"
	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/memory"
)

const (
	// dialTimeout bounds the opening of a connection.
	dialTimeout = 700 * time.Millisecond
	// defaultKeepAlive is how long an idle connection is kept if the target states no Keep-Alive timeout.
	defaultKeepAlive = 5 * time.Second
	// keepAliveMargin is subtracted from a target's Keep-Alive timeout, since the target starts counting earlier.
	keepAliveMargin = 1500 * time.Millisecond
	// minIdleLimit is the least value of the reduced idle limit that applies after an idle connection was found dead.
	minIdleLimit = 300 * time.Millisecond
	// idleLimitPeriod is how long the reduced idle limit of a service applies.
	idleLimitPeriod = 10 * time.Second
	// unackedTimeout ends a connection whose peer has not acknowledged sent bytes for that long, as on a path that
	// drops all packets.
	unackedTimeout = 1500 * time.Millisecond
	// readBufferBytes is the size of a connection's read buffer. The header of a response must fit into it.
	readBufferBytes = 8 << 10
	// MaxResponseBytes bounds the body of a response, and all bytes that are read during one request.
	MaxResponseBytes = 16 << 20
	// uncountedBytes is the size up to which a response doesn't count towards the memory limit.
	uncountedBytes = 64 << 10
	// maxStrayResponses bounds the responses to other requests that are read before the connection is closed.
	maxStrayResponses = 4
)

// Target identifies where a request is sent.
type Target struct {
	ID      ident.Target
	Service ident.Service
	Address string
	Region  ident.Region
	// MaxConnections bounds the connections of this process to the target; zero means no limit.
	MaxConnections int
}

// Stage states how far a failed request got.
type Stage uint8

const (
	// NotSent: no byte of the request was written.
	NotSent Stage = iota
	// Sent: the target may have read the request.
	Sent
)

// Error is returned for a request that ended without a complete response.
type Error struct {
	Stage Stage
	// Reused is set if the connection had carried a request before.
	Reused bool
	// Partial is set if bytes of a response had arrived.
	Partial bool
	cause   error
}

// Error implements error.
func (e *Error) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// ErrConnectionLimit is returned if all connections that a target may have are in use.
var ErrConnectionLimit = errors.New("all connections to the target are in use")

// ErrResponseTooLarge is returned if a response exceeds MaxResponseBytes or the memory that is left for responses.
var ErrResponseTooLarge = errors.New("answer is too long")

// conn is one connection to a target.
type conn struct {
	net.Conn
	// in limits what is read from the connection; br buffers it.
	in *limitedReader
	br *bufio.Reader
	// lastUsed is when the connection last carried a request; keepAlive is how long it may stay idle.
	lastUsed  time.Time
	keepAlive time.Duration
	// requests counts the requests that the connection carried.
	requests int
}

// targetKey identifies a target by id and address, since an address can pass to another target.
type targetKey struct {
	id      ident.Target
	address string
}

// targetConns holds the connections to one target.
type targetConns struct {
	idle []*conn
	open int
}

// Pool keeps the connections of a process. It is safe for concurrent use.
type Pool struct {
	clock func() time.Time
	// onDial is called with the time that a new connection took.
	onDial func(t Target, took time.Duration)
	// responses bounds the memory for the responses in progress.
	responses *memory.Limit

	mu     sync.Mutex
	groups map[targetKey]*targetConns
	// reducedIdle holds the reduced idle limits by service.
	reducedIdle map[ident.Service]reducedIdleLimit
	stats       Stats
}

type reducedIdleLimit struct {
	limit time.Duration
	until time.Time
}

// Stats counts connections. Reused counts idle connections that were taken for a request, Malformed those that ended with a malformed
// response.
type Stats struct {
	Opened, Reused, FoundDead, Failed, Malformed uint64
}

// New returns an empty pool. MaxResponseMemory bounds the memory in bytes for the bodies of all responses that are being read,
// beyond the first uncountedBytes of each.
func New(clock func() time.Time, maxResponseMemory int64, onDial func(t Target, took time.Duration)) *Pool {
	return &Pool{
		clock: clock, onDial: onDial, responses: memory.NewLimit(maxResponseMemory), groups: map[targetKey]*targetConns{},
		reducedIdle: map[ident.Service]reducedIdleLimit{},
	}
}

// Message is one request to be sent.
type Message struct {
	Method string
	// Build returns the bytes to send, in one or more parts. It is called once a connection is available, which can take a while;
	// an error means that the request must not be sent any more.
	Build func() ([][]byte, error)
	// Matches reports whether a response belongs to the request. Responses to earlier requests may arrive late.
	Matches func(*codec.Response) bool
	// NewConnection is set if the request must not be sent on a connection that has carried another one, since Matches
	// could not tell the responses apart.
	NewConnection bool
	// OnHeader, if set, is called with the header of the response that belongs to the request, before its body is read and also if
	// the response then ends early.
	OnHeader func(*codec.Response)
}

func (m *Message) observeHeader(a *codec.Response) {
	if m.OnHeader != nil && m.Matches(a) {
		m.OnHeader(a)
	}
}

// Do sends a message and returns the complete response. The error is of type *Error. If ctx ends first, the connection
// is reset: the target can tell that the request is cancelled, and what it has not received yet is never delivered.
func (p *Pool) Do(ctx context.Context, t Target, m Message) (*codec.Response, error) {
	c, reused, err := p.acquire(ctx, t, m.NewConnection)
	if err != nil {
		return nil, &Error{Stage: NotSent, cause: err}
	}
	parts, err := m.Build()
	if err != nil {
		p.releaseUnsent(t, c, reused)
		return nil, &Error{Stage: NotSent, cause: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	reserved := p.responses.Reserve(uncountedBytes)
	defer reserved.Release()
	a, e := c.exchange(parts, m, reserved)
	if !stop() && e == nil {
		// The expired deadline may be set on the connection at any time from now on.
		p.discard(t, c)
		return a, nil
	}
	if e != nil {
		e.Reused = reused
		if ctx.Err() != nil {
			e.cause = errors.WithSecondaryError(ctx.Err(), e.cause)
		} else if reused && !e.Partial && !errors.Is(e, ErrResponseTooLarge) {
			p.recordDeadConn(t, c)
		}
		if errors.Is(e, codec.ErrMalformed) {
			p.countMalformed()
		}
		p.discard(t, c)
		return nil, e
	}
	p.release(t, c, a)
	return a, nil
}

// exchange writes the bytes of a message and reads the response.
func (c *conn) exchange(parts [][]byte, m Message, reserved *memory.Reservation) (*codec.Response, *Error) {
	c.in.read = 0
	stage := NotSent
	for _, b := range parts {
		n, err := c.Write(b)
		if n > 0 {
			stage = Sent
		}
		if err != nil {
			return nil, &Error{Stage: stage, cause: errors.Wrap(err, "write request")}
		}
	}
	for range maxStrayResponses {
		if _, err := c.br.Peek(1); err != nil {
			return nil, &Error{Stage: Sent, cause: errors.Wrap(err, "no answer")}
		}
		a, err := codec.ReadResponseFunc(c.br, m.Method, MaxResponseBytes, reserved, m.observeHeader)
		if errors.Is(err, memory.ErrExhausted) || errors.Is(err, codec.ErrBodyTooLarge) {
			err = errors.WithSecondaryError(ErrResponseTooLarge, err)
		}
		if err != nil {
			return nil, &Error{Stage: Sent, Partial: true, cause: errors.Wrap(err, "broken answer")}
		}
		if m.Matches(a) {
			return a, nil
		}
		if a.Close {
			break
		}
	}
	return nil, &Error{Stage: Sent, Partial: true, cause: errors.New("answer belongs to another request")}
}

// acquire returns an idle connection that is still open, or a new one. If unused is set, it drops idle connections that
// have carried a request.
func (p *Pool) acquire(ctx context.Context, t Target, unused bool) (c *conn, reused bool, err error) {
	now := p.clock()
	for {
		c, err := p.acquireIdle(now, t)
		if err != nil {
			return nil, false, err
		}
		if c == nil {
			break
		}
		if c.isOpenAndQuiet() && !(unused && c.requests > 0) {
			return c, true, nil
		}
		p.discard(t, c)
	}
	c, err = p.dial(ctx, t)
	return c, false, err
}

// acquireIdle returns the most recently used idle connection, or nil after reserving a place for a new one.
func (p *Pool) acquireIdle(now time.Time, t Target) (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	g := p.group(t)
	idleLimit := p.idleLimit(now, t.Service)
	for len(g.idle) > 0 {
		c := g.idle[len(g.idle)-1]
		g.idle = g.idle[:len(g.idle)-1]
		if unused := now.Sub(c.lastUsed); unused < c.keepAlive && unused < idleLimit {
			p.stats.Reused++
			return c, nil
		}
		g.open--
		_ = c.Close() // idle for too long; an error of Close has no effect
	}
	if t.MaxConnections > 0 && g.open >= t.MaxConnections {
		return nil, ErrConnectionLimit
	}
	g.open++
	return nil, nil
}

func (p *Pool) group(t Target) *targetConns {
	k := targetKey{t.ID, t.Address}
	g := p.groups[k]
	if g == nil {
		g = &targetConns{}
		p.groups[k] = g
	}
	return g
}

// idleLimit returns how long a connection to the service may have been idle.
func (p *Pool) idleLimit(now time.Time, svc ident.Service) time.Duration {
	if c, ok := p.reducedIdle[svc]; ok && now.Before(c.until) {
		return c.limit
	}
	return time.Hour
}

// recordDeadConn reduces the idle limit of a service after a target closed an idle connection without notice. The new
// limit is half of the time since that connection was last used, at least minIdleLimit.
func (p *Pool) recordDeadConn(t Target, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock()
	p.stats.FoundDead++
	p.reducedIdle[t.Service] = reducedIdleLimit{limit: max(now.Sub(c.lastUsed)/2, minIdleLimit), until: now.Add(idleLimitPeriod)}
}

func (p *Pool) dial(ctx context.Context, t Target) (*conn, error) {
	start := p.clock()
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	nc, err := dialer.DialContext(ctx, "tcp", t.Address)
	p.recordDial(t, err)
	if err != nil {
		return nil, errors.Wrap(err, "connect")
	}
	p.onDial(t, p.clock().Sub(start))
	in := &limitedReader{r: nc}
	return &conn{Conn: nc, in: in, br: bufio.NewReaderSize(in, readBufferBytes)}, nil
}

// recordDial counts a new connection, or frees its reserved place if it could not be opened.
func (p *Pool) recordDial(t Target, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.stats.Failed++
		p.group(t).open--
		return
	}
	p.stats.Opened++
}

func (p *Pool) countMalformed() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stats.Malformed++
}

// release keeps a connection after a complete response, unless it cannot be reused.
func (p *Pool) release(t Target, c *conn, a *codec.Response) {
	// Bytes after a complete response belong to no request.
	if a.Close || c.br.Buffered() > 0 {
		p.discard(t, c)
		return
	}
	c.requests++
	c.lastUsed = p.clock()
	c.keepAlive = defaultKeepAlive
	if a.KeepAlive > 0 {
		c.keepAlive = max(a.KeepAlive-keepAliveMargin, a.KeepAlive/2)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	g := p.group(t)
	g.idle = append(g.idle, c)
}

// releaseUnsent keeps a connection on which nothing was sent.
func (p *Pool) releaseUnsent(t Target, c *conn, reused bool) {
	if !reused {
		c.lastUsed, c.keepAlive = p.clock(), defaultKeepAlive
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	g := p.group(t)
	g.idle = append(g.idle, c)
}

func (p *Pool) discard(t Target, c *conn) {
	_ = c.Close() // the connection is dropped whatever Close returns
	p.mu.Lock()
	defer p.mu.Unlock()
	p.group(t).open--
}

// Sweep closes idle connections whose keep-alive time has passed, and those to targets that are not in keep.
func (p *Pool) Sweep(now time.Time, keep map[ident.Target]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for k, g := range p.groups {
		kept := g.idle[:0]
		for _, c := range g.idle {
			if keep[k.id] && now.Sub(c.lastUsed) < c.keepAlive {
				kept = append(kept, c)
				continue
			}
			g.open--
			_ = c.Close() // as in discard
		}
		clear(g.idle[len(kept):])
		g.idle = kept
		if g.open == 0 {
			delete(p.groups, k)
		}
	}
}

// ResponseMemoryUsed returns the bytes of responses in progress that count towards the memory limit.
func (p *Pool) ResponseMemoryUsed() int64 { return p.responses.Used() }

// Stats returns the counts so far and the number of open connections.
func (p *Pool) Stats() (s Stats, open int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, g := range p.groups {
		open += g.open
	}
	return p.stats, open
}
