package join

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/currantpier/currantpier/feed"
	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/peers"
	"github.com/currantpier/currantpier/proto"
)

// Guards against a VM that starts while the store is down and restores what the operators have removed since, or
// applies a partial state.
func TestUsableStates(t *testing.T) {
	operator := func(v ident.Version, whole bool) *proto.OperatorDelta {
		return &proto.OperatorDelta{Version: v, Full: whole}
	}
	registry := func(whole bool) *proto.RegistryDelta { return &proto.RegistryDelta{Full: whole} }
	for _, tt := range []struct {
		name   string
		m      proto.Message
		path   string
		newest ident.Version
		ok     bool
	}{
		{"whole state", proto.Message{OperatorChange: operator(7, true), Registry: registry(true)}, StatePath, 7, true},
		{"older than what a peer has seen", proto.Message{OperatorChange: operator(6, true), Registry: registry(true)}, StatePath, 7, false},
		{"changes only", proto.Message{OperatorChange: operator(7, false), Registry: registry(true)}, StatePath, 7, false},
		{"no configuration", proto.Message{Registry: registry(true)}, StatePath, 0, false},
		{"no registry", proto.Message{OperatorChange: operator(7, true)}, StatePath, 7, false},
		{"departures", proto.Message{Registry: registry(false)}, DeparturesPath, 7, true},
		{"empty message", proto.Message{}, DeparturesPath, 0, false},
	} {
		if err := checkResponse(&tt.m, tt.path, tt.newest); (err == nil) != tt.ok {
			t.Errorf("%s: %v", tt.name, err)
		}
	}
}

// Simulates a VM that the store has refused for a minute without any change, and that then hears of one. Guards against a
// VM that waits up to 8 s for its next request although it knows that its configuration is old.
func TestCatchUpStartsWhenAChangeIsMissed(t *testing.T) {
	now := time.Unix(1000, 0)
	c := catchUpSchedule{pause: minCatchUpPause}
	same := &proto.Message{Registry: &proto.RegistryDelta{Version: 5}, OperatorChange: &proto.OperatorDelta{Version: 4}}
	requests := 0
	for end := now.Add(time.Minute); now.Before(end); now = now.Add(minCatchUpPause) {
		if c.due(now, true, false) {
			requests++
			c.record(now, same, nil)
		}
	}
	if requests > 15 {
		t.Errorf("%d requests in a minute without a change", requests)
	}
	if c.due(now.Add(minCatchUpPause), true, false) {
		t.Fatal("the pause has not grown")
	}
	if !c.due(now.Add(minCatchUpPause), true, true) {
		t.Error("a VM that lacks a change waits out the pause")
	}
	if c.due(now.Add(time.Hour), false, true) {
		t.Error("a VM that reads the store requests another VM's state")
	}
	c.record(now, &proto.Message{Registry: &proto.RegistryDelta{}}, nil)
	if c.due(now.Add(minCatchUpPause), true, false) {
		t.Error("a response without a newer configuration is followed by the next request at once")
	}
}

// Guards against a request for the departures that doesn't state the configuration in force: the response would lack a newer
// one, or contain the whole configuration each time.
func TestDeparturesRequestStatesConfig(t *testing.T) {
	var uri string
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		uri = r.RequestURI
		m := proto.Message{Registry: &proto.RegistryDelta{}}
		_, _ = w.Write(m.Append(nil))
	}))
	defer srv.Close()
	host, port, err := net.SplitHostPort(srv.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	a := &StateFetcher{ConfigVersion: func() ident.Version { return 7 }}
	a.Peers = peers.NewService(peers.NewView(time.Unix(1000, 0), proto.VMInfo{VM: "vm"}, nil, rand.NewSource(1)), nil, nil, time.Now, nil)
	if a.Port, err = strconv.Atoi(port); err != nil {
		t.Fatal(err)
	}
	if _, err := a.fetch(t.Context(), srv.Client(), proto.VMInfo{VM: "other", PeerAddress: net.JoinHostPort(host, "1")}, DeparturesPath); err != nil {
		t.Fatal(err)
	}
	if want := "/departures?config=7"; uri != want {
		t.Errorf("request for %q, want %q", uri, want)
	}
}

// Guards against the state of a VM that is cut between two fields and then decoded as one with fewer rows.
func TestIncompleteStateIsRefused(t *testing.T) {
	for _, tt := range []struct {
		name         string
		sent, length int64
		ok           bool
	}{
		{"complete", 100, 100, true},
		{"empty", 0, 0, true},
		{"cut short", 99, 100, false},
		{"no length", 100, -1, false},
		{"at the limit", maxStateBytes, maxStateBytes, true},
		{"over the limit", maxStateBytes + 1, maxStateBytes + 1, false},
	} {
		b, err := readBody(io.LimitReader(zeros{}, tt.sent), tt.length)
		if (err == nil) != tt.ok || tt.ok && int64(len(b)) != tt.length {
			t.Errorf("%s: %d bytes, error %v", tt.name, len(b), err)
		}
	}
}

// zeros returns zero bytes without end.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// Simulates a state of 900 KB on a link that passes 600 KB/s. Guards against a bound on the time of a whole response: a VM that
// the store refuses never had a large configuration, and served an earlier one with other homes.
func TestLargeStateOverSlowLink(t *testing.T) {
	want := proto.Message{From: proto.VMInfo{VM: "b"}, Registry: &proto.RegistryDelta{Full: true, Version: 5},
		OperatorChange: &proto.OperatorDelta{Full: true, Version: 4, Rows: []feed.Row{{Key: "config", Value: make([]byte, 900_000), Version: 4}}}}
	body := want.Append(nil)
	synctest.Test(t, func(t *testing.T) {
		served := make(chan struct{})
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true,
			DialContext: func(context.Context, string, string) (net.Conn, error) {
				ours, theirs := net.Pipe()
				go func() {
					defer close(served)
					defer func() { _ = theirs.Close() }()
					sendSlowly(theirs, body)
				}()
				return ours, nil
			}}}
		now := time.Now()
		view := peers.NewView(now, proto.VMInfo{VM: "a"}, nil, rand.NewSource(1))
		f := &StateFetcher{Peers: peers.NewService(view, nil, nil, time.Now, func(any) {})}
		m, err := f.fetch(context.Background(), client, proto.VMInfo{VM: "b", PeerAddress: "127.0.0.1:1"}, StatePath)
		if err != nil || len(m.OperatorChange.Rows[0].Value) != 900_000 {
			t.Errorf("error %v after %v", err, time.Since(now))
		}
		<-served
	})
}

// sendSlowly reads a request from nc and responds with body at 600 KB/s.
func sendSlowly(nc net.Conn, body []byte) {
	if _, err := http.ReadRequest(bufio.NewReader(nc)); err != nil {
		return
	}
	_, err := fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(body))
	for len(body) > 0 && err == nil {
		time.Sleep(20 * time.Millisecond)
		n := min(12_000, len(body))
		_, err = nc.Write(body[:n])
		body = body[n:]
	}
}
