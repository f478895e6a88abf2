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

// Guards the whole path: lists, lookup, requests, orders and their repetition, refusals, the drain of a target.
func TestWholePath(t *testing.T) {
	t.Parallel()
	s := newSystem(t, 3, 2, deskTargets()...)
	first, second := s.vms[0], s.vms[1]

	l, err := s.lookup(first)
	if err != nil || len(l.Entries) != 3 || l.Entries[0].Region != places[0].Region {
		t.Fatalf("lookup = %+v, %v; want 3 entries, those of %s first", l, err, places[0].Region)
	}

	a := s.must(first, call{kind: "idempotent", path: "/preview/9?size=2"}, "answered")
	if !strings.Contains(a.body, "/preview/9") {
		t.Errorf("body = %s, want the path of the request", a.body)
	}

	id := s.ticket(first, ident.Journalled) + ".cut-1"
	a = s.must(first, call{kind: "order", id: id}, "answered")
	b := s.must(second, call{kind: "order", id: id}, "answered")
	if a.body != b.body || a.status != b.status {
		t.Errorf("the repetition through another entry got %+v, want %+v", b, a)
	}
	if n := s.executions(id); n != 1 {
		t.Errorf("the order ran %d times", n)
	}

	refusals := []struct {
		call    call
		outcome string
		status  int
	}{
		{call{customer: "nobody", kind: "idempotent"}, "unknown-customer", 401},
		{call{customer: "look-1", kind: "order", id: id + "-b"}, "not-in-plan", 403},
		{call{kind: "order", id: "no-ticket"}, "bad-request", 400},
		{call{kind: "sometimes"}, "bad-request", 400},
		{call{kind: "idempotent", deadline: time.Millisecond}, "deadline-too-short", 503},
	}
	for _, r := range refusals {
		a := s.must(first, r.call, r.outcome)
		if a.status != r.status || !strings.Contains(a.body, `"ran":"no"`) {
			t.Errorf("%+v: answer %+v, want status %d and ran no", r.call, a, r.status)
		}
	}

	// R4: "not run" must not be said for an id that ran, and a refused id must not run later.
	s.must(first, call{customer: "look-1", kind: "order", id: id}, "outcome-unknown")
	s.must(first, call{kind: "order", id: id + "-b"}, "stale-ticket")
	if n := s.executions(id + "-b"); n != 0 {
		t.Errorf("the refused order ran %d times", n)
	}

	out, code := run(t, "drain", "--steer", first.Steer, "target", "desk-1")
	if code != cmds.ExitOK || !strings.Contains(out, "accepted") {
		t.Fatalf("drain: exit %d, %s", code, out)
	}
	quiet := 0
	s.await("desk-1 gets no new work", func() bool {
		if s.targetOf(s.must(first, call{kind: "idempotent"}, "answered")) == "desk-1" {
			quiet = 0
		} else {
			quiet++
		}
		return quiet >= 30
	})
	out, code = run(t, "status", "--steer", second.Steer)
	if code != cmds.ExitOK || !strings.Contains(out, "drain: target desk-1") {
		t.Errorf("status: exit %d, %s", code, out)
	}
}

// Guards R7: a planned stop under load cuts no request of callers that follow the lookup answers.
func TestPlannedStopCutsNothing(t *testing.T) {
	t.Parallel()
	s := newSystem(t, 3, 2, deskTargets()...)
	stopping := s.vms[0]
	var sent, failed atomic.Int64
	var firstFault atomic.Value
	end := make(chan struct{})
	var wg sync.WaitGroup
	for worker := range 6 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c := newCaller(s, worker)
			for {
				select {
				case <-end:
					return
				default:
				}
				sent.Add(1)
				if err := c.once(); err != nil {
					failed.Add(1)
					firstFault.CompareAndSwap(nil, err.Error())
				}
			}
		}()
	}
	s.await("requests were sent", func() bool { return sent.Load() > 200 })
	stopping.entry.signal(syscall.SIGTERM)
	err := stopping.entry.exit()
	after := sent.Load()
	s.await("requests go on", func() bool { return sent.Load() > after+200 })
	close(end)
	wg.Wait()
	if err != nil {
		t.Errorf("the stopped entry ended with %v", err)
	}
	if n := failed.Load(); n > 0 {
		t.Errorf("%d of %d requests failed; the first: %v", n, sent.Load(), firstFault.Load())
	}
}

