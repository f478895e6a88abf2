package carry

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"
)

// A request arrives while the process stops. Guards against sending one that cannot be complete before the exit, and
// against a target that works on beyond it.
func TestRequestsDuringStop(t *testing.T) {
	now := time.Now() // the contexts of requests end by the system's clock
	for _, tt := range []struct {
		name     string
		left     time.Duration
		fits     bool
		deadline time.Duration
	}{
		{"time for all of it", 40 * time.Second, true, 20 * time.Second},
		{"time for most requests", 18 * time.Second, true, 18 * time.Second},
		{"too little time", 8 * time.Second, false, 8 * time.Second},
		{"no time", -time.Second, false, -time.Second},
	} {
		target := newFakeTarget(t, respondOK)
		c := newForwarderFor(t, false, 20*time.Second, target)
		c.clock = func() time.Time { return now }
		c.Snapshot().Config.Routes[0].LatencyTarget = 6 * time.Second
		c.StopBy(now.Add(tt.left))
		k := &call{Forwarder: c, route: &c.Snapshot().Config.Routes[0], deadline: c.limitToStop(now.Add(20 * time.Second))}
		if got := k.fitsBeforeStop(now); got != tt.fits || k.deadline.Sub(now) != tt.deadline {
			t.Errorf("%s: %v with deadline after %v, want %v after %v", tt.name, got, k.deadline.Sub(now), tt.fits, tt.deadline)
		}
		status, sends := http.StatusOK, int64(1)
		if !tt.fits {
			status, sends = http.StatusServiceUnavailable, 0
		}
		a := c.Handle(context.Background(), newRequest(t, "Id: 1\r\n"), now)
		if a.Status != status || target.requests.Load() != sends {
			t.Errorf("%s: status %d after %d sends, want %d after %d", tt.name, a.Status, target.requests.Load(), status, sends)
		}
	}
}

// The process exits while requests are in progress. Guards against a caller without a response, against a promise of "not
// run" for a request that was sent, and against sending one afterwards.
func TestExitGivesUpRequests(t *testing.T) {
	entered := make(chan struct{}, 1)
	target := newFakeTarget(t, func(nc net.Conn, _ int, _ *http.Request) bool {
		entered <- struct{}{}
		_, _ = nc.Read(make([]byte, 1)) // waits for the end of the connection
		return false
	})
	for _, idempotent := range []bool{true, false} {
		c := newForwarderFor(t, idempotent, 30*time.Second, target)
		ctx, cancel := context.WithCancelCause(context.Background())
		statuses := make(chan int)
		go func() { statuses <- c.Handle(ctx, newRequest(t, "Id: 1\r\n"), time.Now()).Status }()
		<-entered
		before := target.requests.Load()
		cancel(ErrStopping)
		if status := <-statuses; status != http.StatusBadGateway {
			t.Errorf("idempotent %v: status %d of a request that was sent, want 502", idempotent, status)
		}
		if status := c.Handle(ctx, newRequest(t, "Id: 2\r\n"), time.Now()).Status; status != http.StatusServiceUnavailable {
			t.Errorf("idempotent %v: status %d of a request that was not sent, want 503", idempotent, status)
		}
		if n := target.requests.Load() - before; n != 0 {
			t.Errorf("idempotent %v: %d requests were sent after the stop", idempotent, n)
		}
	}
}
