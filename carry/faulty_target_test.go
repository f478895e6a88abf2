package carry

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/currantpier/currantpier/fleet"
	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/pick"
	"github.com/currantpier/currantpier/retry"
	"github.com/currantpier/currantpier/trace"
)

// connScript handles the n-th request of a connection, counted from zero. It returns false to close the connection.
type connScript func(nc net.Conn, n int, r *http.Request) bool

// fakeTarget is a target on a loopback port that runs a connScript on each connection.
type fakeTarget struct {
	ln       net.Listener
	requests atomic.Int64
	// ended receives a value for each connection that has ended.
	ended chan struct{}
}

func newFakeTarget(t *testing.T, s connScript) *fakeTarget {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return serveTarget(t, ln, s)
}

// serveTarget returns a target that accepts connections on ln.
func serveTarget(t *testing.T, ln net.Listener, s connScript) *fakeTarget {
	f := &fakeTarget{ln: ln, ended: make(chan struct{}, 64)}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go f.serve(nc, s)
		}
	}()
	return f
}

func (f *fakeTarget) serve(nc net.Conn, s connScript) {
	defer func() {
		_ = nc.Close()
		f.ended <- struct{}{}
	}()
	br := bufio.NewReader(nc)
	for n := 0; ; n++ {
		r, err := http.ReadRequest(br)
		if err != nil || isForeign(r) {
			return
		}
		f.requests.Add(1)
		if !s(nc, n, r) {
			return
		}
	}
}

// isForeign reports whether a request is a health request of a VM in the tests of another package, which run at the same time. It is
// for a target that has ended, whose port the system has given to a fakeTarget. The tests of this package send none to that path.
func isForeign(r *http.Request) bool {
	return r.URL.Path == "/healthz" && r.Header.Get("Id") == "" && r.Header.Get("Expect") == ""
}

// Guards against counting a health request of another package's tests as one of the test's own.
func TestForeignHealthRequest(t *testing.T) {
	target := newFakeTarget(t, respondOK)
	if resp, err := http.Get("http://" + target.ln.Addr().String() + "/healthz"); err == nil {
		_ = resp.Body.Close()
		t.Errorf("a foreign health request was answered with %d", resp.StatusCode)
	}
	if n := target.requests.Load(); n != 0 {
		t.Errorf("%d foreign requests were counted", n)
	}
}

// responseHead returns the status line and the id and signature fields of a response to a request.
func responseHead(status int, r *http.Request) string {
	return fmt.Sprintf("HTTP/1.1 %d x\r\nId: %s\r\nSig: s\r\n", status, r.Header.Get("Id"))
}

// respondOK sends a complete response to every request.
func respondOK(nc net.Conn, _ int, r *http.Request) bool {
	_, err := fmt.Fprintf(nc, "%sContent-Length: 2\r\n\r\nok", responseHead(200, r))
	return err == nil
}

// newForwarderFor returns a Forwarder with one route to the given targets.
func newForwarderFor(t *testing.T, idempotent bool, timeout time.Duration, targets ...*fakeTarget) *Forwarder {
	t.Helper()
	c := New(Config{Headers: testHeaders, VM: "vm", Log: trace.New("vm"), Clock: time.Now, MaxResponseMemory: 4 << 20,
		Quota: retry.QuotaLimits{Ratio: 0.2, Slack: 64, Window: 10 * time.Second}})
	cfg := &fleet.Config{Version: 1, Services: map[ident.Service]fleet.Service{"s": {Name: "s", MaxConnections: 50}}, Routes: []fleet.Route{{
		Name: "r", Host: "x", Prefix: "/a/", Services: []fleet.WeightedService{{Service: "s", Weight: 1}}, Timeout: timeout, LatencyTarget: timeout / 2,
		MaxAttempts: 3, Idempotent: idempotent}}}
	cfg.Index()
	s := &fleet.Snapshot{Config: cfg, RegistryRead: true, Targets: map[ident.Service][]fleet.Target{}}
	for i, f := range targets {
		s.Targets["s"] = append(s.Targets["s"], fleet.Target{Entry: fleet.Entry{
			ID: ident.Target(fmt.Sprint("t", i)), Service: "s", Address: f.ln.Addr().String(), Slots: 8, Ready: true}})
	}
	c.Update(time.Now(), s)
	return c
}

// writeForever writes text until the connection ends.
func writeForever(nc net.Conn, text string, pause time.Duration) {
	for {
		if _, err := nc.Write([]byte(text)); err != nil {
			return
		}
		time.Sleep(pause) // simulates a slow sender
	}
}

