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

// gate is a handler whose requests wait until they are released.
type gate struct {
	// entered gets the path of each request, release lets one go on.
	entered chan string
	release chan struct{}
}

func newGate() *gate { return &gate{make(chan string, 16), make(chan struct{}, 16)} }

func (g *gate) Handle(ctx context.Context, r *codec.Request, _ time.Time) *codec.Answer {
	g.entered <- r.Path()
	select {
	case <-g.release:
	case <-ctx.Done():
	}
	return codec.NewAnswer(http.StatusOK, r.Path())
}

func (g *gate) MayOverlap(*codec.Request) bool { return true }

// serve starts a server and returns a connection to it.
func serve(t *testing.T, h Handler, options ...Option) (*Server, net.Conn) {
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

func ask(t *testing.T, nc net.Conn, path string) {
	t.Helper()
	if _, err := fmt.Fprintf(nc, "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", path); err != nil {
		t.Fatal(err)
	}
}

// answer reads one answer and returns its body and whether it ends the connection.
func answer(t *testing.T, br *bufio.Reader) (body string, last bool) {
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

// Guards against a caller who keeps sending ahead and so keeps its connection, and new requests, on a VM that stops
// (sag-pier-grown, hunt-ad1c-7: LOST, a request was taken 4.7 s after SIGTERM and cut at the end of the grace time).
func TestStopWithRequestsSentAhead(t *testing.T) {
	g := newGate()
	s, nc := serve(t, g)
	ask(t, nc, "/1")
	ask(t, nc, "/2")
	<-g.entered
	<-g.entered
	s.Drain()
	s.StopAccepting()
	ask(t, nc, "/3")
	select {
	case path := <-g.entered:
		t.Errorf("%s was taken by a server that takes no new requests", path)
		g.release <- struct{}{}
	case <-time.After(300 * time.Millisecond): // a server that takes it does so at once
	}
	br := bufio.NewReader(nc)
	g.release <- struct{}{}
	g.release <- struct{}{}
	if body, last := answer(t, br); body != "/1" || last {
		t.Errorf("first answer %q, last: %v", body, last)
	}
	if body, last := answer(t, br); body != "/2" || !last {
		t.Errorf("second answer %q, last: %v, want it to end the connection", body, last)
	}
	if _, err := br.ReadByte(); err != io.EOF {
		t.Errorf("after the last answer: %v, want the end of the connection", err)
	}
}

// Guards against a kept connection that goes on after the answer that was in progress when the server stopped, and against
// an idle one that stays open.
func TestStopEndsKeptConnections(t *testing.T) {
	for _, busy := range []bool{true, false} {
		g := newGate()
		s, nc := serve(t, g)
		br := bufio.NewReader(nc)
		ask(t, nc, "/1")
		<-g.entered
		if !busy {
			g.release <- struct{}{}
			if body, last := answer(t, br); body != "/1" || last {
				t.Errorf("answer %q, last: %v", body, last)
			}
		}
		s.Drain()
		s.StopAccepting()
		if busy {
			g.release <- struct{}{}
			if body, last := answer(t, br); body != "/1" || !last {
				t.Errorf("answer %q, last: %v, want it to end the connection", body, last)
			}
		}
		// A planned stop asks again and again.
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
			case <-time.After(closeFor / 4):
				s.StopAccepting()
			}
		}
	}
}

// Guards against answers that overtake each other on a connection.
func TestAnswersInOrder(t *testing.T) {
	g := newGate()
	_, nc := serve(t, g)
	const n = 8
	for i := range n {
		ask(t, nc, fmt.Sprint("/", i))
	}
	for range n {
		g.release <- struct{}{}
	}
	br := bufio.NewReader(nc)
	for i := range n {
		if body, _ := answer(t, br); body != fmt.Sprint("/", i) {
			t.Errorf("answer %d is %q", i, body)
		}
	}
}
