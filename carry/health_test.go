package carry

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/currantpier/currantpier/codec"
	"github.com/currantpier/currantpier/fleet"
)

// Guards against a cold target that is taken for a warm one, and against the answer of another process or to another request that
// is taken for the target's.
func TestAskWarmup(t *testing.T) {
	for _, tt := range []struct {
		name, response string
		want           time.Duration
		ok             bool
	}{
		{"warm", "HTTP/1.1 200 x\r\nTarget: t0\r\nContent-Length: 0\r\n\r\n", 0, true},
		{"cold", "HTTP/1.1 200 x\r\nTarget: t0\r\nWarm: 1500\r\nContent-Length: 0\r\n\r\n", 1500 * time.Millisecond, true},
		{"cold and failing", "HTTP/1.1 503 x\r\nTarget: t0\r\nWarm: 1500\r\nContent-Length: 0\r\n\r\n", 1500 * time.Millisecond, true},
		{"more than the service's warm-up", "HTTP/1.1 200 x\r\nTarget: t0\r\nWarm: 9000\r\nContent-Length: 0\r\n\r\n", 3 * time.Second, true},
		{"not a number", "HTTP/1.1 200 x\r\nTarget: t0\r\nWarm: NaN\r\nContent-Length: 0\r\n\r\n", 0, false},
		{"below zero", "HTTP/1.1 200 x\r\nTarget: t0\r\nWarm: -1\r\nContent-Length: 0\r\n\r\n", 0, false},
		{"beyond all bounds", "HTTP/1.1 200 x\r\nTarget: t0\r\nWarm: 1e300\r\nContent-Length: 0\r\n\r\n", 0, false},
		{"another target", "HTTP/1.1 200 x\r\nTarget: t1\r\nWarm: 1500\r\nContent-Length: 0\r\n\r\n", 0, false},
		{"answer to another request", "HTTP/1.1 200 x\r\nTarget: t0\r\nId: 7\r\nWarm: 1500\r\nContent-Length: 0\r\n\r\n", 0, false},
		{"invalid status", "HTTP/1.1 000 x\r\nTarget: t0\r\nContent-Length: 0\r\n\r\n", 0, false},
		{"blank in a field name", "HTTP/1.1 200 x\r\nTarget: t0\r\nWarm : 1500\r\nContent-Length: 0\r\n\r\n", 0, false},
		{"no answer", "", 0, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			paths := make(chan string, 1)
			target := newFakeTarget(t, func(nc net.Conn, _ int, r *http.Request) bool {
				paths <- r.Method + " " + r.URL.Path
				_, err := fmt.Fprint(nc, tt.response)
				return err == nil && tt.response != ""
			})
			c := newForwarderFor(t, true, time.Second, target)
			c.headers.Responder, c.headers.Warmup = "Target", "Warm"
			svc := fleet.Service{Name: "s", HealthPath: "/health", Warmup: 3 * time.Second}
			c.Snapshot().Config.Services["s"] = svc
			ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
			defer cancel()
			got, err := c.AskWarmup(ctx, c.Snapshot().Targets["s"][0])
			if got != tt.want && err == nil || (err == nil) != tt.ok {
				t.Errorf("%v, error %v; want %v, ok %v", got, err, tt.want, tt.ok)
			}
			if path := <-paths; path != "GET /health" {
				t.Errorf("request %q", path)
			}
		})
	}
}

// Guards against a health request to a target that has asked for a time without requests, also in its answer to the health request
// before.
func TestHealthRequestsRespectBackOff(t *testing.T) {
	target := newFakeTarget(t, func(nc net.Conn, _ int, _ *http.Request) bool {
		_, err := fmt.Fprint(nc, "HTTP/1.1 503 x\r\nTarget: t0\r\nRetry-After: 5\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	})
	c := newForwarderFor(t, true, time.Second, target)
	c.headers.Responder, c.headers.Warmup = "Target", "Warm"
	c.notices = func(*codec.Response) (Notice, error) { return Notice{BackOff: 5 * time.Second}, nil }
	c.Snapshot().Config.Services["s"] = fleet.Service{Name: "s", HealthPath: "/health", Warmup: time.Second}
	for i := range 3 {
		_, err := c.AskWarmup(context.Background(), c.Snapshot().Targets["s"][0])
		if i > 0 && !errors.Is(err, errTargetBackedOff) {
			t.Errorf("request %d: error %v, want that the target has asked for time", i, err)
		}
	}
	if n := target.requests.Load(); n != 1 {
		t.Errorf("the target got %d health requests, want 1", n)
	}
}
