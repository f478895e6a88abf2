package outlet

import (
	"io"
	"sync/atomic"
)

// memoryLimit bounds the total size of all responses that are being read. Many targets can send oversized responses at
// the same time. It is safe for concurrent use.
type memoryLimit struct {
	limit int64
	used  atomic.Int64
}

// reserve reserves n bytes. It reports false, without reserving any, if fewer are left.
func (m *memoryLimit) reserve(n int64) bool {
	if m.used.Add(n) > m.limit {
		m.used.Add(-n)
		return false
	}
	return true
}

// limitedReader reads from a connection and bounds the bytes of each response.
type limitedReader struct {
	r      io.Reader
	memory *memoryLimit
	// read is the number of bytes since beginResponse; reserved is the number of them that count towards memory.
	read, reserved int64
}

// beginResponse starts a response and endResponse releases its reserved memory. Nothing is read between responses.
func (b *limitedReader) beginResponse(m *memoryLimit) { b.memory, b.read = m, 0 }

func (b *limitedReader) endResponse() {
	b.memory.used.Add(-b.reserved)
	b.reserved = 0
}

// Read implements io.Reader.
func (b *limitedReader) Read(p []byte) (int, error) {
	n, err := b.r.Read(p)
	b.read += int64(n)
	if b.read > MaxResponseBytes {
		return 0, ErrResponseTooLarge
	}
	if more := b.read - unreservedBytes - b.reserved; more > 0 {
		if !b.memory.reserve(more) {
			return 0, ErrResponseTooLarge
		}
		b.reserved += more
	}
	return n, err
}
