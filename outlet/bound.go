package outlet

import (
	"io"
	"sync/atomic"
)

// memory bounds the bytes of all answers that are being read. Each target can send as much as it likes, and many can fail in
// the same way at once. It is safe for concurrent use.
type memory struct {
	most int64
	used atomic.Int64
}

// take reserves n bytes and reports false if there is not enough left.
func (m *memory) take(n int64) bool {
	if m.used.Add(n) > m.most {
		m.used.Add(-n)
		return false
	}
	return true
}

// bounded reads from a connection as much as one answer may have.
type bounded struct {
	r      io.Reader
	memory *memory
	// read is the number of bytes since begin, reserved the part of them that was taken from memory.
	read, reserved int64
}

// begin starts an answer, end gives its memory back. Between answers nothing is read.
func (b *bounded) begin(m *memory) { b.memory, b.read = m, 0 }

func (b *bounded) end() {
	b.memory.used.Add(-b.reserved)
	b.reserved = 0
}

// Read implements io.Reader.
func (b *bounded) Read(p []byte) (int, error) {
	n, err := b.r.Read(p)
	b.read += int64(n)
	if b.read > AnswerBytes {
		return 0, ErrAnswerTooLong
	}
	if more := b.read - smallAnswer - b.reserved; more > 0 {
		if !b.memory.take(more) {
			return 0, ErrAnswerTooLong
		}
		b.reserved += more
	}
	return n, err
}
