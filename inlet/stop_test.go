package inlet

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/currantpier/currantpier/codec"
	"github.com/currantpier/currantpier/fleet"
)

// echoHandler responds to each request with its path; "/panic" makes it panic.
type echoHandler struct{}

func (echoHandler) Handle(_ context.Context, r *codec.Request, _ time.Time) *codec.Response {
	if r.Path() == "/panic" {
		panic("a fault in one request")
	}
	return codec.NewResponse(http.StatusOK, r.Path())
}

func (echoHandler) AllowsPipelining(*codec.Request) bool { return true }

// gatedListener accepts nothing until open is closed, so that connections wait in the kernel's queue.
type gatedListener struct {
	*net.TCPListener
	open chan struct{}
}

func (l gatedListener) Accept() (net.Conn, error) {
	<-l.open
	return l.TCPListener.Accept()
}

// A planned stop under load, while callers open connections. Guards against ending connections without a response if
// they wait in the kernel's queue or are persistent and idle.
func TestStopServesQueuedConnections(t *testing.T) {
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ln := gatedListener{tcp.(*net.TCPListener), make(chan struct{})}
	s := New(echoHandler{}, func() *fleet.Limits { return nil }, time.Now)
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- s.Serve(ctx, ln) }()
	s.waitForListener(t)
	var conns []net.Conn
	for i := range 20 {
		nc, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = nc.Close() }()
		_ = nc.SetDeadline(time.Now().Add(10 * time.Second))
		sendRequest(t, nc, fmt.Sprint("/", i))
		conns = append(conns, nc)
	}
	s.Drain()
	s.StopAccepting()
	close(ln.open)
	for i, nc := range conns {
		resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
		if err != nil {
			t.Errorf("request %d got no response: %v", i, err)
			continue
		}
		b, _ := io.ReadAll(resp.Body) // a truncated body fails the comparison
		if string(b) != fmt.Sprint("/", i) || !resp.Close {
			t.Errorf("request %d: response %q, last: %v", i, b, resp.Close)
		}
		_ = nc.Close()
	}
	for !s.Close() {
		time.Sleep(time.Millisecond) // Close must be polled for the end of the last connection
	}
	cancel()
	if err := <-served; err != nil {
		t.Error(err)
	}
}

// waitForListener waits until Serve has registered its listener.
func (s *Server) waitForListener(t *testing.T) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		s.mu.Lock()
		n := len(s.listeners)
		s.mu.Unlock()
		if n > 0 {
			return
		}
	}
	t.Fatal("the server has no listener after 10 s")
}

// Guards against resetting a persistent connection that holds an unread request when the server stops.
func TestStopServesRequestAlreadySent(t *testing.T) {
	s, nc := startServer(t, echoHandler{})
	br := bufio.NewReader(nc)
	sendRequest(t, nc, "/1")
	if body, _ := readResponse(t, br); body != "/1" {
		t.Fatalf("response %q", body)
	}
	sendRequest(t, nc, "/2")
	s.StopAccepting()
	// The request may have been served before the stop. The connection then ends after it.
	if body, _ := readResponse(t, br); body != "/2" {
		t.Errorf("response %q, want /2", body)
	}
	if _, err := br.ReadByte(); err != io.EOF {
		t.Errorf("%v, want the end of the connection", err)
	}
}

// Guards against a caller whose connection is cut without a response when the process must exit, and against a request that
// is admitted afterwards with a context that has not ended.
func TestAbortAnswersRequestsInProgress(t *testing.T) {
	h := newBlockingHandler()
	s, nc := startServer(t, h)
	sendRequest(t, nc, "/1")
	sendRequest(t, nc, "/2")
	<-h.entered
	<-h.entered
	s.StopAccepting()
	s.Abort(io.ErrClosedPipe)
	br := bufio.NewReader(nc)
	if body, last := readResponse(t, br); body != "/1" || last {
		t.Errorf("first response %q, last: %v", body, last)
	}
	if body, last := readResponse(t, br); body != "/2" || !last {
		t.Errorf("second response %q, last: %v, want it to end the connection", body, last)
	}
	ctx, cancel := context.WithCancelCause(context.Background())
	late := &conn{cancel: cancel}
	s.add(late)
	defer s.remove(late)
	if context.Cause(ctx) != io.ErrClosedPipe {
		t.Errorf("a connection opened after the abort: %v", context.Cause(ctx))
	}
}

// Guards against a panic in one request that ends the process, and against panics that are not reported.
func TestPanicFailsOnlyItsRequest(t *testing.T) {
	var panics atomic.Int64
	_, nc := startServer(t, echoHandler{}, OnPanic(func(any) { panics.Add(1) }))
	br := bufio.NewReader(nc)
	sendRequest(t, nc, "/panic")
	resp, err := http.ReadResponse(br, nil)
	if err != nil || resp.StatusCode != http.StatusBadGateway {
		t.Fatalf("%v %v, want 502 since the outcome of the request is unknown", resp, err)
	}
	_, _ = io.Copy(io.Discard, resp.Body) // a truncated body breaks the next response
	sendRequest(t, nc, "/2")
	if body, _ := readResponse(t, br); body != "/2" {
		t.Errorf("response %q after a panic", body)
	}
	if panics.Load() != 1 {
		t.Errorf("%d panics were reported", panics.Load())
	}
}

// Guards against request bytes that crash the process. Each case is sent on a connection of its own, to a server of its
// own.
func TestMalformedRequests(t *testing.T) {
	for _, text := range []string{
		"\x00\x00\x00\r\n\r\n", "GET\r\n\r\n", "GET / HTTP/9.9\r\nHost:\r\n\r\n", "POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffffff\r\n", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
		"GET /%zz%00 HTTP/1.1\r\nHost: [::\r\n\r\n", "GET / HTTP/1.1\r\n" + strings.Repeat("A: b\r\n", 9000) + "\r\n",
	} {
		s, nc := startServer(t, echoHandler{})
		if _, err := nc.Write([]byte(text)); err != nil {
			t.Fatal(err)
		}
		_ = nc.(*net.TCPConn).CloseWrite() // the server may have closed the connection already
		_, _ = io.Copy(io.Discard, nc)     // the result doesn't matter
		if _, n := s.Active(); n > 1 {
			t.Errorf("%q: %d connections", text, n)
		}
	}
}
