package store_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/kinds"
	"github.com/currantpier/currantpier/store"
)

// newTestClient returns a client of a test server that serves each request with handler, and the count of requests
// received.
func newTestClient(t *testing.T, handler http.HandlerFunc) (*store.Client, *atomic.Int64) {
	var calls atomic.Int64
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		handler(w, r)
	}))
	t.Cleanup(srv.Close)
	return store.New(srv.URL, store.WithLimits(1000, 1000), store.WithHTTPClient(srv.Client())), &calls
}

func abortConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// respondRaw writes text to the connection and closes it.
func respondRaw(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		nc, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		_, _ = io.WriteString(nc, text)
		_ = nc.Close()
	}
}

func respondStatus(code int, header ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		for i := 0; i < len(header); i += 2 {
			w.Header().Set(header[i], header[i+1])
		}
		w.WriteHeader(code)
	}
}

func respondBody(s string, header ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("ETag", `"7"`)
		for i := 0; i < len(header); i += 2 {
			w.Header().Set(header[i], header[i+1])
		}
		w.Write([]byte(s))
	}
}

var (
	singlePut = []store.Op{{Key: "a/b", Value: []byte("x")}}
	twoOps    = []store.Op{{Key: "a/b", Value: []byte("x")}, {Key: "lease/steer", IfVersion: 3, CheckOnly: true}}
)

// Guards against reporting a definite outcome for a write whose outcome is unknown, and against sending a write
// twice. The first misleads protocols that read back only after StoreUnknown. The second makes a conditional write
// fail because of its own first copy.
func TestWriteErrors(t *testing.T) {
	tests := []struct {
		name    string
		handler http.HandlerFunc
		want    kinds.Kind
		ops     []store.Op // nil runs the case with both singlePut and twoOps
	}{
		{"unavailable, marked not written", respondStatus(503, "Not-Written", "true"), kinds.StoreDown, nil},
		{"unavailable, other header value", respondStatus(503, "Not-Written", "maybe"), kinds.StoreUnknown, nil},
		{"server error", respondStatus(500), kinds.StoreUnknown, nil},
		{"condition failed", respondStatus(412), kinds.Conflict, nil},
		{"malformed", respondStatus(400), kinds.BadRequest, nil},
		{"no such route", respondStatus(404), kinds.BadRequest, nil},
		{"redirect", respondStatus(307, "Location", "/elsewhere"), kinds.StoreUnknown, nil},
		{"connection lost", abortConnection, kinds.StoreUnknown, nil},
		{"truncated response", respondBody("x", "Content-Length", "100"), kinds.StoreUnknown, nil},
		{"response too large", respondBody(strings.Repeat("x", 1001)), kinds.StoreUnknown, nil},
		{"malformed ETag", respondBody("", "ETag", "x"), kinds.StoreUnknown, singlePut},
		{"not JSON", respondBody("{"), kinds.StoreUnknown, twoOps},
		{"too few versions", respondBody(`{"versions":[1]}`), kinds.StoreUnknown, twoOps},
		{"invalid status, marked not written", respondRaw("HTTP/1.1 000 x\r\nNot-Written: true\r\nContent-Length: 0\r\n\r\n"), kinds.StoreUnknown, nil},
		{"blank in a field name", respondRaw("HTTP/1.1 200 OK\r\nETag: \"7\"\r\nA B: c\r\nContent-Length: 18\r\n\r\n{\"versions\":[1,3]}"), kinds.StoreUnknown, nil},
		{"blank in a field name, marked not written", respondRaw("HTTP/1.1 503 x\r\nNot-Written: true\r\nA B: c\r\nContent-Length: 0\r\n\r\n"), kinds.StoreUnknown, nil},
		{"header that ends early", respondRaw("HTTP/1.1 200 OK\r\nETag: \"7\"\r\n\nContent-Length: 18\r\n\r\n{\"versions\":[1,3]}"), kinds.StoreUnknown, nil},
		{"no length", respondRaw("HTTP/1.1 200 OK\r\nETag: \"7\"\r\n\r\n{\"versions\":[1,3]}"), kinds.StoreUnknown, nil},
		{"written", respondBody(""), kinds.Answered, singlePut},
		{"all written", respondBody(`{"versions":[1,3]}`), kinds.Answered, twoOps},
	}
	for _, tt := range tests {
		for _, ops := range [][]store.Op{singlePut, twoOps} {
			if tt.ops != nil && len(tt.ops) != len(ops) {
				continue
			}
			c, calls := newTestClient(t, tt.handler)
			if _, err := c.Txn(t.Context(), ops); kinds.Of(err) != tt.want {
				t.Errorf("%s, %d ops: %v, want %v", tt.name, len(ops), err, tt.want)
			}
			if n := calls.Load(); n != 1 {
				t.Errorf("%s, %d ops: sent %d times", tt.name, len(ops), n)
			}
		}
	}
}

// Guards against a write that is lost on a reused connection and then retried by net/http or reported with a definite
// outcome.
func TestWriteOnReusedConnection(t *testing.T) {
	var abortNext atomic.Bool
	c, calls := newTestClient(t, func(w http.ResponseWriter, r *http.Request) {
		if abortNext.Load() {
			abortConnection(w, r)
		}
		respondBody("")(w, r)
	})
	if _, err := c.Txn(t.Context(), singlePut); err != nil {
		t.Fatal(err)
	}
	abortNext.Store(true)
	if _, err := c.Txn(t.Context(), singlePut); kinds.Of(err) != kinds.StoreUnknown || calls.Load() != 2 {
		t.Errorf("err = %v after %d calls, want store-unknown after 2", err, calls.Load())
	}
}

