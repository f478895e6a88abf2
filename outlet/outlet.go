// Package outlet keeps connections to upstream targets and carries one request at a time on each. It never repeats a
// request on its own: an error says whether any byte was written, and the caller decides.
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
)

const (
	// dialTimeout bounds the opening of a connection.
	dialTimeout = 700 * time.Millisecond
	// defaultIdle is how long an unused connection is kept if the target does not say.
	defaultIdle = 5 * time.Second
	// idleMargin is subtracted from the time that the target states, since its clock starts earlier.
	idleMargin = 1500 * time.Millisecond
	// idleLeast is the shortest time to which the use of idle connections is narrowed after one was found dead.
	idleLeast = 300 * time.Millisecond
	// idleCaution is how long connections to a service are used only while fresh after one was found dead.
	idleCaution = 10 * time.Second
	// unackedFor ends a connection whose peer has not acknowledged bytes for that long. It stands for a path that has gone
	// silent.
	unackedFor = 1500 * time.Millisecond
	// answerBuffer holds the header of an answer.
	answerBuffer = 8 << 10
	// AnswerBytes bounds the body of an answer, and all bytes that are read while one is awaited.
	AnswerBytes = 16 << 20
	// smallAnswer is the size in bytes up to which an answer needs no part of the memory for answers.
	smallAnswer = 64 << 10
	// strayMost bounds the answers to other requests that are skipped before a connection is given up.
	strayMost = 4
)

// Target is where a request is sent.
type Target struct {
	ID      ident.Target
	Service ident.Service
	Address string
	// Region is where the target is.
	Region ident.Region
	// Connections bounds the connections of this process to the target; zero means no bound.
	Connections int
}

// Stage says how far a failed request got.
type Stage uint8

// The stages.
const (
	// NotSent: no byte of the request was written.
	NotSent Stage = iota
	// Sent: the target may have read the request.
	Sent
)

// Error is a request that ended without a whole answer.
type Error struct {
	Stage Stage
	// Reused says that the connection had carried a request before.
	Reused bool
	// Partial says that bytes of an answer had arrived.
	Partial bool
	cause   error
}

// Error implements error.
func (e *Error) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// ErrTooMany says that the bound of connections to the target is reached.
var ErrTooMany = errors.New("all connections to the target are in use")

// ErrAnswerTooLong says that the target sends more than an answer may have, or than there is memory for.
var ErrAnswerTooLong = errors.New("answer is too long")

// conn is one connection to a target.
type conn struct {
	net.Conn
	// in bounds what is read from the connection, br buffers it.
	in *bounded
	br *bufio.Reader
	// used is when it last carried a request; keep is how long it may stay unused.
	used time.Time
	keep time.Duration
	// requests counts the requests that it carried.
	requests int
}

// key tells targets apart: an address can pass to another target.
type key struct {
	id      ident.Target
	address string
}

// group is the connections to one target.
type group struct {
	idle []*conn
	open int
}

// Pool keeps the connections of a process. It is safe for concurrent use.
type Pool struct {
	clock func() time.Time
	// dialed is told how long a new connection took.
	dialed func(t Target, took time.Duration)
	// memory bounds the answers in progress.
	memory *memory

	mu     sync.Mutex
	groups map[key]*group
	// caution says how long unused connections of a service may be used, and until when that holds.
	caution map[ident.Service]caution
	stats   Stats
}

type caution struct {
	idle  time.Duration
	until time.Time
}

// Stats counts connections.
type Stats struct {
	Opened, Reused, FoundDead, Failed uint64
}

// New returns an empty pool. AnswerMemory bounds the bytes of all answers that are being read at a time, but for the small
// ones.
func New(clock func() time.Time, answerMemory int64, dialed func(t Target, took time.Duration)) *Pool {
	return &Pool{
		clock: clock, dialed: dialed, memory: &memory{most: answerMemory}, groups: map[key]*group{},
		caution: map[ident.Service]caution{},
	}
}

// Message is one request on the wire.
type Message struct {
	Method string
	// Build returns the bytes to send. It is called when there is a connection, which can take a while; an error says that
	// the request must not be sent any more.
	Build func() ([]byte, error)
	// Mine reports whether an answer belongs to the request. Answers to earlier requests may arrive late.
	Mine func(*codec.Answer) bool
}

