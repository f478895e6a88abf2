package outlet

import "io"

// limitedReader reads from a connection and bounds the bytes that are read during one request.
type limitedReader struct {
	r io.Reader
	// read is the number of bytes since the request was written. Nothing is read between requests.
	read int64
}

// Read implements io.Reader.
func (b *limitedReader) Read(p []byte) (int, error) {
	n, err := b.r.Read(p)
	b.read += int64(n)
	if b.read > MaxResponseBytes {
		return 0, ErrResponseTooLarge
	}
	return n, err
}
