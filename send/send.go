// Package send is the HTTP client for upstream targets. It returns complete responses only, and classifies each failure
// by whether the target may have run the request.
package send

import (
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/currantpier/currantpier/codec"
	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/retry"
)

const (
	dialTimeout = time.Second
	// maxIdleTime is shorter than the idle timeouts of common servers, so that a server rarely closes a pooled
	// connection while a request is being sent on it.
	maxIdleTime = 15 * time.Second
	// A request on a pooled connection times out after silenceLatencies times the target's average latency, but not
	// before minSilence. The connection is then considered dead although it was not closed.
	minSilence       = 250 * time.Millisecond
	silenceLatencies = 8
)

// errDial marks a failure to open a connection: no byte of the request was written.
var errDial = errors.New("dial failed")

// Request describes one attempt to send a request to a target.
type Request struct {
	Target  ident.Target
	Address string
	Kind    retry.Request
	ID      ident.RequestID
	// Deadline is sent to the target as the time left, and ends the attempt.
	Deadline time.Time
	// NewConnection requests a new connection. Orders always get one: on a pooled connection, a target that had closed
	// it before the order arrived can't be distinguished from one that broke it after running the order.
	NewConnection bool
	// HTTP is the request to send. Do replaces its host and sets the headers for the deadline and the id.
	HTTP *fasthttp.Request
}

// Result is the outcome of an attempt.
type Result struct {
	// OK is set if the response is complete and is to be passed on. Failure is meaningful only without it.
	OK      bool
	Failure retry.Failure
	// Written reports whether bytes of the request may have reached the target.
	Written bool
	Latency time.Duration
	// Silent is set if a pooled connection delivered no response for longer than the target's usual latency allows,
	// before the deadline.
	Silent bool
	// Sent and Received are the approximate sizes of the request and the response, in bytes.
	Sent, Received int
}

// estimatedHeaderBytes is added to the body sizes in Sent and Received for the headers, which are not measured.
const estimatedHeaderBytes = 300

// Client sends requests to any number of targets. It is safe for concurrent use.
type Client struct {
	maxBody int
	clock   func() time.Time

	mu      sync.Mutex
	targets map[string]*target
	// conns holds the open connections.
	conns map[*quietConn]bool
	// aborted is set by Abort and never cleared.
	aborted bool
}

// target holds the HTTP clients for one address and its average latency.
type target struct {
	pooled *fasthttp.HostClient
	// unpooled opens a connection for each request and closes it afterwards.
	unpooled *fasthttp.HostClient

	mu sync.Mutex
	// avgLatency is the exponential moving average of the latency; zero before the first response.
	avgLatency time.Duration
}

// New returns a client that accepts response bodies of at most maxBody bytes.
func New(maxBody int, clock func() time.Time) *Client {
	return &Client{maxBody: maxBody, clock: clock, targets: map[string]*target{}, conns: map[*quietConn]bool{}}
}

// Abort gives up all attempts in progress, and each later one before it is sent. It is called before the process ends, so
// that callers get a response.
func (c *Client) Abort() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.aborted = true
	for conn := range c.conns {
		_ = conn.SetDeadline(abortedDeadline)
		_ = conn.Conn.Close()
	}
}

// abortedDeadline is a time in the past, which ends a read that is in progress with a timeout.
var abortedDeadline = time.Unix(1, 0)

func (c *Client) isAborted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.aborted
}

// SetMaxConnections limits the number of pooled connections to an address to n, at least 1. While all of them are in
// use, further requests fail with retry.Refused at once instead of waiting.
func (c *Client) SetMaxConnections(addr string, n int) {
	t := c.target(addr)
	t.pooled.SetMaxConns(max(n, 1))
}

func (c *Client) target(addr string) *target {
	c.mu.Lock()
	defer c.mu.Unlock()
	t, ok := c.targets[addr]
	if !ok {
		t = &target{pooled: c.hostClient(addr), unpooled: c.hostClient(addr)}
		c.targets[addr] = t
	}
	return t
}

func (c *Client) hostClient(addr string) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                      addr,
		Dial:                      c.dial,
		MaxIdleConnDuration:       maxIdleTime,
		Transport:                 transport{c.maxBody},
		MaxIdemponentCallAttempts: 1,
		NoDefaultUserAgentHeader:  true,
		DisablePathNormalizing:    true,
		// Package retry decides about retries; fasthttp must not repeat a request.
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}
}

func (c *Client) dial(addr string) (net.Conn, error) {
	nc, err := fasthttp.DialDualStackTimeout(addr, dialTimeout)
	if err != nil {
		return nil, errors.Mark(err, errDial)
	}
	if tcp, ok := nc.(*net.TCPConn); ok {
		// Closing resets the connection. After a plain close, an order that a partition holds back would run when the partition
		// ends, although its attempt was given up.
		if err := tcp.SetLinger(0); err != nil {
			_ = nc.Close()
			return nil, errors.Mark(err, errDial)
		}
	}
	conn := &quietConn{Conn: nc}
	conn.closed = func() { c.forget(conn) }
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.aborted {
		_ = nc.Close()
		return nil, errDial
	}
	c.conns[conn] = true
	return conn, nil
}