// caller follows lookup answers as clients of the platform do: it caches one for its time to live.
type caller struct {
	s      *system
	worker int
	n      int
	vm     vm
	ticket string
	until  time.Time
}

func newCaller(s *system, worker int) *caller { return &caller{s: s, worker: worker} }

// once sends one request. Every tenth is an order.
func (c *caller) once() error {
	if time.Now().After(c.until) {
		if err := c.look(); err != nil {
			return err
		}
	}
	c.n++
	req := call{kind: "idempotent"}
	if c.n%10 == 0 && c.ticket != "" {
		req = call{kind: "order", id: fmt.Sprintf("%s.w%d-%d", c.ticket, c.worker, c.n)}
	}
	a, err := c.s.request(c.vm, req)
	switch {
	case err != nil:
		return err
	case a.outcome == "stale-ticket":
		// Not run, and the answer has a new ticket: the next order uses it.
		c.ticket = a.ticket
	case a.outcome != "answered":
		return fmt.Errorf("%s: %s %s: %d %s", c.vm.VM, req.kind, a.outcome, a.status, a.body)
	}
	if req.id != "" && a.outcome == "answered" && c.s.executions(req.id) != 1 {
		return fmt.Errorf("order %s ran %d times", req.id, c.s.executions(req.id))
	}
	return nil
}

// look asks the VMs in turn and spreads the callers over the entries of the answer.
func (c *caller) look() error {
	for _, v := range c.s.vms {
		a, err := c.s.lookup(v)
		if err != nil || len(a.Entries) == 0 {
			continue
		}
		name := a.Entries[c.worker%len(a.Entries)].VM
		for _, v := range c.s.vms {
			if v.VM == name {
				c.vm = v
			}
		}
		// The ticket must be that of the VM which is used, so that the order needs no hop.
		if own, err := c.s.lookup(c.vm); err == nil {
			c.ticket = own.Ticket
		}
		c.until = time.Now().Add(time.Duration(a.TTLMs) * time.Millisecond)
		return nil
	}
	return errors.New("no VM answers a lookup")
}

// Guards R3: answers go to their own requests under concurrency, and a truncated answer is never passed on.
func TestAnswersAreWholeAndOwn(t *testing.T) {
	t.Parallel()
	s := newSystem(t, 1, 1, deskTargets()...)
	for _, addr := range s.targets {
		s.fault(addr, `{"truncate": 3}`)
	}
	var wg sync.WaitGroup
	for i := range 40 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			path := fmt.Sprintf("/check/%d", i)
			a, err := s.request(s.vms[0], call{kind: "idempotent", path: path})
			if err != nil {
				t.Errorf("%s: %v", path, err)
				return
			}
			if a.outcome == "answered" && !strings.Contains(a.body, `"path":"`+path+`"`) {
				t.Errorf("%s got the body %s", path, a.body)
			}
			if a.outcome != "answered" && a.outcome != "upstream-failed" {
				t.Errorf("%s: outcome %s", path, a.outcome)
			}
		}()
	}
	wg.Wait()
}

// Guards against a dump or metrics page that a running daemon cannot give.
func TestPages(t *testing.T) {
	t.Parallel()
	s := newSystem(t, 1, 1, deskTargets()...)
	v := s.vms[0]
	for _, addr := range []string{v.Control, v.Steer} {
		if out, code := run(t, "dump", "--control", addr); code != cmds.ExitOK || !strings.Contains(out, `"members"`) {
			t.Errorf("dump: exit %d, %s", code, out)
		}
		if out, code := run(t, "dump", "--control", addr, "no-service"); code != cmds.ExitUsage {
			t.Errorf("dump of an unknown service: exit %d, %s", code, out)
		}
	}
	for _, name := range []string{"requests-admitted", "plan-age-ms", "slots-granted", "orders-unknown"} {
		s.await("the metrics page has "+name, func() bool {
			resp, err := admin.Get("http://" + v.Control + "/metrics")
			if err != nil {
				return false
			}
			defer resp.Body.Close()
			body, err := io.ReadAll(resp.Body)
			return err == nil && strings.Contains(string(body), name)
		})
	}
	v.entry.signal(syscall.SIGUSR1)
	s.await("the signal writes a dump", func() bool { return strings.Contains(v.entry.log.String(), `"scheduler"`) })
	resp, err := http.Get("http://" + v.Callers + "/nothing")
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if got := resp.Header.Get(front.HeaderOutcome); got != "not-found" {
		t.Errorf("unknown path: outcome %q", got)
	}
}
