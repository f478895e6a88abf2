// Package send carries requests to upstream targets over HTTP. It passes on whole answers only, and says of each
// failure whether the target may have run the request.
package send

import (
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/retry"
)

const (
	dialTimeout = time.Second
	// idleConn is shorter than the idle limits of common servers, so that few connections are closed under a request.
	idleConn = 15 * time.Second
	// minPatience and patienceFactor bound the wait on a connection that was used before: the larger of the minimum and
	// that many times the target's usual latency. Past it, the connection is taken to be silent.
	minPatience    = 250 * time.Millisecond
	patienceFactor = 8
)

// errDial marks errors that happened before a connection was open, so that no byte of the request was written.
var errDial = errors.New("dial failed")

// Request is one attempt.
type Request struct {
	Target  ident.Target
	Address string
	Kind    retry.Request
	ID      ident.RequestID
	// Deadline is passed to the target and ends the attempt.
	Deadline time.Time
	// Fresh asks for a new connection. Orders always get one: a connection that the target has closed meanwhile can't be
	// told from one that broke after the order ran.
	Fresh bool
	// HTTP is the request to pass on. Its host is replaced.
	HTTP *fasthttp.Request
}

// Result is the end of an attempt.
type Result struct {
	// OK is set if the target answered whole; Failure has no meaning then.
	OK      bool
	Failure retry.Failure
	// Written says whether bytes of the request may have reached the target.
	Written bool
	Latency time.Duration
	// Silent is set if the attempt was given up on a used connection although the deadline had not passed.
	Silent bool
	// Sent and Received are the bytes of the request and of the answer, about.
	Sent, Received int
}

// headerSize stands for the size of the headers in Sent and Received, in bytes.
const headerSize = 300

// Client sends requests to any number of targets. It is safe for concurrent use.
type Client struct {
	maxBody int
	clock   func() time.Time

	mu      sync.Mutex
	targets map[string]*target
}

// target holds the connections to one address.
type target struct {
	pooled *fasthttp.HostClient
	// fresh closes its connections after each request.
	fresh *fasthttp.HostClient

	mu sync.Mutex
	// usual is the moving average of the latency.
	usual time.Duration
}

// New returns a client that accepts answers of at most maxBody bytes.
func New(maxBody int, clock func() time.Time) *Client {
	return &Client{maxBody: maxBody, clock: clock, targets: map[string]*target{}}
}

// SetConnections limits the open connections to an address; further requests wait for none and are refused.
func (c *Client) SetConnections(addr string, n int) {
	t := c.target(addr)
	t.pooled.SetMaxConns(max(n, 1))
}

func (c *Client) target(addr string) *target {
	c.mu.Lock()
	defer c.mu.Unlock()
	t, ok := c.targets[addr]
	if !ok {
		t = &target{pooled: c.hostClient(addr), fresh: c.hostClient(addr)}
		c.targets[addr] = t
	}
	return t
}

func (c *Client) hostClient(addr string) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                      addr,
		Dial:                      dial,
		MaxIdleConnDuration:       idleConn,
		MaxResponseBodySize:       c.maxBody,
		MaxIdemponentCallAttempts: 1,
		NoDefaultUserAgentHeader:  true,
		DisablePathNormalizing:    true,
		// Retries are decided by package retry.
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}
}

func dial(addr string) (net.Conn, error) {
	conn, err := fasthttp.DialDualStackTimeout(addr, dialTimeout)
	if err != nil {
		return nil, errors.Mark(err, errDial)
	}
	return conn, nil
}

