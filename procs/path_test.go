package procs

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/currantpier/currantpier/cmds"
	"github.com/currantpier/currantpier/front"
	"github.com/currantpier/currantpier/ident"
)

func deskTargets() []target {
	return []target{
		{"desk-1", "desk", places[0], 4, 5 * time.Millisecond},
		{"desk-2", "desk", places[1], 4, 5 * time.Millisecond},
		{"desk-3", "desk", places[2], 4, 5 * time.Millisecond},
	}
}

// Guards the whole path: lists, lookup, requests, orders and their retries, refusals, and the drain of a target.
func TestWholePath(t *testing.T) {
	t.Parallel()
	tc := startCluster(t, 3, 2, deskTargets()...)
	first, second := tc.vms[0], tc.vms[1]

	l, err := tc.lookup(first)
	if err != nil || len(l.Entries) != 3 || l.Entries[0].Region != places[0].Region {
		t.Fatalf("lookup = %+v, %v; want 3 entries, those of %s first", l, err, places[0].Region)
	}

	a := tc.mustRequest(first, callerRequest{kind: "idempotent", path: "/preview/9?size=2"}, "answered")
	if !strings.Contains(a.body, "/preview/9") {
		t.Errorf("body = %s, want the path of the request", a.body)
	}

	id := tc.ticket(first, ident.Journalled) + ".cut-1"
	a = tc.mustRequest(first, callerRequest{kind: "order", id: id}, "answered")
	b := tc.mustRequest(second, callerRequest{kind: "order", id: id}, "answered")
	if a.body != b.body || a.status != b.status {
		t.Errorf("the retry through another entry got %+v, want %+v", b, a)
	}
	if n := tc.executions(id); n != 1 {
		t.Errorf("the order was executed %d times", n)
	}

	refusals := []struct {
		call    callerRequest
		outcome string
		status  int
	}{
		{callerRequest{customer: "nobody", kind: "idempotent"}, "unknown-customer", 401},
		{callerRequest{customer: "look-1", kind: "order", id: id + "-b"}, "not-in-plan", 403},
		{callerRequest{kind: "order", id: "no-ticket"}, "bad-request", 400},
		{callerRequest{kind: "sometimes"}, "bad-request", 400},
		{callerRequest{kind: "idempotent", deadline: time.Millisecond}, "deadline-too-short", 503},
	}
	for _, r := range refusals {
		a := tc.mustRequest(first, r.call, r.outcome)
		if a.status != r.status || !strings.Contains(a.body, `"ran":"no"`) {
			t.Errorf("%+v: answer %+v, want status %d and ran no", r.call, a, r.status)
		}
	}

	// R4: a request that was executed must not be reported as not run, and a refused one must not run later.
	tc.mustRequest(first, callerRequest{customer: "look-1", kind: "order", id: id}, "outcome-unknown")
	tc.mustRequest(first, callerRequest{kind: "order", id: id + "-b"}, "stale-ticket")
	if n := tc.executions(id + "-b"); n != 0 {
		t.Errorf("the refused order was executed %d times", n)
	}

	out, code := runCommand(t, "drain", "--steer", first.Steer, "target", "desk-1")
	if code != cmds.ExitOK || !strings.Contains(out, "accepted") {
		t.Fatalf("drain: exit %d, %s", code, out)
	}
	sinceDrained := 0
	tc.waitUntil("desk-1 gets no new work", func() bool {
		if tc.targetName(tc.mustRequest(first, callerRequest{kind: "idempotent"}, "answered")) == "desk-1" {
			sinceDrained = 0
		} else {
			sinceDrained++
		}
		return sinceDrained >= 30
	})
	out, code = runCommand(t, "status", "--steer", second.Steer)
	if code != cmds.ExitOK || !strings.Contains(out, "drain: target desk-1") {
		t.Errorf("status: exit %d, %s", code, out)
	}
}

// Guards R7: a planned stop under load interrupts no request of callers that follow the lookup responses.
func TestPlannedStopInterruptsNoRequest(t *testing.T) {
	t.Parallel()
	tc := startCluster(t, 3, 2, deskTargets()...)
	stopping := tc.vms[0]
	var sent, failed atomic.Int64
	var firstError atomic.Value
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for worker := range 6 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c := newCaller(tc, worker)
			for {
				select {
				case <-stop:
					return
				default:
				}
				sent.Add(1)
				if err := c.sendNext(); err != nil {
					failed.Add(1)
					firstError.CompareAndSwap(nil, err.Error())
				}
			}
		}()
	}
	tc.waitUntil("requests were sent", func() bool { return sent.Load() > 200 })
	stopping.entry.signal(syscall.SIGTERM)
	err := stopping.entry.waitExit()
	after := sent.Load()
	tc.waitUntil("requests continue", func() bool { return sent.Load() > after+200 })
	close(stop)
	wg.Wait()
	if err != nil {
		t.Errorf("the stopped entry exited with %v", err)
	}
	if n := failed.Load(); n > 0 {
		t.Errorf("%d of %d requests failed; first error: %v", n, sent.Load(), firstError.Load())
	}
}

