package inlet

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/currantpier/currantpier/codec"
	"github.com/currantpier/currantpier/fleet"
)

// busyHandler is a handler whose requests for /busy wait until they are released.
type busyHandler struct{ entered, release chan struct{} }

func (h *busyHandler) Handle(ctx context.Context, r *codec.Request, _ time.Time) *codec.Response {
	if r.Path() == "/busy" {
		h.entered <- struct{}{}
		select {
		case <-h.release:
		case <-ctx.Done():
		}
	}
	return codec.NewResponse(http.StatusOK, r.Path())
}

func (*busyHandler) AllowsPipelining(*codec.Request) bool { return true }

// dialAndRequest opens a connection and sends one request on it.
func dialAndRequest(t *testing.T, to net.Conn, path string) (net.Conn, *bufio.Reader) {
	t.Helper()
	nc, err := net.Dial("tcp", to.RemoteAddr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = nc.Close() })
	_ = nc.SetDeadline(time.Now().Add(10 * time.Second))
	sendRequest(t, nc, path)
	return nc, bufio.NewReader(nc)
}

// In a rush, callers keep more connections open than the process has descriptors for. Guards against requests that wait in the
// kernel's queue while idle connections stay open, and against a request in progress that is cut for a new connection.
func TestNewConnectionEndsTheLongestIdle(t *testing.T) {
	const limit = 3
	h := &busyHandler{entered: make(chan struct{}), release: make(chan struct{})}
	s, busy := startServer(t, h, LimitConnections(limit))
	sendRequest(t, busy, "/busy")
	<-h.entered

	// Each of these is answered and then idle, in this order.
	var idle []net.Conn
	var readers []*bufio.Reader
	for _, path := range []string{"/first", "/second"} {
		nc, br := dialAndRequest(t, busy, path)
		idle, readers = append(idle, nc), append(readers, br)
		if body, last := readResponse(t, br); body != path || last {
			t.Fatalf("response %q, last %v", body, last)
		}
	}
	if _, connections := s.Active(); connections != limit {
		t.Fatalf("%d connections are open, want %d", connections, limit)
	}
	_, third := dialAndRequest(t, busy, "/third")
	if body, last := readResponse(t, third); body != "/third" || last {
		t.Errorf("the new connection: response %q, last %v", body, last)
	}
	if _, err := readers[0].ReadByte(); err != io.EOF {
		t.Errorf("the connection that was idle longest: %v, want its end", err)
	}
	sendRequest(t, idle[1], "/again")
	if body, last := readResponse(t, readers[1]); body != "/again" || last {
		t.Errorf("the connection that was idle shorter: response %q, last %v", body, last)
	}
	close(h.release)
	if body, _ := readResponse(t, bufio.NewReader(busy)); body != "/busy" {
		t.Errorf("the request in progress: response %q", body)
	}
}

// failingListener is a listener whose first calls of Accept fail.
type failingListener struct {
	net.Listener
	failures int
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, syscall.EMFILE
	}
	return l.Listener.Accept()
}

// Guards against a process without file descriptors that doesn't show it, and one that stops accepting because of it.
func TestAcceptFailuresAreCounted(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := New(echoHandler{}, func() *fleet.Limits { return nil }, time.Now)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- s.Serve(ctx, &failingListener{ln, 3}) }()
	nc, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	_ = nc.SetDeadline(time.Now().Add(10 * time.Second))
	sendRequest(t, nc, "/a")
	readResponse(t, bufio.NewReader(nc))
	if n := s.AcceptFailures(); n != 3 {
		t.Errorf("%d failures were counted, want 3", n)
	}
	_ = nc.Close()
	cancel()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
