package inlet

import (
	"bufio"
	"bytes"
	"container/list"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/currantpier/currantpier/codec"
	"github.com/currantpier/currantpier/memory"
)

// conn is one connection of a caller.
type conn struct {
	server *Server
	nc     net.Conn
	br     *bufio.Reader
	// bufferBytes is the size of br's buffer.
	bufferBytes int
	// exchanges holds the admitted requests in the order of their responses.
	exchanges chan *exchange
	// handlers counts the requests that the handler is working on.
	handlers sync.WaitGroup
	// cancel ends the contexts of the connection's requests.
	cancel context.CancelCauseFunc
	// idleAt is the connection's place among the idle ones, nil if it has a request. The server's mutex guards it.
	idleAt *list.Element

	mu sync.Mutex
	// unanswered is the number of requests that were admitted and have no response yet.
	unanswered int
	// finalChosen is set once the last response of the connection is determined. No further request is admitted then.
	finalChosen bool
	// closing is set if the connection ends after the responses to the admitted requests.
	closing bool
	// requestStarted is set while a request is being read.
	requestStarted bool
	// requestsEnded is set once no further request is read.
	requestsEnded bool
}

// errServerClosing is returned if this process, not the caller, ends the connection.
var errServerClosing = errors.New("connection ends after its last response")

func (s *Server) serveConn(ctx context.Context, nc net.Conn) {
	ctx, cancelCause := context.WithCancelCause(ctx)
	cancel := func() { cancelCause(nil) }
	defer cancel()
	c := &conn{server: s, nc: nc, br: bufio.NewReaderSize(nc, initialBufferBytes), bufferBytes: initialBufferBytes,
		exchanges: make(chan *exchange, maxPipelined), cancel: cancelCause}
	defer func() { _ = nc.Close() }()
	s.add(c)
	defer s.remove(c)
	s.endLongestIdle()

	linger := make(chan bool, 1)
	go func() { linger <- c.writeResponses(cancel) }()
	err := c.readRequestsRecovering(ctx)
	close(c.exchanges)
	disconnected := make(chan struct{})
	if errors.Is(err, errServerClosing) {
		c.endRequests()
		go func() {
			defer close(disconnected)
			c.watchDisconnect(cancel)
		}()
	} else {
		cancel()
		close(disconnected)
	}
	if <-linger {
		c.linger(disconnected)
	}
	cancel()
	c.handlers.Wait()
}

// endRequests records that no further request is read. What the caller still sends is read and dropped until it closes the
// connection: unread bytes would make the close a reset, which destroys responses that the caller has not read yet.
func (c *conn) endRequests() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requestsEnded = true
	_ = c.nc.SetReadDeadline(time.Time{})
}

// interruptRead ends the wait for the next request, unless no request is read any more.
func (c *conn) interruptRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.requestsEnded {
		_ = c.nc.SetReadDeadline(time.Unix(1, 0))
	}
}

// watchDisconnect cancels the requests in progress if the caller disconnects after its last request was read.
func (c *conn) watchDisconnect(cancel context.CancelFunc) {
	defer cancel()
	for {
		if _, err := c.br.Discard(1); err != nil {
			return
		}
	}
}

// linger waits until the caller has read the last response and closed the connection, at most lingerTimeout.
func (c *conn) linger(gone <-chan struct{}) {
	if t, ok := c.nc.(*net.TCPConn); ok {
		_ = t.CloseWrite() // fails only if the connection has already ended
	}
	timer := time.NewTimer(lingerTimeout)
	defer timer.Stop()
	select {
	case <-gone:
	case <-timer.C:
	}
}

// errPanic is returned if reading a request or writing a response panicked.
var errPanic = errors.New("panic while a request was read")

// readRequestsRecovering calls readRequests. A panic ends this connection and not the process.
func (c *conn) readRequestsRecovering(ctx context.Context) (err error) {
	defer func() {
		if v := recover(); v != nil {
			c.server.onPanic(v)
			err = errPanic
		}
	}()
	return c.readRequests(ctx)
}