// A faulty target sends bytes without end, in a header or a body, fast or slowly. Guards against a caller without a
// final response by its deadline, unbounded memory use and a connection that stays open.
func TestUnboundedResponses(t *testing.T) {
	big := strings.Repeat("x", 32<<10)
	senders := map[string]func(nc net.Conn, r *http.Request){
		"head without a line end": func(nc net.Conn, _ *http.Request) { writeForever(nc, big, 0) },
		"head of fields": func(nc net.Conn, r *http.Request) {
			_, _ = nc.Write([]byte(responseHead(200, r)))
			writeForever(nc, "A: b\r\n", 0)
		},
		"slow head": func(nc net.Conn, r *http.Request) {
			_, _ = nc.Write([]byte(responseHead(200, r)))
			writeForever(nc, "A: b\r\n", 5*time.Millisecond)
		},
		"interim responses": func(nc net.Conn, _ *http.Request) { writeForever(nc, "HTTP/1.1 100 Continue\r\n\r\n", 0) },
		"slow interim responses": func(nc net.Conn, _ *http.Request) {
			writeForever(nc, "HTTP/1.1 100 Continue\r\n\r\n", 5*time.Millisecond)
		},
		"body without a length": func(nc net.Conn, r *http.Request) {
			_, _ = nc.Write([]byte(responseHead(200, r) + "\r\n"))
			writeForever(nc, big, 0)
		},
		"slow body": func(nc net.Conn, r *http.Request) {
			_, _ = nc.Write([]byte(responseHead(200, r) + "\r\n"))
			writeForever(nc, "x", 5*time.Millisecond)
		},
		"chunks": func(nc net.Conn, r *http.Request) {
			_, _ = nc.Write([]byte(responseHead(200, r) + "Transfer-Encoding: chunked\r\n\r\n"))
			writeForever(nc, "8\r\n12345678\r\n", 0)
		},
		"chunk size without end": func(nc net.Conn, r *http.Request) {
			_, _ = nc.Write([]byte(responseHead(200, r) + "Transfer-Encoding: chunked\r\n\r\n"))
			writeForever(nc, "00000000", 0)
		},
		"chunk extension": func(nc net.Conn, r *http.Request) {
			_, _ = nc.Write([]byte(responseHead(200, r) + "Transfer-Encoding: chunked\r\n\r\n8;a="))
			writeForever(nc, "bbbbbbbb", 0)
		},
		"trailer": func(nc net.Conn, r *http.Request) {
			_, _ = nc.Write([]byte(responseHead(200, r) + "Transfer-Encoding: chunked\r\n\r\n0\r\n"))
			writeForever(nc, "A: b\r\n", 0)
		},
		"length over the memory limit": func(nc net.Conn, r *http.Request) {
			_, _ = nc.Write([]byte(responseHead(200, r) + "Content-Length: 15000000\r\n\r\n"))
			writeForever(nc, big, 0)
		},
		"responses to other requests": func(nc net.Conn, _ *http.Request) {
			writeForever(nc, "HTTP/1.1 200 x\r\nId: other\r\nSig: s\r\nContent-Length: 2\r\n\r\nok", 0)
		},
	}
	for name, send := range senders {
		for _, idempotent := range []bool{true, false} {
			t.Run(fmt.Sprint(name, ", idempotent ", idempotent), func(t *testing.T) {
				t.Parallel()
				bad := newFakeTarget(t, func(nc net.Conn, _ int, r *http.Request) bool { send(nc, r); return false })
				c := newForwarderFor(t, idempotent, 400*time.Millisecond, bad)
				a := c.Handle(context.Background(), newRequest(t, "Id: 1\r\n"), time.Now())
				if a.Status != http.StatusBadGateway && a.Status != http.StatusGatewayTimeout {
					t.Errorf("status %d, want 502 or 504 since the request may have run", a.Status)
				}
				<-bad.ended // waits until the connection is closed
				if got := c.pool.ResponseMemoryUsed(); got != 0 {
					t.Errorf("%d bytes of memory are still reserved", got)
				}
				if _, open := c.pool.Stats(); open != 0 {
					t.Errorf("%d connections are open", open)
				}
			})
		}
	}
}

