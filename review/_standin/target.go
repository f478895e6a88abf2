package main

import (
	"context"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// target is a stand-in for one target. It runs up to slots requests at a time, lets three times as many wait, and reports to the
// store every beat.
type target struct {
	id, service, zone string
	born              int64
	slots             int
	work              time.Duration
	ln                net.Listener
	srv               *http.Server
	store             *store
	rec               *record
	slot              chan struct{}

	mu       sync.Mutex
	busy     int
	sequence int
	// via is the address of a link in front of the target, empty without one.
	via string
	// ranAt is when each request was first run.
	ranAt map[string]time.Time
	// loses is the share of the requests that the target runs whose answer is lost: it resets the connection instead.
	loses float64
	state string
	runs  map[string]int
}

const beat = 1500 * time.Millisecond

func newTarget(w *world, id, service, zone string, slots int, work time.Duration) (*target, error) {
	ln, err := net.Listen("tcp", net.JoinHostPort(w.ip(100), "0"))
	if err != nil {
		return nil, err
	}
	t := &target{id: id, service: service, zone: zone, born: time.Now().UnixMilli(), slots: slots, work: work, ln: ln, store: w.store,
		rec: w.rec, slot: make(chan struct{}, slots), state: "ready", runs: map[string]int{}, ranAt: map[string]time.Time{}}
	t.srv = &http.Server{Handler: t, IdleTimeout: 10 * time.Second}
	go func() { _ = t.srv.Serve(ln) }()
	t.report()
	go func() {
		for range time.Tick(beat) {
			if !t.report() {
				return
			}
		}
	}()
	return t, nil
}

// report writes the target's entry and returns false once the target has ended.
func (t *target) report() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.state == "" {
		return false
	}
	t.sequence++
	address := t.ln.Addr().String()
	if t.via != "" {
		address = t.via
	}
	t.store.put("servers", t.id, map[string]any{"Service": t.service, "Address": address, "Zone": t.zone, "Version": "v1",
		"Concurrency": t.slots, "State": t.state, "WarmupLeftS": 0, "Sequence": t.sequence, "born": t.born})
	return true
}

func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Currantpier-Attempt-Id")
	h := w.Header()
	h.Set("X-Currantpier-Attempt-Id", id)
	h.Set("X-Currantpier-Instance-Id", t.id)
	if want := r.Header.Get("X-Currantpier-Expect-Instance"); want != "" && want != t.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	t.mu.Lock()
	full := t.busy >= 4*t.slots
	if !full {
		t.busy++
	}
	t.mu.Unlock()
	if full {
		h.Set("X-Currantpier-Not-Executed", "1")
		h.Set("X-Currantpier-Server-Load", t.load())
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		t.mu.Lock()
		t.busy--
		t.mu.Unlock()
	}()
	limit, _ := strconv.Atoi(r.Header.Get("X-Currantpier-Deadline-Ms"))
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(limit)*time.Millisecond)
	defer cancel()
	select {
	case t.slot <- struct{}{}:
		defer func() { <-t.slot }()
	case <-ctx.Done():
		if r.Context().Err() == nil {
			h.Set("X-Currantpier-Not-Executed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	t.mu.Lock()
	if t.runs[id]++; t.runs[id] == 1 {
		t.ranAt[id] = time.Now()
	}
	t.mu.Unlock()
	t.rec.add("run", "target", t.id, "id", id, "body-bytes", n, "deadline-ms", limit)
	h.Set("X-Currantpier-Server-Signature", "sig-"+id)
	h.Set("X-Currantpier-Server-Load", t.load())
	select {
	case <-time.After(t.work):
		if t.losesAnswer() {
			reset(w)
			return
		}
		_, _ = io.WriteString(w, "done "+id+"\n")
	case <-ctx.Done():
		if r.Context().Err() == nil {
			w.WriteHeader(http.StatusGatewayTimeout)
		}
	}
}

func (t *target) load() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	waiting := max(t.busy-t.slots, 0)
	return fmt.Sprintf("%d,%d,%d", t.busy-waiting, waiting, t.slots)
}

func (t *target) ran(id string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.runs[id]
}

func (t *target) losesAnswer() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return rand.Float64() < t.loses
}

func (t *target) setLoses(share float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.loses = share
}

// reset resets the connection of a request.
func reset(w http.ResponseWriter) {
	nc, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	_ = nc.(*net.TCPConn).SetLinger(0)
	_ = nc.Close()
}
