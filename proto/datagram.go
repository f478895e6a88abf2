package proto

import (
	"bytes"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/klauspost/compress/flate"
)

const (
	// minDeflateBytes is the size above which a message is compressed. A configuration is sent to all VMs of a region
	// at once; uncompressed, half of the datagrams were lost on links of 10 Mbit/s.
	minDeflateBytes = 1024
	// maxMessageBytes limits a decompressed message. A longer one is refused: cut between two fields, it would be decoded
	// as a message with fewer rows.
	maxMessageBytes = 4 << 20
)

// The first byte of a datagram: how the message after it is encoded.
const (
	encodingPlain byte = iota
	encodingDeflate
)

// AppendDatagram appends the datagram for a message to b.
func AppendDatagram(b []byte, m *Message) []byte {
	start := len(b)
	b = m.Append(append(b, encodingPlain))
	// Heartbeats have no pattern to compress: they would cost CPU time for little gain.
	if len(b)-start <= minDeflateBytes || m.Registry == nil && m.OperatorChange == nil {
		return b
	}
	var compressed bytes.Buffer
	compressed.WriteByte(encodingDeflate)
	// The stateless writer keeps no memory between messages.
	if err := flate.StatelessDeflate(&compressed, b[start+1:], true, nil); err != nil || compressed.Len() >= len(b)-start {
		return b
	}
	return append(b[:start], compressed.Bytes()...)
}

// DecodeDatagram decodes a datagram that AppendDatagram has encoded.
func DecodeDatagram(b []byte) (Message, error) {
	if len(b) == 0 {
		return Message{}, errMalformed
	}
	switch b[0] {
	case encodingPlain:
		return DecodeMessage(b[1:])
	case encodingDeflate:
		r := flate.NewReader(bytes.NewReader(b[1:]))
		decompressed, err := io.ReadAll(io.LimitReader(r, maxMessageBytes+1))
		if err != nil {
			return Message{}, errors.Wrap(err, "decompress")
		}
		if len(decompressed) > maxMessageBytes {
			return Message{}, errors.Wrap(errMalformed, "message over the limit")
		}
		return DecodeMessage(decompressed)
	}
	return Message{}, errMalformed
}
