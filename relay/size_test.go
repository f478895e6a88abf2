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

// empty answers every Fetch without a document.
type empty struct{ wire.Peer }

func (empty) Fetch(context.Context, *wire.FetchRequest) (*wire.Document, error) {
	return &wire.Document{Kind: wire.DocumentKind_DOCUMENT_KIND_CONFIG}, nil
}

// counted counts the bytes of a connection.
type counted struct {
	net.Conn
	in, out *atomic.Int64
}

func (c counted) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.in.Add(int64(n))
	return n, err
}

func (c counted) Write(b []byte) (int, error) {
	c.out.Add(int64(len(b)))
	return c.Conn.Write(b)
}

// Guards against message sizes in the simulation that are smaller than those on the network.
func TestMessageSize(t *testing.T) {
	srv := httptest.NewServer(wire.NewPeerServer(empty{}))
	defer srv.Close()
	var in, out atomic.Int64
	tr := &http.Transport{DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, addr)
		return counted{c, &in, &out}, err
	}}
	defer tr.CloseIdleConnections()
	client := wire.NewPeerProtobufClient(srv.URL, &http.Client{Transport: tr})
	const n = 20
	for range n {
		req := &wire.FetchRequest{Kind: wire.DocumentKind_DOCUMENT_KIND_CONFIG, Version: 1 << 20, WaitMs: 10_000}
		if _, err := client.Fetch(t.Context(), req); err != nil {
			t.Fatal(err)
		}
	}
	t.Logf("request %d B, reply %d B", out.Load()/n, in.Load()/n)
	if out.Load()/n > requestBytes || in.Load()/n > replyBytes {
		t.Errorf("request %d B, reply %d B; the simulation uses %d and %d", out.Load()/n, in.Load()/n, requestBytes, replyBytes)
	}
}
