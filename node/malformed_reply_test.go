package node

import (
	"io"
	"net"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/currantpier/currantpier/codec"
	"github.com/currantpier/currantpier/wire"
)

// Guards against a malformed reply of another daemon that is taken for one.
func TestMalformedReplyIsNoReply(t *testing.T) {
	const rest = "Content-Type: application/protobuf\r\nContent-Length: 0\r\n\r\n"
	for head, ok := range map[string]bool{
		"HTTP/1.1 200 OK\r\n":                              true,
		"HTTP/1.1 000 OK\r\n":                              false,
		"HTTP/1.1 200 OK\r\nA B: c\r\n":                    false,
		"HTTP/1.1 103 x\r\nA B: c\r\n\r\nHTTP/1.1 200\r\n": false,
	} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			_, _ = nc.Read(make([]byte, 4<<10))
			_, _ = io.WriteString(nc, head+rest)
			_ = nc.Close()
		}()
		p := NewPeers()
		_, err = p.At(ln.Addr().String()).Probe(t.Context(), &wire.ProbeRequest{})
		if (err == nil) != ok || !ok && !errors.Is(err, codec.ErrMalformed) {
			t.Errorf("%q: error %v", head, err)
		}
		p.Close()
		_ = ln.Close()
	}
}