// Targets announce a long body and send nothing of it. Guards against memory that is taken for what a target has announced: a
// few such responses at once took more memory than the process may have.
func TestAnnouncedBodyTakesNoMemory(t *testing.T) {
	const requests, maxBytesEach = 32, 1 << 20
	for name, head := range map[string]string{
		"one chunk":        "Transfer-Encoding: chunked\r\n\r\nE00000\r\n",
		"a second chunk":   "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\nE00000\r\n",
		"a content length": "Content-Length: 14000000\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			bad := newFakeTarget(t, func(nc net.Conn, _ int, r *http.Request) bool {
				_, _ = nc.Write([]byte(responseHead(200, r) + head))
				_, _ = nc.Read(make([]byte, 1)) // blocks until the connection ends
				return false
			})
			c := newForwarderFor(t, false, 300*time.Millisecond, bad)
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			done := make(chan struct{})
			for i := range requests {
				go func() {
					c.Handle(context.Background(), newRequest(t, fmt.Sprintf("Id: %d\r\n", i)), time.Now())
					done <- struct{}{}
				}()
			}
			for range requests {
				<-done
			}
			runtime.ReadMemStats(&after)
			if got := after.TotalAlloc - before.TotalAlloc; got > requests*maxBytesEach {
				t.Errorf("%d bytes were allocated for %d responses without a body, want %d at most", got, requests, requests*maxBytesEach)
			}
		})
	}
}

// Guards against choosing a target again right after it sent an oversized response, and against failing idempotent
// requests that another target could serve.
func TestFloodingTargetIsAvoided(t *testing.T) {
	flood := func(nc net.Conn, _ int, r *http.Request) bool {
		_, _ = nc.Write([]byte(responseHead(200, r) + "\r\n"))
		writeForever(nc, strings.Repeat("x", 32<<10), 0)
		return false
	}
	bad, good := newFakeTarget(t, flood), newFakeTarget(t, respondOK)
	c := newForwarderFor(t, true, 10*time.Second, bad, good)
	for i := range 20 {
		a := c.Handle(context.Background(), newRequest(t, fmt.Sprintf("Id: %d\r\n", i)), time.Now())
		if a.Status != http.StatusOK || string(a.Body) != "ok" {
			t.Fatalf("request %d: %d %q", i, a.Status, a.Body)
		}
	}
	if n := bad.requests.Load(); n > 2 {
		t.Errorf("the flooding target got %d of 20 requests, want 2 at most", n)
	}
}

// Guards against responses in progress that together use more memory than the limit when many targets send oversized
// responses at once.
func TestResponsesShareMemoryLimit(t *testing.T) {
	bad := newFakeTarget(t, func(nc net.Conn, _ int, r *http.Request) bool {
		_, _ = nc.Write([]byte(responseHead(200, r) + "Content-Length: 3000000\r\n\r\n" + strings.Repeat("x", 2<<20)))
		_, _ = nc.Read(make([]byte, 1)) // blocks until the connection ends
		return false
	})
	c := newForwarderFor(t, false, time.Second, bad)
	done := make(chan struct{})
	for i := range 8 {
		go func() {
			c.Handle(context.Background(), newRequest(t, fmt.Sprintf("Id: %d\r\n", i)), time.Now())
			done <- struct{}{}
		}()
	}
	maxUsed := int64(0)
	for range 8 {
		<-done
		maxUsed = max(maxUsed, c.pool.ResponseMemoryUsed())
	}
	if maxUsed > 4<<20 {
		t.Errorf("%d bytes were reserved, limit %d", maxUsed, 4<<20)
	}
	if got := c.pool.ResponseMemoryUsed(); got != 0 {
		t.Errorf("%d bytes are still reserved", got)
	}
}

// Guards against a late duplicate of a target's response on a reused connection. It was accepted as the response to the
// next request, and its "not run" was reported for an order that had run.
func TestLateDuplicateResponses(t *testing.T) {
	copies := map[string]string{
		"response":                "HTTP/1.1 200 x\r\nId: first\r\nSig: s\r\nContent-Length: 3\r\n\r\nold",
		"refusal":                 "HTTP/1.1 503 x\r\nId: first\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"refusal without id":      "HTTP/1.1 503 x\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"misdirected request":     "HTTP/1.1 421 x\r\nContent-Length: 0\r\n\r\n",
		"server error without id": "HTTP/1.1 500 x\r\nSig: s\r\nContent-Length: 0\r\n\r\n",
		"response and refusal":    "HTTP/1.1 200 x\r\nId: first\r\nSig: s\r\nContent-Length: 3\r\n\r\noldHTTP/1.1 503 x\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
	}
	for name, copied := range copies {
		t.Run(name, func(t *testing.T) {
			target := newFakeTarget(t, func(nc net.Conn, n int, r *http.Request) bool {
				if n == 1 {
					if _, err := nc.Write([]byte(copied)); err != nil {
						return false
					}
				}
				return respondOK(nc, n, r)
			})
			c := newForwarderFor(t, false, 5*time.Second, target)
			for _, id := range []string{"first", "second"} {
				a := c.Handle(context.Background(), newRequest(t, "Id: "+id+"\r\n"), time.Now())
				if a.Status != http.StatusOK || a.Field("Id") != id || string(a.Body) != "ok" {
					t.Errorf("order %s: %d, id %q, body %q", id, a.Status, a.Field("Id"), a.Body)
				}
			}
			if n := target.requests.Load(); n != 2 {
				t.Errorf("%d sends for 2 orders", n)
			}
		})
	}
}

