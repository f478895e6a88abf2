package main

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// target is a stand-in for one target: it runs each request for a while and answers with the headers of the users' pages.
type target struct {
	id, service, zone string
	slots             int
	work              time.Duration
	body              func(r *http.Request) []byte
	ran               func(id string, at time.Time)
	ln                net.Listener
	server            *http.Server
	born              int64

	mu      sync.Mutex
	running int
	seq     int
}

func newTarget(id, service, zone string, slots int, work time.Duration) (*target, error) {
	ln, err := net.Listen("tcp", net.JoinHostPort(loopback(100), "0"))
	if err != nil {
		return nil, err
	}
	t := &target{id: id, service: service, zone: zone, slots: slots, work: work, ln: ln, born: time.Now().UnixMilli() - 60000}
	t.server = &http.Server{Handler: t, IdleTimeout: 10 * time.Second, ErrorLog: log.New(io.Discard, "", 0)}
	go func() { _ = t.server.Serve(ln) }()
	return t, nil
}

func (t *target) close() { _ = t.server.Close() }

// register writes the target's entry into the store.
func (t *target) register(w *world) {
	t.mu.Lock()
	t.seq++
	seq := t.seq
	t.mu.Unlock()
	w.store.Put("servers", t.id, map[string]any{"Service": t.service, "Address": t.ln.Addr().String(), "Zone": t.zone, "Version": "v1",
		"Concurrency": t.slots, "State": "ready", "WarmupLeftS": 0.0, "Sequence": seq, "born": t.born})
}

// heartbeats rewrites the entries until ctx ends.
func heartbeats(ctx context.Context, w *world, targets []*target) {
	tick := time.NewTicker(1500 * time.Millisecond)
	defer tick.Stop()
	for {
		for _, t := range targets {
			t.register(w)
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

func (t *target) load(d int) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running += d
	waiting := max(t.running-t.slots, 0)
	return strconv.Itoa(t.running-waiting) + "," + strconv.Itoa(waiting) + "," + strconv.Itoa(t.slots)
}

// ServeHTTP implements http.Handler.
func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	if r.URL.Path == "/healthz" {
		h.Set("X-Currantpier-Instance-Id", t.id)
		h.Set("X-Currantpier-Server-Load", t.load(0))
		return
	}
	id := r.Header.Get("X-Currantpier-Attempt-Id")
	h.Set("X-Currantpier-Attempt-Id", id)
	if want := r.Header.Get("X-Currantpier-Expect-Instance"); want != "" && want != t.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	t.load(1)
	t.ran(id, time.Now())
	select {
	case <-time.After(t.work):
	case <-r.Context().Done():
	}
	h.Set("X-Currantpier-Server-Load", t.load(-1))
	h.Set("X-Currantpier-Server-Signature", "s."+id)
	b := []byte("answer to " + id + "\n")
	if t.body != nil {
		b = t.body(r)
	}
	h.Set("Content-Length", strconv.Itoa(len(b)))
	_, _ = w.Write(b)
}
