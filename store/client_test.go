package store_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/currantpier/currantpier/kinds"
	"github.com/currantpier/currantpier/store"
)

// platform answers every call with h and counts the calls.
func platform(t *testing.T, h http.HandlerFunc) (*store.Client, *atomic.Int64) {
	var calls atomic.Int64
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		h(w, r)
	}))
	t.Cleanup(srv.Close)
	return store.New(srv.URL, store.WithLimits(1000, 1000), store.WithHTTPClient(srv.Client())), &calls
}

func abort(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func status(code int, header ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		for i := 0; i < len(header); i += 2 {
			w.Header().Set(header[i], header[i+1])
		}
		w.WriteHeader(code)
	}
}

func body(s string, header ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("ETag", `"7"`)
		for i := 0; i < len(header); i += 2 {
			w.Header().Set(header[i], header[i+1])
		}
		w.Write([]byte(s))
	}
}

var (
	onePut = []store.Op{{Key: "a/b", Value: []byte("x")}}
	twoOps = []store.Op{{Key: "a/b", Value: []byte("x")}, {Key: "lease/steer", IfVersion: 3, CheckOnly: true}}
)

// Guards against a write that is called certain while it may have happened, and against a write that is sent twice:
// the first breaks every protocol that reads back only when it must, the second runs a conditional write against itself.
func TestWriteErrors(t *testing.T) {
	tests := []struct {
		name   string
		answer http.HandlerFunc
		want   kinds.Kind
		ops    []store.Op // nil: both onePut and twoOps
	}{
		{"refused, said not written", status(503, "Not-Written", "true"), kinds.StoreDown, nil},
		{"not written, other value", status(503, "Not-Written", "maybe"), kinds.StoreUnknown, nil},
		{"server error", status(500), kinds.StoreUnknown, nil},
		{"condition failed", status(412), kinds.Conflict, nil},
		{"malformed", status(400), kinds.BadRequest, nil},
		{"no such route", status(404), kinds.BadRequest, nil},
		{"redirect", status(307, "Location", "/elsewhere"), kinds.StoreUnknown, nil},
		{"connection lost", abort, kinds.StoreUnknown, nil},
		{"answer cut", body("x", "Content-Length", "100"), kinds.StoreUnknown, nil},
		{"answer too large", body(strings.Repeat("x", 1001)), kinds.StoreUnknown, nil},
		{"no version", body("", "ETag", "x"), kinds.StoreUnknown, onePut},
		{"not JSON", body("{"), kinds.StoreUnknown, twoOps},
		{"versions missing", body(`{"versions":[1]}`), kinds.StoreUnknown, twoOps},
		{"written", body(""), kinds.Answered, onePut},
		{"all written", body(`{"versions":[1,3]}`), kinds.Answered, twoOps},
	}
	for _, tt := range tests {
		for _, ops := range [][]store.Op{onePut, twoOps} {
			if tt.ops != nil && len(tt.ops) != len(ops) {
				continue
			}
			c, calls := platform(t, tt.answer)
			if _, err := c.Txn(t.Context(), ops); kinds.Of(err) != tt.want {
				t.Errorf("%s, %d ops: %v, want %v", tt.name, len(ops), err, tt.want)
			}
			if n := calls.Load(); n != 1 {
				t.Errorf("%s, %d ops: sent %d times", tt.name, len(ops), n)
			}
		}
	}
}

// Guards against a lost write on a kept connection that net/http repeats or that is called certain.
func TestWriteOnKeptConnection(t *testing.T) {
	var fail atomic.Bool
	c, calls := platform(t, func(w http.ResponseWriter, r *http.Request) {
		if fail.Load() {
			abort(w, r)
		}
		body("")(w, r)
	})
	if _, err := c.Txn(t.Context(), onePut); err != nil {
		t.Fatal(err)
	}
	fail.Store(true)
	if _, err := c.Txn(t.Context(), onePut); kinds.Of(err) != kinds.StoreUnknown || calls.Load() != 2 {
		t.Errorf("err = %v after %d calls, want store-unknown after 2", err, calls.Load())
	}
}

// Guards against mixing up a call that was given up before and after it was sent.
func TestGivenUp(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	c, _ := platform(t, func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body) // the server notices that the client has gone only after the body
		cancel()
		<-r.Context().Done()
	})
	if _, err := c.Txn(ctx, twoOps); kinds.Of(err) != kinds.StoreUnknown {
		t.Errorf("given up after it was sent: %v", err)
	}
	if _, err := c.Txn(ctx, twoOps); kinds.Of(err) != kinds.StoreDown {
		t.Errorf("given up before it was sent: %v", err)
	}
	if _, err := c.Get(ctx, "k"); kinds.Of(err) != kinds.StoreDown {
		t.Errorf("read given up: %v", err)
	}
}

// Guards against a call that hangs with a silent platform, and against a refused connection that needs a read-back.
func TestNoAnswer(t *testing.T) {
	free := make(chan struct{})
	srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-free }))
	c := store.New(srv.URL, store.WithTimeout(20e6))
	if _, err := c.Txn(t.Context(), []store.Op{{Key: "k", Delete: true}}); kinds.Of(err) != kinds.StoreUnknown {
		t.Errorf("silent: %v", err)
	}
	close(free)
	srv.Close()
	if _, err := c.Txn(t.Context(), onePut); kinds.Of(err) != kinds.StoreDown {
		t.Errorf("refused: %v", err)
	}
}

// Guards against reads that report an outage as an absent row, or the other way round.
func TestReads(t *testing.T) {
	tests := []struct {
		name        string
		answer      http.HandlerFunc
		row, object kinds.Kind
		list        kinds.Kind
	}{
		{"absent", status(404), kinds.Answered, kinds.NotFound, kinds.Internal},
		{"down", status(503, "Not-Written", "true"), kinds.StoreDown, kinds.StoreDown, kinds.StoreDown},
		{"server error", status(500), kinds.StoreDown, kinds.StoreDown, kinds.StoreDown},
		{"cut", body("x", "Content-Length", "100"), kinds.StoreDown, kinds.StoreDown, kinds.StoreDown},
		{"too large", body(strings.Repeat("x", 1001)), kinds.Internal, kinds.Internal, kinds.Internal},
		{"malformed", body("{", "ETag", `"x"`), kinds.Internal, kinds.Answered, kinds.Internal},
		{"found", body("{}"), kinds.Answered, kinds.Answered, kinds.Answered},
	}
	for _, tt := range tests {
		c, _ := platform(t, tt.answer)
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
