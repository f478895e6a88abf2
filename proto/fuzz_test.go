package proto

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Guards against a datagram that crashes the process, and against a message that differs after decoding and encoding.
func FuzzDecodeDatagram(f *testing.F) {
	full := fullMessage()
	whole := AppendDatagram(nil, &full)
	f.Add(whole)
	for _, n := range []int{1, 2, len(whole) / 3, len(whole) / 2, len(whole) - 1} {
		f.Add(whole[:n])
	}
	for i := 0; i < len(whole); i += 7 {
		b := append([]byte(nil), whole...)
		b[i] ^= 0xff
		f.Add(b)
	}
	f.Add([]byte{encodingDeflate, 0, 1, 2})
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := DecodeDatagram(b)
		if err != nil {
			return
		}
		again, err := DecodeMessage(m.Append(nil))
		if err != nil {
			t.Fatalf("decoding the encoding of a decoded message: %v", err)
		}
		if d := cmp.Diff(m.Append(nil), again.Append(nil)); d != "" {
			t.Error(d)
		}
	})
}
