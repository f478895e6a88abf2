package inlet

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/currantpier/currantpier/codec"
)

// conn is one connection of a caller.
type conn struct {
	s  *Server
	nc net.Conn
	br *bufio.Reader
	// size is the size of br's buffer.
	size int
	// jobs are the requests in the order of their answers.
	jobs chan *job
	// pending counts the requests that are handled now.
	pending sync.WaitGroup

	mu sync.Mutex
	// queued is the number of requests that were taken and not yet answered.
	queued int
	// ended says that the last answer is being written, so that no further request may be taken.
	ended bool
	// closing says that the connection ends after the answers to the requests that were taken.
	closing bool
	// reading says that a part of a request was read.
	reading bool
}

// errEnded says that the connection ends for a reason of this process.
var errEnded = errors.New("connection ends after its last answer")

func (s *Server) serveConn(ctx context.Context, nc net.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c := &conn{s: s, nc: nc, br: bufio.NewReaderSize(nc, smallBuffer), size: smallBuffer, jobs: make(chan *job, pipelineMost)}
	defer func() { _ = nc.Close() }()
	s.add(c)
	defer s.remove(c)

	linger := make(chan bool, 1)
	go func() { linger <- c.writeAnswers(cancel) }()
	err := c.readGuarded(ctx)
	close(c.jobs)
	gone := make(chan struct{})
	if errors.Is(err, errEnded) {
		_ = nc.SetReadDeadline(time.Time{})
		go func() {
			defer close(gone)
			c.watch(cancel)
		}()
	} else {
		cancel()
		close(gone)
	}
	if <-linger {
		c.linger(gone)
	}
	cancel()
	c.pending.Wait()
}

// watch ends the requests in progress when the caller leaves after its last request was read.
func (c *conn) watch(cancel context.CancelFunc) {
	defer cancel()
	for {
		if _, err := c.br.Discard(1); err != nil {
			return
		}
	}
}

// linger lets the last answer reach the caller before the connection is closed.
func (c *conn) linger(gone <-chan struct{}) {
	if t, ok := c.nc.(*net.TCPConn); ok {
		_ = t.CloseWrite() // fails only if the connection has ended already
	}
	timer := time.NewTimer(lingerFor)
	defer timer.Stop()
	select {
	case <-gone:
	case <-timer.C:
	}
}

// errPanic says that the bytes of a caller made this process panic.
var errPanic = errors.New("panic while a request was read")

// readGuarded is readRequests; a panic ends this connection and not the process.
func (c *conn) readGuarded(ctx context.Context) (err error) {
	defer func() {
		if v := recover(); v != nil {
			c.s.panicked(v)
			err = errPanic
		}
	}()
	return c.readRequests(ctx)
}

// readRequests takes requests until the connection ends. It returns errEnded if that is for a reason of this process,
// so that the answers in progress are still written; any other error says that the caller has left or was idle.
func (c *conn) readRequests(ctx context.Context) error {
	for {
		r, arrived, err := c.readRequest()
		if refusal := refusalOf(err); refusal != nil {
			c.refuse(refusal)
			return errEnded
		}
		if err != nil {
			return err
		}
		if !c.s.handler.MayOverlap(r) {
			c.pending.Wait()
		}
		j := &job{answer: make(chan *codec.Answer, 1), last: r.WantsClose(), head: r.Method() == http.MethodHead}
		if !c.take() {
			return errEnded
		}
		c.pending.Add(1)
		go func() {
			defer c.pending.Done()
			j.answer <- c.s.handle(ctx, r, arrived)
		}()
		c.jobs <- j
		if j.last {
			return errEnded
		}
	}
}

// take counts one more request. It reports false if the connection's last answer was already chosen: the caller sends
// the request again on another connection.
func (c *conn) take() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended || c.closing && c.queued > 0 || !c.s.admit() {
		return false
	}
	c.queued++
	return true
}

// settle decides whether the answer of j is the last one of the connection.
func (c *conn) settle(j *job) (last bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queued--
	last = j.last || c.queued == 0 && (c.closing || c.s.isDraining())
	c.ended = c.ended || last
	return last
}

// end ends the connection after the answers to the requests in progress. Requests that a caller sends ahead of them are not
// taken: they would keep the connection for as long as they come. Without any in progress one more is taken, which may have
// been sent just before, and soon the connection ends. Further calls change nothing.
func (c *conn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closing && c.queued == 0 && !c.ended && !c.reading {
		c.waitUntil(closeFor)
	}
	c.closing = true
}

// waitUntil bounds the wait for the next bytes of the caller.
func (c *conn) waitUntil(d time.Duration) { _ = c.nc.SetReadDeadline(c.s.clock().Add(d)) }