// Guards against sending a request to an outdated choice. While the process is paused or a connection is being opened,
// the target may be withdrawn, its address may pass to another target, the route may get other homes, or the deadline may pass.
func TestChoiceIsRevalidatedBeforeSending(t *testing.T) {
	at := func(d time.Duration) time.Time { return time.Unix(1000, 0).Add(d) }
	target := fleet.Target{Entry: fleet.Entry{ID: "t", Service: "s", Address: "x:1", StartedUnixMS: 1}}
	restarted := target
	restarted.StartedUnixMS = 2
	moved := target
	moved.Address = "y:1"
	successor := target
	successor.ID = "u"
	snapshotOf := func(svc ident.Service, list ...fleet.Target) *fleet.Snapshot {
		return &fleet.Snapshot{Targets: map[ident.Service][]fleet.Target{svc: list}}
	}
	snapshot := func(list ...fleet.Target) *fleet.Snapshot { return snapshotOf("s", list...) }
	elsewhere := target
	elsewhere.Place = ident.Place{Region: "b", Domain: "b1"}
	otherService := target
	otherService.Service = "s2"
	newConfig := snapshot(target)
	newConfig.Config = &fleet.Config{Version: 2}
	for _, tt := range []struct {
		name    string
		now     time.Time
		updated *fleet.Snapshot
		want    error
		left    string
	}{
		{"immediately", at(0), nil, nil, "2000"},
		{"after 700 ms", at(700 * time.Millisecond), snapshot(target), nil, "1300"},
		{"after the deadline", at(3 * time.Second), snapshot(target), errDeadlineReached, ""},
		{"target withdrawn", at(time.Second), snapshot(), errTargetWithdrawn, ""},
		{"target restarted", at(time.Second), snapshot(restarted), errTargetWithdrawn, ""},
		{"target is registered in another region", at(time.Second), snapshot(elsewhere), errTargetWithdrawn, ""},
		{"target is registered for another service", at(time.Second), snapshotOf("s2", otherService), errTargetWithdrawn, ""},
		{"another target at the address", at(time.Second), snapshot(successor), errTargetWithdrawn, ""},
		{"other homes in a newer configuration", at(time.Second), newConfig, errConfigChanged, ""},
		{"target has a new address", at(time.Second), snapshot(moved), errTargetWithdrawn, ""},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := newForwarder()
			c.snapshot.Store(snapshot(target))
			k := &call{Forwarder: c, r: newRequest(t, "Id: 1\r\n", "Deadline: 9000\r\n"), deadline: at(2 * time.Second), choiceSnapshot: c.snapshot.Load()}
			if tt.updated != nil {
				c.snapshot.Store(tt.updated)
			}
			b, err := k.buildRequest(tt.now, target)
			if !errors.Is(err, tt.want) {
				t.Fatalf("error %v, want %v", err, tt.want)
			}
			if want := "Deadline: " + tt.left + "\r\n"; err == nil && !strings.Contains(string(bytes.Join(b, nil)), want) {
				t.Errorf("sent %q, want %q in it", b, want)
			}
			if want := "Expect: t\r\n"; err == nil && !strings.Contains(string(bytes.Join(b, nil)), want) {
				t.Errorf("sent %q, want %q in it", b, want)
			}
		})
	}
}

