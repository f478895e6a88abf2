package node

import (
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/currantpier/currantpier/codec"
	"github.com/currantpier/currantpier/stubs"
	"github.com/currantpier/currantpier/wire"
)

// Guards against a malformed reply of another daemon that is taken for one.
func TestMalformedReplyIsNoReply(t *testing.T) {
	const kind, length = "Content-Type: application/protobuf\r\n", "Content-Length: 0\r\n\r\n"
	for text, ok := range map[string]bool{
		"HTTP/1.1 200 OK\r\n" + kind + length:                                        true,
		"HTTP/1.1 200 OK\r\n" + kind + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n": true,
		"HTTP/1.1 000 OK\r\n" + kind + length:                                        false,
		"HTTP/1.1 200 OK\r\nA B: c\r\n" + kind + length:                              false,
		"HTTP/1.1 103 x\r\nA B: c\r\n\r\nHTTP/1.1 200\r\n" + kind + length:           false,
		"HTTP/1.1 200 OK\r\n" + kind + "\n" + length:                                 false,
		"HTTP/1.1 200 OK\r\n" + kind + "\r\n":                                        false,
	} {
		raw, err := stubs.NewRaw(text)
		if err != nil {
			t.Fatal(err)
		}
		p := NewPeers()
		_, err = p.At(raw.Address()).Probe(t.Context(), &wire.ProbeRequest{})
		if (err == nil) != ok || !ok && !errors.Is(err, codec.ErrMalformed) {
			t.Errorf("%q: error %v", text, err)
		}
		p.Close()
		raw.Close()
	}
}
