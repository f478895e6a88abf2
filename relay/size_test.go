package relay_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/currantpier/currantpier/wire"
)

// emptyPeer answers every Fetch without a document.
type emptyPeer struct{ wire.Peer }

func (emptyPeer) Fetch(context.Context, *wire.FetchRequest) (*wire.Document, error) {
	return &wire.Document{Kind: wire.DocumentKind_DOCUMENT_KIND_CONFIG}, nil
}

// countingConn counts the bytes of a connection.
type countingConn struct {
	net.Conn
	in, out *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.in.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	c.out.Add(int64(len(b)))
	return c.Conn.Write(b)
}

// newPeerClient returns a client of a server on the loopback interface, and counters of the bytes that it receives and
// sends.
func newPeerClient(t testing.TB) (client wire.Peer, in, out *atomic.Int64) {
	srv := httptest.NewServer(wire.NewPeerServer(emptyPeer{}))
	in, out = new(atomic.Int64), new(atomic.Int64)
	tr := &http.Transport{DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, addr)
		return countingConn{c, in, out}, err
	}}
	t.Cleanup(func() {
		tr.CloseIdleConnections()
		srv.Close()
	})
	return wire.NewPeerProtobufClient(srv.URL, &http.Client{Transport: tr}), in, out
}

func fetch(t testing.TB, client wire.Peer) {
	req := &wire.FetchRequest{Kind: wire.DocumentKind_DOCUMENT_KIND_CONFIG, Version: 1 << 20, WaitMs: 10_000}
	if _, err := client.Fetch(t.Context(), req); err != nil {
		t.Fatal(err)
	}
}

// Guards against message sizes in the simulation that are smaller than those on the network.
func TestMessageSize(t *testing.T) {
	client, in, out := newPeerClient(t)
	const n = 20
	for range n {
		fetch(t, client)
	}
	t.Logf("request %d B, reply %d B", out.Load()/n, in.Load()/n)
	if out.Load()/n > requestBytes || in.Load()/n > replyBytes {
		t.Errorf("request %d B, reply %d B; the simulation uses %d and %d", out.Load()/n, in.Load()/n, requestBytes, replyBytes)
	}
}

// BenchmarkFetch measures client and server of one fetch together.
func BenchmarkFetch(b *testing.B) {
	client, _, _ := newPeerClient(b)
	for range b.N {
		fetch(b, client)
	}
}
