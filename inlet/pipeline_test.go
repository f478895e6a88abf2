package inlet

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/currantpier/currantpier/codec"
)

// countingHandler responds with the path and calls at with the number of each request, counted from one.
type countingHandler struct {
	n  atomic.Int64
	at func(n int64)
}

func (h *countingHandler) Handle(_ context.Context, r *codec.Request, _ time.Time) *codec.Response {
	h.at(h.n.Add(1))
	return codec.NewResponse(http.StatusOK, r.Path()+strings.Repeat("x", 2<<10))
}

func (h *countingHandler) AllowsPipelining(*codec.Request) bool { return true }

// A caller pipelines many requests, some with bodies, and reads slowly while a planned stop begins. Guards against a request
// that is handled and gets no response, a last response that is lost because unread requests reset the connection, and
// responses that are cut or out of order.
func TestStopWithinPipeline(t *testing.T) {
	const requests = 300
	var text strings.Builder
	for i := range requests {
		fmt.Fprintf(&text, "POST /%03d HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", i, i, strings.Repeat("b", i))
	}
	for _, stopAt := range []int64{1, 2, 17, 150, requests} {
		h := &countingHandler{}
		stop := make(chan *Server, 1)
		h.at = func(n int64) {
			if n == stopAt {
				s := <-stop
				s.Drain()
				s.StopAccepting()
			}
		}
		s, nc := startServer(t, h)
		stop <- s
		go func() { _, _ = io.WriteString(nc, text.String()) }() // fails if the server closes first
		br := bufio.NewReaderSize(nc, 64)
		answered, last := 0, false
		for {
			resp, err := http.ReadResponse(br, nil)
			if errors.Is(err, io.ErrUnexpectedEOF) && last {
				break // the end of the connection, after its last response
			}
			if err != nil {
				t.Fatalf("stop at %d: response %d: %v", stopAt, answered, err)
			}
			b, err := io.ReadAll(resp.Body)
			if want := fmt.Sprintf("/%03d", answered); err != nil || string(b[:4]) != want || len(b) != 4+2<<10 || last {
				t.Fatalf("stop at %d: response %d: %.8q of %d bytes, %v, after the last one: %v", stopAt, answered, b, len(b), err, last)
			}
			answered, last = answered+1, resp.Close
			if resp.Close {
				_ = nc.(*net.TCPConn).CloseWrite()
			}
		}
		if n := int(h.n.Load()); n != answered || answered < int(stopAt) {
			t.Errorf("stop at %d: %d requests handled, %d answered", stopAt, n, answered)
		}
	}
}