// readRequests admits requests until the connection ends. It returns errServerClosing if this process ends the
// connection, so that the responses in progress are still written. Any other error means that the caller has
// disconnected or was idle.
func (c *conn) readRequests(ctx context.Context) error {
	for {
		r, arrived, err := c.readRequest()
		if refusal := c.server.refusalFor(err, r, arrived); refusal != nil {
			c.refuse(refusal)
			return errServerClosing
		}
		if _, finalChosen := c.progress(); err != nil && finalChosen {
			return errServerClosing // the last response has interrupted the read of a request behind it
		}
		if err != nil {
			return err
		}
		if !c.server.handler.AllowsPipelining(r) {
			c.handlers.Wait()
		}
		ex := &exchange{response: make(chan *codec.Response, 1), last: r.WantsClose(), head: r.Method() == http.MethodHead}
		if !c.admitRequest() {
			r.Release()
			return errServerClosing
		}
		c.handlers.Add(1)
		go func() {
			defer c.handlers.Done()
			a := c.server.handle(ctx, r, arrived)
			r.Release()
			ex.response <- a
		}()
		c.exchanges <- ex
		if ex.last {
			return errServerClosing
		}
	}
}

// admitRequest counts one more request. It reports false if the connection takes no further request; the caller then
// has to send it again on another connection.
func (c *conn) admitRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.finalChosen || c.closing && c.unanswered > 0 || !c.server.admit() {
		return false
	}
	c.unanswered++
	return true
}

// finishExchange decides whether the response of ex is the last one of the connection.
func (c *conn) finishExchange(ex *exchange) (last bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unanswered--
	if c.unanswered == 0 && !c.requestStarted {
		c.server.setIdle(c, true)
	}
	last = ex.last || c.unanswered == 0 && (c.closing || c.server.isDraining())
	c.finalChosen = c.finalChosen || last
	return last
}

// closeAfterPending ends the connection after the responses to the requests in progress. Requests that a caller
// pipelines behind them are not admitted, since they could keep the connection open without end. If none is in
// progress, one more is admitted within stopGracePeriod, which may have been sent just before. Further calls have no
// effect.
func (c *conn) closeAfterPending() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closing && c.unanswered == 0 && !c.finalChosen && !c.requestStarted {
		c.setReadTimeout(stopGracePeriod)
	}
	c.closing = true
}

// setReadTimeout bounds the wait for the next bytes of the caller.
func (c *conn) setReadTimeout(d time.Duration) { _ = c.nc.SetReadDeadline(c.server.clock().Add(d)) }

// startIdleTimeout bounds the wait for the next request. It reports false if none is admitted any more.
func (c *conn) startIdleTimeout() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requestStarted = false
	c.server.setIdle(c, c.unanswered == 0)
	if c.closing {
		c.setReadTimeout(stopGracePeriod)
	} else {
		c.setReadTimeout(c.server.currentLimits().IdleTimeout)
	}
	return !c.finalChosen
}

// startHeaderTimeout bounds the time for the header of a request whose first byte has arrived.
func (c *conn) startHeaderTimeout(header time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requestStarted = true
	c.server.setIdle(c, false)
	c.setReadTimeout(header)
}

func (c *conn) progress() (unanswered int, finalChosen bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unanswered, c.finalChosen
}

// refuse responds to bytes that are not a valid request, and ends the connection after the response.
func (c *conn) refuse(a *codec.Response) {
	if !c.admitRequest() {
		return
	}
	ex := &exchange{response: make(chan *codec.Response, 1), last: true}
	ex.response <- a
	c.exchanges <- ex
}

// awaitRequest waits for the first byte of a request. The idle timeout applies only while no request of the connection
// is in progress.
func (c *conn) awaitRequest() error {
	for {
		if !c.startIdleTimeout() {
			return errServerClosing
		}
		_, err := c.br.Peek(1)
		if err == nil {
			return nil
		}
		unanswered, finalChosen := c.progress()
		switch {
		case finalChosen && isTimeout(err):
			return errServerClosing
		case unanswered > 0 && isTimeout(err):
			continue
		}
		return err
	}
}

func isTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}

