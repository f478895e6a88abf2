package edge

import (
	"bufio"
	"context"
	"errors"
	"math/rand"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/currantpier/currantpier/carry"
	"github.com/currantpier/currantpier/codec"
	"github.com/currantpier/currantpier/fleet"
	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/peers"
	"github.com/currantpier/currantpier/proto"
	"github.com/currantpier/currantpier/trace"
)

// pipeConn keeps the datagrams that are written to it. Reading returns them, and net.ErrClosed after the last one.
type pipeConn struct {
	net.PacketConn
	datagrams [][]byte
}

func (c *pipeConn) WriteTo(b []byte, _ net.Addr) (int, error) {
	c.datagrams = append(c.datagrams, slices.Clone(b))
	return len(b), nil
}

func (c *pipeConn) ReadFrom(b []byte) (int, net.Addr, error) {
	if len(c.datagrams) == 0 {
		return 0, nil, net.ErrClosed
	}
	n := copy(b, c.datagrams[0])
	c.datagrams = c.datagrams[1:]
	return n, nil, nil
}

func (c *pipeConn) Close() error { return nil }

// Guards against a load report that doesn't get from a response to one VM into the choices and counters of another.
func TestLoadReportsReachOtherVM(t *testing.T) {
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Sig", "s")
		w.Header().Set("Load", "3,4,4,250")
	}))
	defer target.Close()
	cfg := &fleet.Config{Services: map[ident.Service]fleet.Service{"s": {Name: "s", MaxConnections: 5}}, Routes: []fleet.Route{{Download: true, Name: "r", Host: "x", Prefix: "/", Services: []fleet.WeightedService{{Service: "s", Weight: 1}}, Timeout: 10 * time.Second, MaxAttempts: 1}}}
	cfg.Index()
	s := &fleet.Snapshot{Config: cfg, RegistryRead: true, Targets: map[ident.Service][]fleet.Target{"s": {{Entry: fleet.Entry{
		ID: "t", Service: "s", Address: target.Listener.Addr().String(), Slots: 4, Ready: true}}}}}
	now := time.Now()
	var services []*reportService
	var conns []*pipeConn
	for i, vm := range []ident.VM{"a", "b"} {
		f := carry.New(carry.Config{VM: vm, Log: trace.New(vm), Clock: time.Now, MaxResponseMemory: 1 << 20,
			Headers: carry.Headers{Attempt: "Id", Deadline: "Deadline", Affinity: "Key", Signature: "Sig", Expect: "Expect-Target", Load: "Load", NotRun: "Not-Run",
				Key: "Api-Key", Customer: "Customer"}})
		f.Update(now, s)
		conns = append(conns, &pipeConn{})
		view := peers.NewView(now, proto.VMInfo{VM: vm, PeerAddress: "127.0.0.1:1"}, nil, rand.NewSource(1))
		p := peers.NewService(view, conns[i], nil, time.Now, func(v any) { t.Error(v) })
		services = append(services, newReportService(f, p, time.Now))
	}
	from, to := services[0], services[1]
	from.peers.With(func(v *peers.View) {
		v.Receive(now, proto.Message{From: proto.VMInfo{VM: "b", PeerAddress: "127.0.0.1:2"}, Heartbeats: []proto.Heartbeat{{VM: proto.KeyOf("b"), Count: 1}}})
	})
	r := &codec.Request{}
	if err := r.ReadHeader(bufio.NewReader(strings.NewReader("GET / HTTP/1.1\r\nHost: x\r\nId: 1\r\n\r\n"))); err != nil {
		t.Fatal(err)
	}
	if a := from.forwarder.Handle(t.Context(), r, time.Now()); a.Status != http.StatusOK {
		t.Fatalf("status %d", a.Status)
	}
	from.send(time.Now())
	conns[1].datagrams = conns[0].datagrams
	if err := to.peers.Run(context.Background()); !errors.Is(err, net.ErrClosed) {
		t.Fatal(err)
	}
	state, c := to.forwarder.Dump(time.Now()).Targets[0], &to.forwarder.Counters
	if sent := from.forwarder.Counters.ReportsSent.Load(); sent != 1 || c.ReportsReceived.Load() != 1 || c.ReportsApplied.Load() != 1 || state.Pace == 0 {
		t.Errorf("%d reports sent, %d received, %d applied; state %+v; want 1 each", sent, c.ReportsReceived.Load(), c.ReportsApplied.Load(), state)
	}
}
