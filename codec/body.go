package codec

import (
	"bufio"
	"io"
	"net/http/httputil"

	"github.com/cockroachdb/errors"

	"github.com/currantpier/currantpier/memory"
)

// Values of a content length that is not stated, as fasthttp reports them.
const (
	chunkedLength = -1
	noLength      = -2 // the message ends with the connection
)

// minBodyBytes is the initial capacity of a body whose length is not stated.
const minBodyBytes = 1 << 10

// bodyReader reads one body. Memory is reserved before it is allocated, and grows as bytes arrive: a peer may announce a length or
// the size of a chunk and never send it.
type bodyReader struct {
	br *bufio.Reader
	// limit bounds the body in bytes; zero means no limit.
	limit    int
	reserved *memory.Reservation
	// initial is the capacity that is allocated before the first byte arrives.
	initial int
}

// read reads the body that follows a header with the given content length. Chunks are read up to the trailer, which is left
// unread. Errors are ErrBodyTooLarge, memory.ErrExhausted, io.ErrUnexpectedEOF or those of the connection.
func (d *bodyReader) read(length int) ([]byte, error) {
	switch {
	case length == 0:
		return nil, nil
	case length == chunkedLength:
		return d.readAll(httputil.NewChunkedReader(d.br), d.limit)
	case length < 0:
		return d.readAll(d.br, d.limit)
	case d.limit > 0 && length > d.limit:
		return nil, ErrBodyTooLarge
	}
	b, err := d.readAll(io.LimitReader(d.br, int64(length)), length)
	if err == nil && len(b) < length {
		err = io.ErrUnexpectedEOF
	}
	return b, err
}

// readAll reads from r until its end. A body of more than most bytes is an error, unless most is zero.
func (d *bodyReader) readAll(r io.Reader, most int) ([]byte, error) {
	var b []byte
	for size := max(d.initial, minBodyBytes); ; size = 2 * cap(b) {
		if most > 0 {
			size = min(size, most)
		}
		var err error
		if b, err = d.grow(b, size); err != nil {
			return nil, err
		}
		if b, err = fill(r, b); err == io.EOF {
			return b, nil
		}
		if err != nil {
			return nil, err
		}
		if len(b) == most {
			return b, d.expectEnd(r)
		}
	}
}

// grow returns b with the given capacity. Until b is copied, the old and the new memory are in use.
func (d *bodyReader) grow(b []byte, size int) ([]byte, error) {
	if !d.reserved.Resize(int64(cap(b) + size)) {
		return nil, memory.ErrExhausted
	}
	grown := append(make([]byte, 0, size), b...)
	d.reserved.Resize(int64(size))
	return grown, nil
}

// fill reads until b is full. The error is io.EOF if r ends before.
func fill(r io.Reader, b []byte) ([]byte, error) {
	for len(b) < cap(b) {
		n, err := r.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		if err != nil {
			return b, err
		}
	}
	return b, nil
}

// expectEnd returns ErrBodyTooLarge unless r has ended.
func (d *bodyReader) expectEnd(r io.Reader) error {
	var next [1]byte
	switch _, err := io.ReadFull(r, next[:]); {
	case err == nil:
		return ErrBodyTooLarge
	case err != io.EOF:
		return errors.Wrap(err, "end of body")
	}
	return nil
}