// Guards against refusing an order because its first target was withdrawn while a connection was being opened. Nothing
// was sent, so the order may go to another target.
func TestWithdrawnTargetIsReplaced(t *testing.T) {
	a, b := newFakeTarget(t, respondOK), newFakeTarget(t, respondOK)
	c := newForwarderFor(t, false, 5*time.Second, a, b)
	before := c.Snapshot()
	withoutFirst := *before
	withoutFirst.Targets = map[ident.Service][]fleet.Target{"s": before.Targets["s"][1:]}
	k := &call{Forwarder: c, r: newRequest(t, "Id: 1\r\n"), id: "1", route: &before.Config.Routes[0], service: "s", arrived: time.Now(),
		deadline: time.Now().Add(5 * time.Second)}
	choice, _ := k.chooseTarget(time.Now())
	for choice.Target.ID != "t0" {
		k.finished(time.Now(), choice, pick.Outcome{Result: pick.Cancelled})
		choice, _ = k.chooseTarget(time.Now())
	}
	c.Update(time.Now(), &withoutFirst)
	response, result, err := k.send(context.Background(), time.Now(), choice)
	if !errors.Is(err, errTargetWithdrawn) || result != pick.Cancelled {
		t.Fatalf("sent to a withdrawn target: %v, %v", response, err)
	}
	if final := k.retryOrGiveUp(time.Now(), choice, response, result, err); final != nil {
		t.Fatalf("the order was given up with status %d", final.Status)
	}
	if got := k.run(context.Background()); got.Status != http.StatusOK {
		t.Errorf("status %d from the other target", got.Status)
	}
	if a.requests.Load() != 0 || b.requests.Load() != 1 {
		t.Errorf("the targets got %d and %d requests, want 0 and 1", a.requests.Load(), b.requests.Load())
	}
}

// Guards against an overload that grows by itself: a request that a full target rejects must not be sent to the next one, which is
// as full. A target that rejects requests although it has free slots is faulty, and the next one is tried.
func TestRejectionByFullTargetIsFinal(t *testing.T) {
	for _, tt := range []struct {
		name   string
		status int
		load   string
		sends  int64
	}{
		{"all slots in use, none waiting", 503, "Load: 8,0,8\r\n", 1},
		{"requests waiting", 503, "Load: 8,24,8\r\n", 1},
		{"free slots", 503, "Load: 3,0,8\r\n", 2},
		{"no load report", 503, "", 2},
		{"another target at the address, which is full", 421, "Load: 8,0,8\r\n", 2},
	} {
		t.Run(tt.name, func(t *testing.T) {
			reject := func(nc net.Conn, _ int, r *http.Request) bool {
				_, err := fmt.Fprintf(nc, "HTTP/1.1 %d x\r\nId: %s\r\nNot-Run: 1\r\n%sContent-Length: 0\r\n\r\n",
					tt.status, r.Header.Get("Id"), tt.load)
				return err == nil
			}
			a, b := newFakeTarget(t, reject), newFakeTarget(t, reject)
			c := newForwarderFor(t, true, 5*time.Second, a, b)
			got := c.Handle(context.Background(), newRequest(t, "Id: 1\r\n"), time.Now())
			if got.Status != http.StatusServiceUnavailable || got.Field("Retry-After") == "" {
				t.Errorf("status %d, Retry-After %q; want 503 and a value", got.Status, got.Field("Retry-After"))
			}
			if n := a.requests.Load() + b.requests.Load(); n != tt.sends {
				t.Errorf("sent %d times, want %d", n, tt.sends)
			}
		})
	}
}

// A target's entry in the registry expires while it still runs a request. Guards against giving the request up or
// running it again at another target.
func TestRequestOutlivesRegistryEntry(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		entered, release := make(chan struct{}), make(chan struct{})
		slow := newFakeTarget(t, func(nc net.Conn, n int, r *http.Request) bool {
			entered <- struct{}{}
			<-release
			return respondOK(nc, n, r)
		})
		c := newForwarderFor(t, idempotent, 5*time.Second, slow)
		other := newFakeTarget(t, respondOK)
		statuses := make(chan int)
		go func() { statuses <- c.Handle(context.Background(), newRequest(t, "Id: 1\r\n"), time.Now()).Status }()
		<-entered
		s := *c.Snapshot()
		s.Targets = map[ident.Service][]fleet.Target{"s": {{Entry: fleet.Entry{ID: "other", Service: "s", Slots: 8, Ready: true,
			Address: other.ln.Addr().String()}}}}
		c.Update(time.Now(), &s)
		c.Sweep(time.Now().Add(time.Minute))
		close(release)
		if status := <-statuses; status != http.StatusOK {
			t.Errorf("idempotent %v: status %d", idempotent, status)
		}
		if n := other.requests.Load(); n != 0 {
			t.Errorf("idempotent %v: the request was sent to another target too", idempotent)
		}
	}
}
