package carry

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/currantpier/currantpier/fleet"
)

// Guards against the traffic of a warm target to one that has just started again under its id: the registry still has the entry of
// the process that has ended. Connections were refused in between, so that the VM could know.
func TestRestartedTargetIsNotTakenForWarm(t *testing.T) {
	const (
		warmupRate = 4.0
		// allowed is what a cold target endures in a second: the rate with the overshoot and the slack of the deployments.
		allowed = int64(warmupRate*1.5 + 5)
		step    = 25 * time.Millisecond
	)
	// No other test listens on this address, so that the port is free for the restart.
	ln, err := net.Listen("tcp", "127.0.77.1:0")
	if err != nil {
		t.Fatal(err)
	}
	target := serveTarget(t, ln, respondOK)
	c := newForwarderFor(t, true, time.Second, target)
	c.Snapshot().Config.Services["s"] = fleet.Service{Name: "s", HealthPath: "/health", Warmup: 3 * time.Second, WarmupRate: warmupRate}
	var elapsed atomic.Int64
	start := time.Now()
	c.clock = func() time.Time { return start.Add(time.Duration(elapsed.Load())) }
	send := func(d time.Duration) {
		for end := elapsed.Load() + int64(d); elapsed.Load() < end; elapsed.Add(int64(step)) {
			c.Handle(context.Background(), newRequest(t, fmt.Sprintf("Id: %d\r\n", elapsed.Load())), c.clock())
		}
	}
	_ = ln.Close()
	send(1200 * time.Millisecond)
	ln, err = net.Listen("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	restarted := serveTarget(t, ln, respondOK)
	send(time.Second)
	if n := restarted.requests.Load(); n > allowed {
		t.Errorf("the target that started again got %d requests in its first second, %d are allowed", n, allowed)
	}
}

// Guards against a target whose end is not reported, so that it counts as warm when it starts again, and against reports of other failures,
// each of which would lead to a health request: a late response, a broken one, a caller that leaves.
func TestConnectionFailureIsReported(t *testing.T) {
	closes := func(net.Conn, int, *http.Request) bool { return false }
	silent := func(nc net.Conn, _ int, _ *http.Request) bool {
		_, _ = nc.Read(make([]byte, 1))
		return false
	}
	for _, tt := range []struct {
		name   string
		target connScript
		// listens is false for a target whose process has ended, leaves is set if the caller leaves during the request.
		listens, leaves bool
		want            []bool
	}{
		{"refused", respondOK, false, false, []bool{true}},
		{"ended", closes, true, false, []bool{false}},
		{"part of a response", func(nc net.Conn, _ int, _ *http.Request) bool {
			_, _ = nc.Write([]byte("HTTP/1.1 200"))
			return false
		}, true, false, nil},
		{"late", silent, true, false, nil},
		{"caller leaves", silent, true, true, nil},
		{"served", respondOK, true, false, nil},
		{"malformed address", nil, true, false, nil},
	} {
		t.Run(tt.name, func(t *testing.T) {
			// No other test listens on this address, so that a closed port stays closed.
			ln, err := net.Listen("tcp", "127.0.77.2:0")
			if err != nil {
				t.Fatal(err)
			}
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			target := serveTarget(t, ln, func(nc net.Conn, n int, r *http.Request) bool {
				if tt.leaves {
					cancel()
				}
				return tt.target(nc, n, r)
			})
			c := newForwarderFor(t, false, 300*time.Millisecond, target)
			var got []bool
			c.OnConnectionFailure(func(failed fleet.Target, refused bool) {
				if failed.ID != "t0" {
					t.Errorf("target %s failed", failed.ID)
				}
				got = append(got, refused)
			})
			if !tt.listens {
				_ = ln.Close()
			}
			if s := c.Snapshot(); tt.target == nil {
				s.Targets["s"][0].Address = "without-port"
				c.Update(time.Now(), s)
			}
			c.Handle(ctx, newRequest(t, "Id: 1\r\n"), time.Now())
			if !slices.Equal(got, tt.want) {
				t.Errorf("reported %v, want %v", got, tt.want)
			}
		})
	}
}