func (c *Client) forget(conn *quietConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.conns, conn)
}

// Do makes one attempt and stores the response in resp. The response is complete if and only if OK is set.
func (c *Client) Do(r Request, resp *fasthttp.Response) Result {
	if c.isAborted() {
		return Result{Failure: retry.Stopped}
	}
	t := c.target(r.Address)
	start := c.clock()
	r.HTTP.SetHost(r.Address)
	r.HTTP.Header.Set("Deadline-Ms", formatMs(r.Deadline.Sub(start)))
	if r.ID != "" {
		r.HTTP.Header.Set("Request-Id", string(r.ID))
	}
	newConn := r.NewConnection || r.Kind == retry.Order
	host, until := t.pooled, r.Deadline
	if newConn {
		host = t.unpooled
		r.HTTP.SetConnectionClose()
	} else {
		r.HTTP.Header.ResetConnectionClose()
		until = t.silenceDeadline(start, r.Deadline)
	}
	err := host.DoDeadline(r.HTTP, resp, until)
	res := c.classify(r, resp, err, newConn, until)
	res.Latency = c.clock().Sub(start)
	res.Sent, res.Received = estimatedHeaderBytes+len(r.HTTP.Body()), estimatedHeaderBytes+len(resp.Body())
	if res.OK {
		t.recordLatency(res.Latency)
	}
	return res
}

// classify maps the outcome of a call to a Result without sizes and latency. until is the time at which the call was to
// time out.
func (c *Client) classify(r Request, resp *fasthttp.Response, err error, newConn bool, until time.Time) Result {
	switch {
	case err != nil && c.isAborted():
		return Result{Failure: retry.Stopped, Written: !errors.Is(err, errDial)}
	case err == nil && resp.StatusCode() == fasthttp.StatusServiceUnavailable:
		if statesNotRun(resp) {
			return Result{Failure: retry.Rejected}
		}
		return Result{Failure: retry.Other, Written: true}
	case err == nil:
		return Result{OK: true, Written: true}
	case errors.Is(err, errDial), errors.Is(err, fasthttp.ErrNoFreeConns):
		return Result{Failure: retry.Refused}
	case errors.Is(err, errNotQuiet):
		return Result{Failure: retry.Stale}
	case errors.Is(err, errClosedInResponse), errors.Is(err, codec.ErrNoLength):
		return Result{Failure: retry.Truncated, Written: true}
	case isTimeout(err) && until.Before(r.Deadline):
		return Result{Failure: retry.Silent, Written: true, Silent: true}
	case isTimeout(err):
		return Result{Failure: retry.Deadline, Written: true}
	case errors.Is(err, fasthttp.ErrConnectionClosed) && !newConn:
		return Result{Failure: retry.Stale, Written: true}
	}
	return Result{Failure: retry.Broken, Written: true}
}

// statesNotRun reports whether a refusal states that the request was not run, and nothing else about it.
func statesNotRun(resp *fasthttp.Response) bool {
	stated := resp.Header.PeekAll("Shed")
	return len(stated) == 1 && string(stated[0]) == "not-run"
}

// isTimeout reports whether a deadline ended the call. fasthttp returns either its own timeout error or the
// connection's, so the method is checked instead of the value.
func isTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout()
}

// silenceDeadline returns the time at which a pooled connection without a response is considered dead. It leaves half
// of the remaining time, so that a second attempt on a new connection can finish before the deadline.
func (t *target) silenceDeadline(now, deadline time.Time) time.Time {
	t.mu.Lock()
	average := t.avgLatency
	t.mu.Unlock()
	if average == 0 {
		return deadline
	}
	wait := max(minSilence, silenceLatencies*average)
	if half := deadline.Sub(now) / 2; wait > half {
		wait = half
	}
	return now.Add(wait)
}

// recordLatency adds a sample to the moving average, with a weight of 1/8.
func (t *target) recordLatency(latency time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.avgLatency == 0 {
		t.avgLatency = latency
		return
	}
	t.avgLatency += (latency - t.avgLatency) / 8
}

// Forward sends a caller's order to the entry at addr, on a new connection. It reports whether the response in resp is
// complete.
func (c *Client) Forward(addr string, req *fasthttp.Request, resp *fasthttp.Response, deadline time.Time) bool {
	req.SetConnectionClose()
	err := c.target(addr).unpooled.DoDeadline(req, resp, deadline)
	resp.Header.Del("Connection")
	return err == nil
}

// CloseIdle closes the idle connections to addr. It is called after one of them was found dead, since the others
// probably are dead too.
func (c *Client) CloseIdle(addr string) {
	c.target(addr).pooled.CloseIdleConnections()
}

// Get reads a small document of a target, such as its load report, on a new connection.
func (c *Client) Get(addr, path string, timeout time.Duration) ([]byte, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + addr + path)
	if err := c.target(addr).unpooled.DoDeadline(req, resp, c.clock().Add(timeout)); err != nil {
		return nil, errors.Wrapf(err, "get %s", path)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return nil, errors.Newf("get %s: status %d", path, resp.StatusCode())
	}
	return append([]byte(nil), resp.Body()...), nil
}