// Guards against confusing a call cancelled before it was sent with one cancelled afterwards.
func TestCancelledCall(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	c, _ := newTestClient(t, func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body) // the server detects a closed connection only after reading the body
		cancel()
		<-r.Context().Done()
	})
	if _, err := c.Txn(ctx, twoOps); kinds.Of(err) != kinds.StoreUnknown {
		t.Errorf("cancelled after sending: %v", err)
	}
	if _, err := c.Txn(ctx, twoOps); kinds.Of(err) != kinds.StoreDown {
		t.Errorf("cancelled before sending: %v", err)
	}
	if _, err := c.Get(ctx, "k"); kinds.Of(err) != kinds.StoreDown {
		t.Errorf("cancelled read: %v", err)
	}
}

// Guards against a call without a timeout to an unresponsive platform, and against a refused connection reported as
// StoreUnknown, which would force a needless read-back.
func TestNoResponse(t *testing.T) {
	unblock := make(chan struct{})
	srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-unblock }))
	c := store.New(srv.URL, store.WithTimeout(20e6))
	if _, err := c.Txn(t.Context(), []store.Op{{Key: "k", Delete: true}}); kinds.Of(err) != kinds.StoreUnknown {
		t.Errorf("no response: %v", err)
	}
	close(unblock)
	srv.Close()
	if _, err := c.Txn(t.Context(), singlePut); kinds.Of(err) != kinds.StoreDown {
		t.Errorf("connection refused: %v", err)
	}
}

// Guards against reporting an outage as a missing row or object, and the reverse.
func TestReads(t *testing.T) {
	tests := []struct {
		name        string
		handler     http.HandlerFunc
		row, object kinds.Kind
		list        kinds.Kind
	}{
		{"missing", respondStatus(404), kinds.Answered, kinds.NotFound, kinds.Internal},
		{"down", respondStatus(503, "Not-Written", "true"), kinds.StoreDown, kinds.StoreDown, kinds.StoreDown},
		{"server error", respondStatus(500), kinds.StoreDown, kinds.StoreDown, kinds.StoreDown},
		{"truncated", respondBody("x", "Content-Length", "100"), kinds.StoreDown, kinds.StoreDown, kinds.StoreDown},
		{"too large", respondBody(strings.Repeat("x", 1001)), kinds.Internal, kinds.Internal, kinds.Internal},
		{"malformed", respondBody("{", "ETag", `"x"`), kinds.Internal, kinds.Answered, kinds.Internal},
		{"header that ends early", respondRaw("HTTP/1.1 200 OK\r\nETag: \"7\"\r\n\nContent-Length: 2\r\n\r\n{}"), kinds.StoreDown, kinds.StoreDown, kinds.StoreDown},
		{"no length", respondRaw("HTTP/1.1 200 OK\r\nETag: \"7\"\r\n\r\n{}"), kinds.StoreDown, kinds.StoreDown, kinds.StoreDown},
		{"found", respondBody("{}"), kinds.Answered, kinds.Answered, kinds.Answered},
	}
	for _, tt := range tests {
		c, _ := newTestClient(t, tt.handler)
		row, err := c.Get(t.Context(), "k")
		if kinds.Of(err) != tt.row || (row.Version != 0) != (tt.name == "found") {
			t.Errorf("%s: Get = %+v, %v", tt.name, row, err)
		}
		if _, err := c.GetObject(t.Context(), "o"); kinds.Of(err) != tt.object {
			t.Errorf("%s: GetObject: %v", tt.name, err)
		}
		if _, err := c.List(t.Context(), "p", "", 9); kinds.Of(err) != tt.list {
			t.Errorf("%s: List: %v", tt.name, err)
		}
		if _, err := c.VMs(t.Context()); kinds.Of(err) != tt.list {
			t.Errorf("%s: VMs: %v", tt.name, err)
		}
	}
}

// Guards against a write whose success is reported although a store that does not know HeaderIfEra applied it in another
// era, and against a store without eras whose versions change.
func TestEraOfAnotherStore(t *testing.T) {
	for _, tt := range []struct {
		era  string
		ops  []store.Op
		want kinds.Kind
		got  ident.Version
	}{
		{"", []store.Op{{Key: "a", IfVersion: 6}}, kinds.Answered, 7},
		{"1", []store.Op{{Key: "a", IfVersion: 6}}, kinds.Answered, 7},
		{"2", []store.Op{{Key: "a", IfVersion: 6}}, kinds.StoreUnknown, 0},
		{"2", []store.Op{{Key: "a", IfVersion: 6}, {Key: "b"}}, kinds.StoreUnknown, 0},
		{"2", []store.Op{{Key: "a"}}, kinds.Answered, ident.NewVersion(2, 7)},
		{"2", []store.Op{{Key: "a"}, {Key: "b"}}, kinds.Answered, ident.NewVersion(2, 7)},
		{"x", []store.Op{{Key: "a"}}, kinds.StoreUnknown, 0},
	} {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if tt.era != "" {
				w.Header().Set(store.HeaderEra, tt.era)
			}
			w.Header().Set("ETag", `"7"`)
			if r.Method == http.MethodPost {
				io.WriteString(w, `{"versions":[7,1]}`)
			}
		}))
		versions, err := store.New(srv.URL).Txn(t.Context(), tt.ops)
		srv.Close()
		if kinds.Of(err) != tt.want || err == nil && versions[0] != tt.got {
			t.Errorf("era %q, %+v: %v, %v", tt.era, tt.ops, versions, err)
		}
	}
}
