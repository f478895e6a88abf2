package carry

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// runs records which targets have run each request.
type runs struct {
	mu      sync.Mutex
	targets map[string][]int
}

func (r *runs) add(id string, target int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !slices.Contains(r.targets[id], target) {
		r.targets[id] = append(r.targets[id], target)
	}
}

// Targets run requests and lose some of the answers by closing the connection, new or kept. Guards against a request that runs on more targets than
// its route's MaxAttempts: an attempt on a kept connection that ended without an answer didn't count.
func TestLostAnswersRespectMaxAttempts(t *testing.T) {
	const clients, requests, lostEach = 16, 25, 4
	for _, maxAttempts := range []int{1, 2} {
		t.Run(fmt.Sprint(maxAttempts), func(t *testing.T) {
			r := &runs{targets: map[string][]int{}}
			var targets []*fakeTarget
			for i := range 4 {
				var received atomic.Int64
				targets = append(targets, newFakeTarget(t, func(nc net.Conn, n int, req *http.Request) bool {
					r.add(req.Header.Get("Id"), i)
					return received.Add(1)%lostEach != 0 && respondOK(nc, n, req)
				}))
			}
			c := newForwarderFor(t, true, 5*time.Second, targets...)
			c.Snapshot().Config.Routes[0].MaxAttempts = maxAttempts
			var wg sync.WaitGroup
			for client := range clients {
				wg.Add(1)
				go func() {
					defer wg.Done()
					for n := range requests {
						c.Handle(context.Background(), newRequest(t, fmt.Sprintf("Id: %d-%d\r\n", client, n)), time.Now())
					}
				}()
			}
			wg.Wait()
			// A target's goroutine may still be ending its connection.
			r.mu.Lock()
			defer r.mu.Unlock()
			for id, on := range r.targets {
				if len(on) > maxAttempts {
					t.Errorf("request %s ran on the targets %v, want %d at most", id, on, maxAttempts)
				}
			}
			if len(r.targets) != clients*requests {
				t.Errorf("%d requests ran, want %d", len(r.targets), clients*requests)
			}
		})
	}
}
