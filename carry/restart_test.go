package carry

import (
	"context"
	"fmt"
	"net"
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
