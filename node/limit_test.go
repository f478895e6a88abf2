package node

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/currantpier/currantpier/kernel"
	"github.com/currantpier/currantpier/wire"
)

// testLimit bounds bodies in tests; a body of endlessSize bytes stands for one without end.
const (
	testLimit   = 1 << 20
	endlessSize = 40 * testLimit
)

// countedBody is a body of zeros. read counts the bytes that were read of it, and atEnd, if set, is called at its end.
type countedBody struct {
	left  int64
	read  *atomic.Int64
	atEnd func()
}

func (b *countedBody) Read(p []byte) (int, error) {
	n := min(int64(len(p)), b.left)
	b.left -= n
	b.read.Add(n)
	if n == 0 {
		if b.atEnd != nil {
			b.atEnd()
		}
		return 0, io.EOF
	}
	return int(n), nil
}

func newTestControl() *Control {
	s := newTestSync(&rowGetter{})
	p := &PeerBase{Members: s.members, Sync: s, Clock: s.clock, Leaving: func() bool { return false }}
	return NewControl(nil, p, kernel.New(), metrics.NewRegistry(), time.Now, func() string { return "" })
}

func call(h http.Handler, method string, body io.Reader) int {
	r := httptest.NewRequest(http.MethodPost, wire.PeerPathPrefix+method, body)
	r.Header.Set("Content-Type", "application/protobuf")
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w.Code
}

// Guards against a process that runs out of memory because a peer sends a call without end, and against calls that are
// never finished.
func TestCallsWithoutEnd(t *testing.T) {
	c := newTestControl()
	var read atomic.Int64
	if code := call(c.server.Handler, "Push", &countedBody{left: endlessSize, read: &read}); code < 400 || read.Load() > maxMessageBytes+1 {
		t.Errorf("status %d after %d bytes of a call without end", code, read.Load())
	}
	read.Store(0)
	if code := call(c.server.Handler, "List", &countedBody{left: 0, read: &read}); code != http.StatusOK {
		t.Errorf("status %d of an ordinary call afterwards", code)
	}
	if c.server.ReadTimeout <= maxFetchWait || c.server.WriteTimeout <= maxFetchWait || c.server.IdleTimeout == 0 {
		t.Errorf("timeouts: read %v, write %v, idle %v", c.server.ReadTimeout, c.server.WriteTimeout, c.server.IdleTimeout)
	}
}

// Guards against a process that runs out of memory because many peers send large calls at the same time, and against
// memory that stays in use after the calls.
func TestCallsShareMemoryLimit(t *testing.T) {
	l := &bodyLimit{maxMessage: testLimit, maxTotal: 3 * testLimit}
	var read atomic.Int64
	h := l.handler(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { _, _ = io.ReadAll(r.Body) }))
	var send func(others int)
	send = func(others int) {
		body := &countedBody{left: testLimit, read: &read}
		if others > 0 {
			body.atEnd = func() { send(others - 1) } // the other calls arrive while this one holds its body
		}
		h.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/", body))
	}
	send(20)
	if n := read.Load(); n > l.maxTotal+testLimit || l.used.Load() != 0 {
		t.Errorf("%d bytes in memory, want about %d; %d after the calls", n, l.maxTotal, l.used.Load())
	}
}

// Guards against a process that runs out of memory because a peer sends a reply, or an error, without end.
func TestRepliesWithoutEnd(t *testing.T) {
	for _, status := range []int{http.StatusOK, http.StatusInternalServerError} {
		written := make(chan int64, 1)
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Type", "application/protobuf")
			w.WriteHeader(status)
			n, _ := io.Copy(w, &countedBody{left: endlessSize, read: new(atomic.Int64)})
			written <- n
		}))
		p := NewPeers()
		p.client.Transport.(*boundedTransport).limit.maxMessage = testLimit
		_, err := p.At(srv.Listener.Addr().(*net.TCPAddr).String()).Probe(t.Context(), &wire.ProbeRequest{})
		p.Close()
		srv.CloseClientConnections()
		if n := <-written; err == nil || n == endlessSize {
			t.Errorf("status %d: error %v after %d bytes of a reply without end", status, err, n)
		}
		srv.Close()
	}
}