// idle bounds the wait for the next request. It reports false if there will be none.
func (c *conn) idle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
	if c.closing {
		c.waitUntil(closeFor)
	} else {
		c.waitUntil(c.s.currentLimits().IdleTimeout)
	}
	return !c.ended
}

// begin notes that the first byte of a request has arrived, which bounds the wait for its header.
func (c *conn) begin(header time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = true
	c.waitUntil(header)
}

func (c *conn) busy() (queued int, ended bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.queued, c.ended
}

// refuse answers bytes that are no proper request, after which the connection ends.
func (c *conn) refuse(a *codec.Answer) {
	if !c.take() {
		return
	}
	j := &job{answer: make(chan *codec.Answer, 1), last: true}
	j.answer <- a
	c.jobs <- j
}

// awaitRequest waits for the first byte of a request. A caller is idle only while none of its requests is in progress.
func (c *conn) awaitRequest() error {
	for {
		if !c.idle() {
			return errEnded
		}
		_, err := c.br.Peek(1)
		if err == nil {
			return nil
		}
		queued, ended := c.busy()
		switch {
		case ended && isTimeout(err):
			return errEnded
		case queued > 0 && isTimeout(err):
			continue
		}
		return err
	}
}

func isTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}

// readRequest reads one whole request. Arrived is when its first byte was read.
func (c *conn) readRequest() (r *codec.Request, arrived time.Time, err error) {
	if err := c.awaitRequest(); err != nil {
		return nil, arrived, err
	}
	limits := c.s.currentLimits()
	arrived = c.s.clock()
	c.begin(limits.HeaderTimeout)
	r = &codec.Request{}
	err = r.ReadHeader(c.br)
	for errors.Is(err, codec.ErrHeaderTooLarge) && c.size < limits.HeaderBytes {
		c.grow(limits.HeaderBytes)
		err = r.ReadHeader(c.br)
	}
	if isTimeout(err) {
		return nil, arrived, errHeaderTimeout
	}
	if err != nil {
		return nil, arrived, err
	}
	if r.BodyExceeds(limits.BodyBytes) {
		return nil, arrived, codec.ErrBodyTooLarge
	}
	_ = c.nc.SetReadDeadline(arrived.Add(bodyFor))
	if r.Expects() {
		if _, err := io.WriteString(c.nc, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return nil, arrived, err
		}
	}
	return r, arrived, r.ReadBody(c.br, limits.BodyBytes)
}

// grow replaces the read buffer by one that holds a header of n bytes.
func (c *conn) grow(n int) {
	pending, _ := c.br.Peek(c.br.Buffered()) // what is buffered can be peeked without an error
	kept := bytes.NewReader(append([]byte(nil), pending...))
	c.size = n
	c.br = bufio.NewReaderSize(io.MultiReader(kept, c.nc), n)
}

// errHeaderTimeout says that a caller began a request and did not complete its header in time.
var errHeaderTimeout = errors.New("header not complete in time")

// refusalOf returns the answer to a request that could not be read, or nil if the error calls for none.
func refusalOf(err error) *codec.Answer {
	switch {
	case errors.Is(err, codec.ErrHeaderTooLarge):
		return codec.NewAnswer(http.StatusRequestHeaderFieldsTooLarge, "header over the limit\n")
	case errors.Is(err, codec.ErrBodyTooLarge):
		return codec.NewAnswer(http.StatusRequestEntityTooLarge, "body over the limit\n")
	case errors.Is(err, codec.ErrMalformed):
		return codec.NewAnswer(http.StatusBadRequest, "malformed request\n")
	case errors.Is(err, errHeaderTimeout):
		return codec.NewAnswer(http.StatusRequestTimeout, "header not complete in time\n")
	}
	return nil
}

// writeAnswers writes the answers in order. It reports whether the caller must be given time to read the last one.
func (c *conn) writeAnswers(cancel context.CancelFunc) (linger bool) {
	broken := false
	for j := range c.jobs {
		a := <-j.answer
		last := c.settle(j)
		if !broken {
			if j.head {
				a = a.ForHead()
			}
			broken = c.write(a, last) != nil
			linger = last && !broken
		}
		c.s.progress(-1)
		if broken {
			cancel()
		}
		if broken || last {
			_ = c.nc.SetReadDeadline(time.Unix(1, 0)) // ends the reader, which may wait for the next request
		}
	}
	return linger
}

func (c *conn) write(a *codec.Answer, last bool) (err error) {
	defer func() {
		if v := recover(); v != nil {
			c.s.panicked(v)
			err = errPanic
		}
	}()
	_ = c.nc.SetWriteDeadline(c.s.clock().Add(writeFor))
	_, err = c.nc.Write(a.Append(nil, last))
	return err
}
