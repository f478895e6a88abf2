package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Header fields of the users' protocol.
const (
	headerAttempt   = "X-Currantpier-Attempt-Id"
	headerDeadline  = "X-Currantpier-Deadline-Ms"
	headerExpect    = "X-Currantpier-Expect-Instance"
	headerSignature = "X-Currantpier-Server-Signature"
	headerNotRun    = "X-Currantpier-Not-Executed"
	headerLoad      = "X-Currantpier-Server-Load"
	headerInstance  = "X-Currantpier-Instance-Id"
)

// run is one request that a target began to work on.
type run struct {
	target, id, method, uri string
	bodyBytes               int
	// arrived is when the request had been read, began and ended are when the work began and ended; dropped is set if it ended because
	// the connection closed.
	arrived, began, ended time.Time
	dropped               bool
}

// runs collects the runs of all targets.
type runs struct {
	mu  sync.Mutex
	all []*run
}

func (r *runs) add(x *run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = append(r.all, x)
}

func (r *runs) end(x *run, dropped bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	x.ended, x.dropped = time.Now(), dropped
}

// byID returns copies of all runs by attempt id.
func (r *runs) byID() map[string][]run {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := map[string][]run{}
	for _, x := range r.all {
		all[x.id] = append(all[x.id], *x)
	}
	return all
}

// target is a stand-in for one target. It takes one request at a time on a connection, runs up to slots requests at once, lets
// up to queue more wait, and drops a request whose connection closes. A path element "w250" asks for 250 ms of work.
type target struct {
	id, service, zone string
	slots, queue      int
	ln                net.Listener
	runs              *runs

	sem     chan struct{}
	mu      sync.Mutex
	pending int
}

func newTarget(id, service, zone string, slots, queue int, r *runs) (*target, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	t := &target{id: id, service: service, zone: zone, slots: slots, queue: queue, ln: ln, runs: r, sem: make(chan struct{}, slots)}
	go t.accept()
	return t, nil
}

func (t *target) entry(sequence int, born int64) map[string]any {
	return map[string]any{"Service": t.service, "Address": t.ln.Addr().String(), "Zone": t.zone, "Version": "v1",
		"Concurrency": t.slots, "State": "ready", "WarmupLeftS": 0, "Sequence": sequence, "born": born}
}

func (t *target) accept() {
	for {
		nc, err := t.ln.Accept()
		if err != nil {
			return
		}
		go t.serve(nc)
	}
}

// serve reads requests one after the other. The reader goes on while a request runs, so that a close is noticed.
func (t *target) serve(nc net.Conn) {
	defer func() { _ = nc.Close() }()
	br := bufio.NewReader(nc)
	for {
		_ = nc.SetReadDeadline(time.Now().Add(10 * time.Second))
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		_ = nc.SetReadDeadline(time.Time{})
		closed := make(chan struct{})
		watched := make(chan struct{})
		go func() {
			defer close(watched)
			if _, err := br.Peek(1); err != nil {
				if ne, ok := err.(net.Error); !ok || !ne.Timeout() {
					close(closed)
				}
			}
		}()
		answer := t.handle(r, body, closed)
		_ = nc.SetReadDeadline(time.Unix(1, 0))
		<-watched
		if answer == "" {
			return
		}
		if _, err := io.WriteString(nc, answer); err != nil {
			return
		}
	}
}

func (t *target) load() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	running := min(t.pending, t.slots)
	return fmt.Sprintf("%d,%d,%d", running, t.pending-running, t.slots)
}

func (t *target) answer(status int, id, extra, body string) string {
	s := fmt.Sprintf("HTTP/1.1 %d %s\r\n%s: %s\r\nKeep-Alive: timeout=10\r\nContent-Length: %d\r\n", status, http.StatusText(status), headerLoad, t.load(), len(body))
	if id != "" {
		s += headerAttempt + ": " + id + "\r\n"
	}
	return s + headerInstance + ": " + t.id + "\r\n" + extra + "\r\n" + body
}

// healthWork is the work of a health request, which waits for a slot like others.
const healthWork = time.Millisecond

func (t *target) handle(r *http.Request, body []byte, closed <-chan struct{}) string {
	id := r.Header.Get(headerAttempt)
	if want := r.Header.Get(headerExpect); want != "" && want != t.id {
		return t.answer(421, id, "", "")
	}
	arrived := time.Now()
	t.mu.Lock()
	if t.pending >= t.slots+t.queue {
		t.mu.Unlock()
		return t.answer(503, id, headerNotRun+": 1\r\n", "")
	}
	t.pending++
	t.mu.Unlock()
	defer func() {
		t.mu.Lock()
		t.pending--
		t.mu.Unlock()
	}()
	limit := time.Now().Add(10 * time.Second)
	if ms, err := strconv.Atoi(r.Header.Get(headerDeadline)); err == nil {
		limit = time.Now().Add(time.Duration(ms) * time.Millisecond)
	}
	select {
	case t.sem <- struct{}{}:
	case <-closed:
		return ""
	case <-time.After(time.Until(limit)):
		return t.answer(503, id, headerNotRun+": 1\r\n", "")
	}
	defer func() { <-t.sem }()
	if r.URL.Path == "/healthz" {
		time.Sleep(healthWork)
		return t.answer(200, "", "", "")
	}
	x := &run{target: t.id, id: id, method: r.Method, uri: r.RequestURI, bodyBytes: len(body), arrived: arrived, began: time.Now()}
	t.runs.add(x)
	work := time.After(workOf(r.URL.Path))
	select {
	case <-work:
	case <-closed:
		t.runs.end(x, true)
		return ""
	case <-time.After(time.Until(limit)):
		t.runs.end(x, false)
		return t.answer(504, id, headerSignature+": sig-"+id+"\r\n", "")
	}
	t.runs.end(x, false)
	text := "answer to " + id + "\n"
	return t.answer(200, id, headerSignature+": sig-"+id+"\r\n", text)
}

// workOf returns the work that a path asks for.
func workOf(path string) time.Duration {
	return time.Duration(max(numberOf(path, "w"), 0)) * time.Millisecond
}

// numberOf returns the number in the path element that begins with a letter, or -1.
func numberOf(path, letter string) int {
	for _, part := range strings.Split(path, "/") {
		if !strings.HasPrefix(part, letter) {
			continue
		}
		if n, err := strconv.Atoi(part[len(letter):]); err == nil {
			return n
		}
	}
	return -1
}