// Do makes one attempt and puts the answer into resp. The answer is whole if and only if OK is set.
func (c *Client) Do(r Request, resp *fasthttp.Response) Result {
	t := c.target(r.Address)
	start := c.clock()
	r.HTTP.SetHost(r.Address)
	r.HTTP.Header.Set("Deadline-Ms", formatMs(r.Deadline.Sub(start)))
	if r.ID != "" {
		r.HTTP.Header.Set("Request-Id", string(r.ID))
	}
	fresh := r.Fresh || r.Kind == retry.Order
	host, until := t.pooled, r.Deadline
	if fresh {
		host = t.fresh
		r.HTTP.SetConnectionClose()
	} else {
		r.HTTP.Header.ResetConnectionClose()
		until = t.patience(start, r.Deadline)
	}
	err := host.DoDeadline(r.HTTP, resp, until)
	res := c.classify(r, resp, err, fresh, until)
	res.Latency = c.clock().Sub(start)
	res.Sent, res.Received = headerSize+len(r.HTTP.Body()), headerSize+len(resp.Body())
	if res.OK {
		t.observe(res.Latency)
	}
	return res
}

func (c *Client) classify(r Request, resp *fasthttp.Response, err error, fresh bool, until time.Time) Result {
	switch {
	case err == nil && resp.Header.ContentLength() == lengthUnknown:
		// Without a length, the end of the answer can't be told from a broken connection.
		return Result{Failure: retry.Truncated, Written: true}
	case err == nil && resp.StatusCode() == fasthttp.StatusServiceUnavailable:
		if string(resp.Header.Peek("Shed")) == "not-run" {
			return Result{Failure: retry.Rejected}
		}
		return Result{Failure: retry.Other, Written: true}
	case err == nil:
		return Result{OK: true, Written: true}
	case errors.Is(err, errDial), errors.Is(err, fasthttp.ErrNoFreeConns):
		return Result{Failure: retry.Refused}
	case isTimeout(err) && until.Before(r.Deadline):
		return Result{Failure: retry.Silent, Written: true, Silent: true}
	case isTimeout(err):
		return Result{Failure: retry.Deadline, Written: true}
	case errors.Is(err, fasthttp.ErrConnectionClosed) && !fresh:
		return Result{Failure: retry.Stale, Written: true}
	}
	return Result{Failure: retry.Broken, Written: true}
}

// isTimeout reports whether a deadline ended the call; fasthttp returns its own error or the connection's.
func isTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout()
}

// lengthUnknown is what fasthttp reports for an answer that ends with the connection.
const lengthUnknown = -2

// patience bounds the wait on a connection that may have gone silent: several times the usual latency, at most half of
// the time left, so that a second attempt on a new connection can still finish.
func (t *target) patience(now, deadline time.Time) time.Time {
	t.mu.Lock()
	usual := t.usual
	t.mu.Unlock()
	if usual == 0 {
		return deadline
	}
	wait := max(minPatience, patienceFactor*usual)
	if half := deadline.Sub(now) / 2; wait > half {
		wait = half
	}
	return now.Add(wait)
}

func (t *target) observe(latency time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.usual == 0 {
		t.usual = latency
		return
	}
	t.usual += (latency - t.usual) / 8
}

// Forward carries a caller's order to the entry at addr, on a new connection. It reports false if no whole answer came.
func (c *Client) Forward(addr string, req *fasthttp.Request, resp *fasthttp.Response, deadline time.Time) bool {
	req.SetConnectionClose()
	err := c.target(addr).fresh.DoDeadline(req, resp, deadline)
	resp.Header.Del("Connection")
	return err == nil && resp.Header.ContentLength() != lengthUnknown
}

// CloseIdle closes the idle connections to every target, for example after one of them was found silent.
func (c *Client) CloseIdle(addr string) {
	c.target(addr).pooled.CloseIdleConnections()
}

// Get reads a small document of a target, for example its health.
func (c *Client) Get(addr, path string, timeout time.Duration) ([]byte, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + addr + path)
	if err := c.target(addr).fresh.DoDeadline(req, resp, c.clock().Add(timeout)); err != nil {
		return nil, errors.Wrapf(err, "get %s", path)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return nil, errors.Newf("get %s: status %d", path, resp.StatusCode())
	}
	return append([]byte(nil), resp.Body()...), nil
}