// caller sends requests as a client of the platform does: it caches a lookup response for its time to live.
type caller struct {
	tc        *testCluster
	worker    int
	requests  int
	vm        vm
	ticket    string
	expiresAt time.Time
}

func newCaller(tc *testCluster, worker int) *caller { return &caller{tc: tc, worker: worker} }

// sendNext sends one request and checks its outcome. Every tenth request is an order.
func (c *caller) sendNext() error {
	if time.Now().After(c.expiresAt) {
		if err := c.refreshLookup(); err != nil {
			return err
		}
	}
	c.requests++
	req := callerRequest{kind: "idempotent"}
	if c.requests%10 == 0 && c.ticket != "" {
		req = callerRequest{kind: "order", id: fmt.Sprintf("%s.w%d-%d", c.ticket, c.worker, c.requests)}
	}
	a, err := c.tc.request(c.vm, req)
	switch {
	case err != nil:
		return err
	case a.outcome == "stale-ticket":
		// The order was refused without being executed. The next order uses the new ticket of the response.
		c.ticket = a.ticket
	case a.outcome != "answered":
		return fmt.Errorf("%s: %s %s: %d %s", c.vm.VM, req.kind, a.outcome, a.status, a.body)
	}
	if req.id != "" && a.outcome == "answered" && c.tc.executions(req.id) != 1 {
		return fmt.Errorf("order %s was executed %d times", req.id, c.tc.executions(req.id))
	}
	return nil
}

// refreshLookup asks the VMs in turn for a lookup and selects one of the entries in the response by worker number.
func (c *caller) refreshLookup() error {
	for _, v := range c.tc.vms {
		a, err := c.tc.lookup(v)
		if err != nil || len(a.Entries) == 0 {
			continue
		}
		name := a.Entries[c.worker%len(a.Entries)].VM
		for _, v := range c.tc.vms {
			if v.VM == name {
				c.vm = v
			}
		}
		// The ticket comes from the VM that gets the order, so that the order is not forwarded to its owner.
		if own, err := c.tc.lookup(c.vm); err == nil {
			c.ticket = own.Ticket
		}
		c.expiresAt = time.Now().Add(time.Duration(a.TTLMs) * time.Millisecond)
		return nil
	}
	return errors.New("no VM responds to a lookup")
}

// Guards R3: under concurrency each response belongs to its request, and a truncated response is never passed on.
func TestResponsesMatchRequests(t *testing.T) {
	t.Parallel()
	tc := startCluster(t, 1, 1, deskTargets()...)
	for _, addr := range tc.targetAddresses {
		tc.setFaults(addr, `{"truncate": 3}`)
	}
	var wg sync.WaitGroup
	for i := range 40 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			path := fmt.Sprintf("/check/%d", i)
			a, err := tc.request(tc.vms[0], callerRequest{kind: "idempotent", path: path})
			if err != nil {
				t.Errorf("%s: %v", path, err)
				return
			}
			if a.outcome == "answered" && !strings.Contains(a.body, `"path":"`+path+`"`) {
				t.Errorf("%s got the response body %s", path, a.body)
			}
			if a.outcome != "answered" && a.outcome != "upstream-failed" {
				t.Errorf("%s: outcome %s", path, a.outcome)
			}
		}()
	}
	wg.Wait()
}

// Guards against a running daemon that does not serve its dump or its metrics.
func TestDumpAndMetrics(t *testing.T) {
	t.Parallel()
	tc := startCluster(t, 1, 1, deskTargets()...)
	v := tc.vms[0]
	for _, addr := range []string{v.Control, v.Steer} {
		if out, code := runCommand(t, "dump", "--control", addr); code != cmds.ExitOK || !strings.Contains(out, `"members"`) {
			t.Errorf("dump: exit %d, %s", code, out)
		}
		if out, code := runCommand(t, "dump", "--control", addr, "no-service"); code != cmds.ExitUsage {
			t.Errorf("dump of an unknown service: exit %d, %s", code, out)
		}
	}
	for _, name := range []string{"requests-admitted", "plan-age-ms", "slots-granted", "orders-unknown"} {
		tc.waitUntil("the metrics page has "+name, func() bool {
			resp, err := controlClient.Get("http://" + v.Control + "/metrics")
			if err != nil {
				return false
			}
			defer resp.Body.Close()
			body, err := io.ReadAll(resp.Body)
			return err == nil && strings.Contains(string(body), name)
		})
	}
	v.entry.signal(syscall.SIGUSR1)
	tc.waitUntil("the signal writes a dump", func() bool { return strings.Contains(v.entry.log.String(), `"scheduler"`) })
	resp, err := http.Get("http://" + v.Callers + "/nothing")
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if got := resp.Header.Get(front.HeaderOutcome); got != "not-found" {
		t.Errorf("unknown path: outcome %q", got)
	}
}
