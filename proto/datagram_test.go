package proto

import (
	"bytes"
	"testing"

	"github.com/klauspost/compress/flate"
	"google.golang.org/protobuf/encoding/protowire"
)

// Guards against a message over the limit that is cut between two fields and then decoded as one with fewer rows.
func TestMessageOverLimitIsRefused(t *testing.T) {
	m := Message{Registry: &RegistryDelta{Version: 7, Full: true}}
	first := m.Append(nil)
	const unusedField = 1000
	padding := maxMessageBytes - len(first)
	padding -= protowire.SizeTag(unusedField) + protowire.SizeVarint(uint64(padding))
	b := protowire.AppendBytes(protowire.AppendTag(first, unusedField, protowire.BytesType), make([]byte, padding))
	if len(b) != maxMessageBytes {
		t.Fatalf("%d bytes, want %d", len(b), maxMessageBytes)
	}
	for _, tt := range []struct {
		name string
		b    []byte
		ok   bool
	}{{"at the limit", b, true}, {"over the limit", m.Append(b), false}} {
		datagram := bytes.NewBuffer([]byte{encodingDeflate})
		if err := flate.StatelessDeflate(datagram, tt.b, true, nil); err != nil {
			t.Fatal(err)
		}
		if got, err := DecodeDatagram(datagram.Bytes()); (err == nil) != tt.ok {
			t.Errorf("%s: registry %+v, error %v", tt.name, got.Registry, err)
		}
	}
}