// Do sends a message and returns the whole answer. The error is of type *Error. The connection is closed if ctx ends
// before the answer is there, which tells the target to stop.
func (p *Pool) Do(ctx context.Context, t Target, m Message) (*codec.Answer, error) {
	c, reused, err := p.take(ctx, t)
	if err != nil {
		return nil, &Error{Stage: NotSent, cause: err}
	}
	b, err := m.Build()
	if err != nil {
		p.giveBack(t, c, reused)
		return nil, &Error{Stage: NotSent, cause: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	c.in.begin(p.memory)
	a, e := c.exchange(b, m)
	c.in.end()
	if !stop() && e == nil {
		// The deadline may strike at any time from now on.
		p.discard(t, c)
		return a, nil
	}
	if e != nil {
		e.Reused = reused
		if ctx.Err() != nil {
			e.cause = errors.WithSecondaryError(ctx.Err(), e.cause)
		} else if reused && !e.Partial && !errors.Is(e, ErrAnswerTooLong) {
			p.foundDead(t, c)
		}
		p.discard(t, c)
		return nil, e
	}
	p.put(t, c, a)
	return a, nil
}

// exchange writes the bytes of a message and reads its answer.
func (c *conn) exchange(b []byte, m Message) (*codec.Answer, *Error) {
	if n, err := c.Write(b); err != nil {
		stage := Sent
		if n == 0 {
			stage = NotSent
		}
		return nil, &Error{Stage: stage, cause: errors.Wrap(err, "write request")}
	}
	for range strayMost {
		if _, err := c.br.Peek(1); err != nil {
			return nil, &Error{Stage: Sent, cause: errors.Wrap(err, "no answer")}
		}
		a, err := codec.ReadAnswer(c.br, m.Method, AnswerBytes)
		if err != nil {
			return nil, &Error{Stage: Sent, Partial: true, cause: errors.Wrap(err, "broken answer")}
		}
		if m.Mine(a) {
			return a, nil
		}
		if a.Close {
			break
		}
	}
	return nil, &Error{Stage: Sent, Partial: true, cause: errors.New("answer belongs to another request")}
}

// take returns an unused connection that is still open, or a new one.
func (p *Pool) take(ctx context.Context, t Target) (c *conn, reused bool, err error) {
	now := p.clock()
	for {
		c, err := p.takeIdle(now, t)
		if err != nil {
			return nil, false, err
		}
		if c == nil {
			break
		}
		if c.usable() {
			return c, true, nil
		}
		p.discard(t, c)
	}
	c, err = p.dial(ctx, t)
	return c, false, err
}

// takeIdle returns the most recently used connection, or nil after reserving room for a new one.
func (p *Pool) takeIdle(now time.Time, t Target) (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	g := p.group(t)
	most := p.idleLimit(now, t.Service)
	for len(g.idle) > 0 {
		c := g.idle[len(g.idle)-1]
		g.idle = g.idle[:len(g.idle)-1]
		if unused := now.Sub(c.used); unused < c.keep && unused < most {
			p.stats.Reused++
			return c, nil
		}
		g.open--
		_ = c.Close() // unused for too long; nothing depends on how it ends
	}
	if t.Connections > 0 && g.open >= t.Connections {
		return nil, ErrTooMany
	}
	g.open++
	return nil, nil
}

func (p *Pool) group(t Target) *group {
	k := key{t.ID, t.Address}
	g := p.groups[k]
	if g == nil {
		g = &group{}
		p.groups[k] = g
	}
	return g
}

// idleLimit is how long a connection to the service may have been unused.
func (p *Pool) idleLimit(now time.Time, svc ident.Service) time.Duration {
	if c, ok := p.caution[svc]; ok && now.Before(c.until) {
		return c.idle
	}
	return time.Hour
}

// foundDead narrows the use of idle connections of a service after one had been closed by its target without notice.
func (p *Pool) foundDead(t Target, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock()
	p.stats.FoundDead++
	p.caution[t.Service] = caution{idle: max(now.Sub(c.used)/2, idleLeast), until: now.Add(idleCaution)}
}

func (p *Pool) dial(ctx context.Context, t Target) (*conn, error) {
	start := p.clock()
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	nc, err := dialer.DialContext(ctx, "tcp", t.Address)
	p.count(t, err)
	if err != nil {
		return nil, errors.Wrap(err, "connect")
	}
	p.dialed(t, p.clock().Sub(start))
	in := &bounded{r: nc}
	return &conn{Conn: nc, in: in, br: bufio.NewReaderSize(in, answerBuffer)}, nil
}

// count records a new connection, or gives the room for it back.
func (p *Pool) count(t Target, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.stats.Failed++
		p.group(t).open--
		return
	}
	p.stats.Opened++
}

// put keeps a connection after a whole answer, unless it cannot be used again.
func (p *Pool) put(t Target, c *conn, a *codec.Answer) {
	// Bytes after a whole answer belong to no request.
	if a.Close || c.br.Buffered() > 0 {
		p.discard(t, c)
		return
	}
	c.requests++
	c.used = p.clock()
	c.keep = defaultIdle
	if a.Idle > 0 {
		c.keep = max(a.Idle-idleMargin, a.Idle/2)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	g := p.group(t)
	g.idle = append(g.idle, c)
}

// giveBack keeps a connection on which nothing was sent.
func (p *Pool) giveBack(t Target, c *conn, reused bool) {
	if !reused {
		c.used, c.keep = p.clock(), defaultIdle
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	g := p.group(t)
	g.idle = append(g.idle, c)
}

func (p *Pool) discard(t Target, c *conn) {
	_ = c.Close() // the connection is of no use whatever Close returns
	p.mu.Lock()
	defer p.mu.Unlock()
	p.group(t).open--
}

// Sweep closes connections that were unused for too long and those to targets that are not in keep.
func (p *Pool) Sweep(now time.Time, keep map[ident.Target]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for k, g := range p.groups {
		rest := g.idle[:0]
		for _, c := range g.idle {
			if keep[k.id] && now.Sub(c.used) < c.keep {
				rest = append(rest, c)
				continue
			}
			g.open--
			_ = c.Close() // as in discard
		}
		clear(g.idle[len(rest):])
		g.idle = rest
		if g.open == 0 {
			delete(p.groups, k)
		}
	}
}

// AnswerMemoryUsed returns the bytes of answers in progress that count towards their bound.
func (p *Pool) AnswerMemoryUsed() int64 { return p.memory.used.Load() }

// Stats returns the counts so far and the number of open connections.
func (p *Pool) Stats() (s Stats, open int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, g := range p.groups {
		open += g.open
	}
	return p.stats, open
}
