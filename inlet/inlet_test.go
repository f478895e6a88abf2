package inlet

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/currantpier/currantpier/codec"
	"github.com/currantpier/currantpier/fleet"
)

// blockingHandler is a handler whose requests wait until they are released.
type blockingHandler struct {
	// entered receives the path of each request; each value sent to release lets one request finish.
	entered chan string
	release chan struct{}
}

func newBlockingHandler() *blockingHandler {
	return &blockingHandler{make(chan string, 16), make(chan struct{}, 16)}
}

func (g *blockingHandler) Handle(ctx context.Context, r *codec.Request, _ time.Time) *codec.Response {
	g.entered <- r.Path()
	select {
	case <-g.release:
	case <-ctx.Done():
	}
	return codec.NewResponse(http.StatusOK, r.Path())
}

func (g *blockingHandler) AllowsPipelining(*codec.Request) bool { return true }

// startServer starts a server and returns a connection to it.
func startServer(t *testing.T, h Handler, options ...Option) (*Server, net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := New(h, func() *fleet.Limits { return nil }, time.Now, options...)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Serve(ctx, ln) }()
	nc, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	_ = nc.SetDeadline(time.Now().Add(10 * time.Second))
	t.Cleanup(func() {
		_ = nc.Close()
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return s, nc
}

func sendRequest(t *testing.T, nc net.Conn, path string) {
	t.Helper()
	if _, err := fmt.Fprintf(nc, "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", path); err != nil {
		t.Fatal(err)
	}
}

// readResponse reads one response and returns its body and whether it ends the connection.
func readResponse(t *testing.T, br *bufio.Reader) (body string, last bool) {
	t.Helper()
	resp, err := http.ReadResponse(br, nil)
	if err != nil {
		t.Fatal(err)
	}
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(b), resp.Close
}

// Guards against a caller whose pipelined requests keep its connection open, and are admitted, on a VM that stops. In
// run hunt-ad1c-7 of sag-pier-grown a request was admitted 4.7 s after SIGTERM and lost at the end of the grace period.
func TestStopWithPipelinedRequests(t *testing.T) {
	g := newBlockingHandler()
	s, nc := startServer(t, g)
	sendRequest(t, nc, "/1")
	sendRequest(t, nc, "/2")
	<-g.entered
	<-g.entered
	s.Drain()
	s.StopAccepting()
	sendRequest(t, nc, "/3")
	select {
	case path := <-g.entered:
		t.Errorf("%s was admitted by a stopped server", path)
		g.release <- struct{}{}
	case <-time.After(300 * time.Millisecond): // a server that admits it does so at once
	}
	br := bufio.NewReader(nc)
	g.release <- struct{}{}
	g.release <- struct{}{}
	if body, last := readResponse(t, br); body != "/1" || last {
		t.Errorf("first response %q, last: %v", body, last)
	}
	if body, last := readResponse(t, br); body != "/2" || !last {
		t.Errorf("second response %q, last: %v, want it to end the connection", body, last)
	}
	if _, err := br.ReadByte(); err != io.EOF {
		t.Errorf("after the last response: %v, want the end of the connection", err)
	}
}

// Guards against persistent connections that stay open after a stop: a busy one after the response in progress, or an
// idle one.
func TestStopEndsPersistentConnections(t *testing.T) {
	for _, busy := range []bool{true, false} {
		g := newBlockingHandler()
		s, nc := startServer(t, g)
		br := bufio.NewReader(nc)
		sendRequest(t, nc, "/1")
		<-g.entered
		if !busy {
			g.release <- struct{}{}
			if body, last := readResponse(t, br); body != "/1" || last {
				t.Errorf("response %q, last: %v", body, last)
			}
		}
		s.Drain()
		s.StopAccepting()
		if busy {
			g.release <- struct{}{}
			if body, last := readResponse(t, br); body != "/1" || !last {
				t.Errorf("response %q, last: %v, want it to end the connection", body, last)
			}
		}
		// StopAccepting is called repeatedly during a planned stop.
		ended := make(chan error, 1)
		go func() {
			_, err := br.ReadByte()
			ended <- err
		}()
		for again := true; again; {
			select {
			case err := <-ended:
				again = false
				if err != io.EOF {
					t.Errorf("busy %v: %v, want the end of the connection", busy, err)
				}
			case <-time.After(stopGracePeriod / 4):
				s.StopAccepting()
			}
		}
	}
}

// Guards against responses in another order than the requests of their connection.
func TestResponsesInOrder(t *testing.T) {
	g := newBlockingHandler()
	_, nc := startServer(t, g)
	const n = 8
	for i := range n {
		sendRequest(t, nc, fmt.Sprint("/", i))
	}
	for range n {
		g.release <- struct{}{}
	}
	br := bufio.NewReader(nc)
	for i := range n {
		if body, _ := readResponse(t, br); body != fmt.Sprint("/", i) {
			t.Errorf("response %d is %q", i, body)
		}
	}
}
