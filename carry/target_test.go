package carry

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
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

// script is what a target does with the n-th request of a connection, counted from zero. It reports false to close the
// connection.
type script func(nc net.Conn, n int, r *http.Request) bool

// fakeTarget is a target on a loopback port that follows a script.
type fakeTarget struct {
	ln       net.Listener
	requests atomic.Int64
	// ended gets a value for each connection that has ended.
	ended chan struct{}
}

func newFakeTarget(t *testing.T, s script) *fakeTarget {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
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

func (f *fakeTarget) serve(nc net.Conn, s script) {
	defer func() {
		_ = nc.Close()
		f.ended <- struct{}{}
	}()
	br := bufio.NewReader(nc)
	for n := 0; ; n++ {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		f.requests.Add(1)
		if !s(nc, n, r) {
			return
		}
	}
}

// head returns the first lines of an answer to a request.
func head(status int, r *http.Request) string {
	return fmt.Sprintf("HTTP/1.1 %d x\r\nId: %s\r\nSig: s\r\n", status, r.Header.Get("Id"))
}

// whole answers every request.
func whole(nc net.Conn, _ int, r *http.Request) bool {
	_, err := fmt.Fprintf(nc, "%sContent-Length: 2\r\n\r\nok", head(200, r))
	return err == nil
}

// atTargets returns a carrier for one route to the given targets. The first one is the first choice for object "k".
func atTargets(t *testing.T, idempotent bool, timeout time.Duration, targets ...*fakeTarget) *Carrier {
	t.Helper()
	c := New(Config{Headers: names, VM: "vm", Log: trace.New("vm"), Clock: time.Now, AnswerMemory: 4 << 20,
		Quota: retry.QuotaRules{Ratio: 0.2, Slack: 64, Window: 10 * time.Second}})
	cfg := &fleet.Config{Version: 1, Services: map[ident.Service]fleet.Service{"s": {Name: "s", MaxConnections: 50}}, Routes: []fleet.Route{{
		Name: "r", Host: "x", Prefix: "/a/", Parts: []fleet.Part{{Service: "s", Weight: 1}}, Timeout: timeout, Aim: timeout / 2,
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

// forever writes text until the connection ends.
func forever(nc net.Conn, text string, pause time.Duration) {
	for {
		if _, err := nc.Write([]byte(text)); err != nil {
			return
		}
		time.Sleep(pause) // the pace of a slow sender, which is what the test plays
	}
}

// Pattern: a target in trouble sends bytes without end, in a head or a body, fast or slowly. Guards against a caller that
// gets no final answer in its deadline, memory that grows with what arrives, a connection that stays open, and a target that
// gets the next request as if nothing had happened.
func TestAnswersWithoutEnd(t *testing.T) {
	big := strings.Repeat("x", 32<<10)
	bodies := map[string]func(nc net.Conn, r *http.Request){
		"head without a line end": func(nc net.Conn, _ *http.Request) { forever(nc, big, 0) },
		"head of fields":          func(nc net.Conn, r *http.Request) { _, _ = nc.Write([]byte(head(200, r))); forever(nc, "A: b\r\n", 0) },
		"slow head": func(nc net.Conn, r *http.Request) {
			_, _ = nc.Write([]byte(head(200, r)))
			forever(nc, "A: b\r\n", 5*time.Millisecond)
		},
		"interim answers":      func(nc net.Conn, _ *http.Request) { forever(nc, "HTTP/1.1 100 Continue\r\n\r\n", 0) },
		"slow interim answers": func(nc net.Conn, _ *http.Request) { forever(nc, "HTTP/1.1 100 Continue\r\n\r\n", 5*time.Millisecond) },
		"body without a length": func(nc net.Conn, r *http.Request) {
			_, _ = nc.Write([]byte(head(200, r) + "\r\n"))
			forever(nc, big, 0)
		},
		"slow body": func(nc net.Conn, r *http.Request) {
			_, _ = nc.Write([]byte(head(200, r) + "\r\n"))
			forever(nc, "x", 5*time.Millisecond)
		},
		"chunks": func(nc net.Conn, r *http.Request) {
			_, _ = nc.Write([]byte(head(200, r) + "Transfer-Encoding: chunked\r\n\r\n"))
			forever(nc, "8\r\n12345678\r\n", 0)
		},
		"chunk size without end": func(nc net.Conn, r *http.Request) {
			_, _ = nc.Write([]byte(head(200, r) + "Transfer-Encoding: chunked\r\n\r\n"))
			forever(nc, "00000000", 0)
		},
		"chunk extension": func(nc net.Conn, r *http.Request) {
			_, _ = nc.Write([]byte(head(200, r) + "Transfer-Encoding: chunked\r\n\r\n8;a="))
			forever(nc, "bbbbbbbb", 0)
		},
		"trailer": func(nc net.Conn, r *http.Request) {
			_, _ = nc.Write([]byte(head(200, r) + "Transfer-Encoding: chunked\r\n\r\n0\r\n"))
			forever(nc, "A: b\r\n", 0)
		},
		"length beyond the memory": func(nc net.Conn, r *http.Request) {
			_, _ = nc.Write([]byte(head(200, r) + "Content-Length: 15000000\r\n\r\n"))
			forever(nc, big, 0)
		},
		"answers to others": func(nc net.Conn, _ *http.Request) {
			forever(nc, "HTTP/1.1 200 x\r\nId: other\r\nSig: s\r\nContent-Length: 2\r\n\r\nok", 0)
		},
	}
	for name, send := range bodies {
		for _, idempotent := range []bool{true, false} {
			t.Run(fmt.Sprint(name, ", idempotent ", idempotent), func(t *testing.T) {
				t.Parallel()
				bad := newFakeTarget(t, func(nc net.Conn, _ int, r *http.Request) bool { send(nc, r); return false })
				c := atTargets(t, idempotent, 400*time.Millisecond, bad)
				a := c.Handle(context.Background(), request(t, "Id: 1\r\n"), time.Now())
				if a.Status != http.StatusBadGateway && a.Status != http.StatusGatewayTimeout {
					t.Errorf("the caller got %d, want 502 or 504: the request may have run", a.Status)
				}
				<-bad.ended // the connection was closed
				if got := c.pool.AnswerMemoryUsed(); got != 0 {
					t.Errorf("%d bytes of memory are still reserved", got)
				}
				if _, open := c.pool.Stats(); open != 0 {
					t.Errorf("%d connections are open", open)
				}
			})
		}
	}
}

// Guards against a target that floods its callers and is the first choice again at once, and against look-ups that fail
// although another target could answer.
func TestFloodingTargetIsHeldBack(t *testing.T) {
	flood := func(nc net.Conn, _ int, r *http.Request) bool {
		_, _ = nc.Write([]byte(head(200, r) + "\r\n"))
		forever(nc, strings.Repeat("x", 32<<10), 0)
		return false
	}
	bad, good := newFakeTarget(t, flood), newFakeTarget(t, whole)
	c := atTargets(t, true, 10*time.Second, bad, good)
	for i := range 20 {
		a := c.Handle(context.Background(), request(t, fmt.Sprintf("Id: %d\r\n", i)), time.Now())
		if a.Status != http.StatusOK || string(a.Body) != "ok" {
			t.Fatalf("look-up %d: %d %q", i, a.Status, a.Body)
		}
	}
	if n := bad.requests.Load(); n > 2 {
		t.Errorf("the flooding target got %d of 20 requests, want 2 at most", n)
	}
}

// Guards against answers in progress that together take more memory than the VM has: many targets may flood at once.
func TestAnswersShareTheirMemory(t *testing.T) {
	bad := newFakeTarget(t, func(nc net.Conn, _ int, r *http.Request) bool {
		_, _ = nc.Write([]byte(head(200, r) + "Content-Length: 3000000\r\n\r\n" + strings.Repeat("x", 2<<20)))
		_, _ = nc.Read(make([]byte, 1)) // until the connection ends
		return false
	})
	c := atTargets(t, false, time.Second, bad)
	done := make(chan struct{})
	for i := range 8 {
		go func() {
			c.Handle(context.Background(), request(t, fmt.Sprintf("Id: %d\r\n", i)), time.Now())
			done <- struct{}{}
		}()
	}
	most := int64(0)
	for range 8 {
		<-done
		most = max(most, c.pool.AnswerMemoryUsed())
	}
	if most > 4<<20 {
		t.Errorf("%d bytes were reserved of %d", most, 4<<20)
	}
	if got := c.pool.AnswerMemoryUsed(); got != 0 {
		t.Errorf("%d bytes are still reserved", got)
	}
}

// Guards against a late copy of a target's answer on a connection that is in use again: it was taken for the answer to the
// next request, and its "not run" for a promise about an order that ran.
func TestLateCopies(t *testing.T) {
	copies := map[string]string{
		"of an answer":              "HTTP/1.1 200 x\r\nId: first\r\nSig: s\r\nContent-Length: 3\r\n\r\nold",
		"of a refusal":              "HTTP/1.1 503 x\r\nId: first\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"of a refusal without id":   "HTTP/1.1 503 x\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"of a misdirected answer":   "HTTP/1.1 421 x\r\nContent-Length: 0\r\n\r\n",
		"of a failure without id":   "HTTP/1.1 500 x\r\nSig: s\r\nContent-Length: 0\r\n\r\n",
		"of an answer, and another": "HTTP/1.1 200 x\r\nId: first\r\nSig: s\r\nContent-Length: 3\r\n\r\noldHTTP/1.1 503 x\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
	}
	for name, copied := range copies {
		t.Run(name, func(t *testing.T) {
			target := newFakeTarget(t, func(nc net.Conn, n int, r *http.Request) bool {
				if n == 1 {
					if _, err := nc.Write([]byte(copied)); err != nil {
						return false
					}
				}
				return whole(nc, n, r)
			})
			c := atTargets(t, false, 5*time.Second, target)
			for _, id := range []string{"first", "second"} {
				a := c.Handle(context.Background(), request(t, "Id: "+id+"\r\n"), time.Now())
				if a.Status != http.StatusOK || a.Field("Id") != id || string(a.Body) != "ok" {
					t.Errorf("order %s: %d, id %q, body %q", id, a.Status, a.Field("Id"), a.Body)
				}
			}
			if n := target.requests.Load(); n != 2 {
				t.Errorf("2 orders were sent %d times", n)
			}
		})
	}
}

// Guards against a request that is sent on an old choice: the process was paused, or a connection took long, and meanwhile
// the target was told to leave, its address passed to another one, or the deadline came.
func TestChoiceIsCheckedBeforeSending(t *testing.T) {
	later := func(d time.Duration) time.Time { return time.Unix(1000, 0).Add(d) }
	target := fleet.Target{Entry: fleet.Entry{ID: "t", Service: "s", Address: "x:1", Born: 1}}
	reborn := target
	reborn.Born = 2
	moved := target
	moved.Address = "y:1"
	snapshot := func(list ...fleet.Target) *fleet.Snapshot {
		return &fleet.Snapshot{Targets: map[ident.Service][]fleet.Target{"s": list}}
	}
	for _, tt := range []struct {
		name string
		now  time.Time
		then *fleet.Snapshot
		want error
		left string
	}{
		{"at once", later(0), nil, nil, "2000"},
		{"after 700 ms", later(700 * time.Millisecond), snapshot(target), nil, "1300"},
		{"after the deadline", later(3 * time.Second), snapshot(target), errExpired, ""},
		{"the target left", later(time.Second), snapshot(), errWithdrawn, ""},
		{"the target started anew", later(time.Second), snapshot(reborn), errWithdrawn, ""},
		{"the target moved", later(time.Second), snapshot(moved), errWithdrawn, ""},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := carrier()
			c.snapshot.Store(snapshot(target))
			k := &call{Carrier: c, r: request(t, "Id: 1\r\n", "Deadline: 9000\r\n"), deadline: later(2 * time.Second), chosenFrom: c.snapshot.Load()}
			if tt.then != nil {
				c.snapshot.Store(tt.then)
			}
			b, err := k.build(tt.now, target)
			if !errors.Is(err, tt.want) {
				t.Fatalf("error %v, want %v", err, tt.want)
			}
			if want := "Deadline: " + tt.left + "\r\n"; err == nil && !strings.Contains(string(b), want) {
				t.Errorf("sent %q, want %q in it", b, want)
			}
		})
	}
}

// Guards against an order that is refused because its first choice was withdrawn while a connection was opened, although
// another target could run it; nothing was sent, so that it may go there.
func TestWithdrawnTargetIsReplaced(t *testing.T) {
	a, b := newFakeTarget(t, whole), newFakeTarget(t, whole)
	c := atTargets(t, false, 5*time.Second, a, b)
	full := c.Snapshot()
	rest := *full
	rest.Targets = map[ident.Service][]fleet.Target{"s": full.Targets["s"][1:]}
	k := &call{Carrier: c, r: request(t, "Id: 1\r\n"), id: "1", route: &full.Config.Routes[0], service: "s", arrived: time.Now(),
		deadline: time.Now().Add(5 * time.Second)}
	choice, _ := k.choose(time.Now())
	for choice.Target.ID != "t0" {
		k.finished(time.Now(), choice, pick.Outcome{Result: pick.Cancelled})
		choice, _ = k.choose(time.Now())
	}
	c.Update(time.Now(), &rest)
	answer, result, err := k.send(context.Background(), time.Now(), choice)
	if !errors.Is(err, errWithdrawn) || result != pick.Cancelled {
		t.Fatalf("sent to a target that has left: %v, %v", answer, err)
	}
	if final := k.again(time.Now(), choice, answer, result, err); final != nil {
		t.Fatalf("the order was given up with %d", final.Status)
	}
	if got := k.run(context.Background()); got.Status != http.StatusOK {
		t.Errorf("the order got %d from the other target", got.Status)
	}
	if a.requests.Load() != 0 || b.requests.Load() != 1 {
		t.Errorf("the targets got %d and %d requests, want 0 and 1", a.requests.Load(), b.requests.Load())
	}
}

// Guards against work that is given up or started again elsewhere since its target was only silent for a while: its entry in
// the registry lapses, and the work goes on.
func TestSilentTargetKeepsItsWork(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		entered, release := make(chan struct{}), make(chan struct{})
		slow := newFakeTarget(t, func(nc net.Conn, n int, r *http.Request) bool {
			entered <- struct{}{}
			<-release
			return whole(nc, n, r)
		})
		c := atTargets(t, idempotent, 5*time.Second, slow)
		other := newFakeTarget(t, whole)
		answer := make(chan int)
		go func() { answer <- c.Handle(context.Background(), request(t, "Id: 1\r\n"), time.Now()).Status }()
		<-entered
		s := *c.Snapshot()
		s.Targets = map[ident.Service][]fleet.Target{"s": {{Entry: fleet.Entry{ID: "other", Service: "s", Slots: 8, Ready: true,
			Address: other.ln.Addr().String()}}}}
		c.Update(time.Now(), &s)
		c.Sweep(time.Now().Add(time.Minute))
		close(release)
		if status := <-answer; status != http.StatusOK {
			t.Errorf("idempotent %v: the caller got %d", idempotent, status)
		}
		if n := other.requests.Load(); n != 0 {
			t.Errorf("idempotent %v: the work was started again elsewhere", idempotent)
		}
	}
}