// readRequest reads one complete request. Arrived is when its first byte was read. If there is no memory for its body, the error is
// memory.ErrExhausted, and r has the header.
func (c *conn) readRequest() (r *codec.Request, arrived time.Time, err error) {
	if err := c.awaitRequest(); err != nil {
		return nil, arrived, err
	}
	limits := c.server.currentLimits()
	arrived = c.server.clock()
	c.startHeaderTimeout(limits.HeaderTimeout)
	r = &codec.Request{}
	err = r.ReadHeader(c.br)
	for errors.Is(err, codec.ErrHeaderTooLarge) && c.bufferBytes < limits.HeaderBytes {
		c.grow(limits.HeaderBytes)
		err = r.ReadHeader(c.br)
	}
	if isTimeout(err) {
		return nil, arrived, errHeaderTimeout
	}
	if err != nil {
		return nil, arrived, err
	}
	if r.ContentLengthExceeds(limits.BodyBytes) {
		return nil, arrived, codec.ErrBodyTooLarge
	}
	_ = c.nc.SetReadDeadline(arrived.Add(bodyTimeout))
	if err := c.readBody(r, limits.BodyBytes); err != nil {
		r.Release()
		return r, arrived, err
	}
	return r, arrived, nil
}

// readBody reads the body of a request, once there is memory for it.
func (c *conn) readBody(r *codec.Request, limit int) error {
	if err := r.ReserveBody(c.server.bodies.Reserve(uncountedBodyBytes)); err != nil {
		return err
	}
	if r.ExpectsContinue() {
		if _, err := io.WriteString(c.nc, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return err
		}
	}
	return r.ReadBody(c.br, limit)
}

// grow replaces the read buffer by one that holds a header of n bytes.
func (c *conn) grow(n int) {
	pending, _ := c.br.Peek(c.br.Buffered()) // Peek of buffered bytes cannot fail
	kept := bytes.NewReader(append([]byte(nil), pending...))
	c.bufferBytes = n
	c.br = bufio.NewReaderSize(io.MultiReader(kept, c.nc), n)
}

// errHeaderTimeout is returned if the header of a request was not complete in time.
var errHeaderTimeout = errors.New("header not complete in time")

// refusalFor returns the response to a request that could not be read, or nil if the error requires none.
func (s *Server) refusalFor(err error, r *codec.Request, arrived time.Time) *codec.Response {
	switch {
	case errors.Is(err, memory.ErrExhausted):
		return s.onNoMemory(r, arrived)
	case errors.Is(err, codec.ErrHeaderTooLarge):
		return codec.NewResponse(http.StatusRequestHeaderFieldsTooLarge, "header over the limit\n")
	case errors.Is(err, codec.ErrBodyTooLarge):
		return codec.NewResponse(http.StatusRequestEntityTooLarge, "body over the limit\n")
	case errors.Is(err, codec.ErrMalformed):
		return codec.NewResponse(http.StatusBadRequest, "malformed request\n")
	case errors.Is(err, errHeaderTimeout):
		return codec.NewResponse(http.StatusRequestTimeout, "header not complete in time\n")
	}
	return nil
}

// writeResponses writes the responses in order. It reports whether the caller must be given time to read the last one.
func (c *conn) writeResponses(cancel context.CancelFunc) (linger bool) {
	broken := false
	for ex := range c.exchanges {
		a := <-ex.response
		last := c.finishExchange(ex)
		if !broken {
			if ex.head {
				a = a.ForHead()
			}
			broken = c.write(a, last) != nil
			linger = last && !broken
		}
		c.server.addInFlight(-1)
		if broken {
			cancel()
		}
		if broken || last {
			c.interruptRead()
		}
	}
	return linger
}

func (c *conn) write(a *codec.Response, last bool) (err error) {
	defer func() {
		if v := recover(); v != nil {
			c.server.onPanic(v)
			err = errPanic
		}
	}()
	_ = c.nc.SetWriteDeadline(c.server.clock().Add(writeTimeout))
	for _, b := range a.Encode(last) {
		if _, err := c.nc.Write(b); err != nil {
			return err
		}
	}
	return nil
}
