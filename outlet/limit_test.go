package outlet

import (
	"io"
	"testing"

	"github.com/cockroachdb/errors"
)

// endlessReader returns bytes without end.
type endlessReader struct{}

func (endlessReader) Read(p []byte) (int, error) { return len(p), nil }

// Guards against a single response that grows without bound while memory is available.
func TestResponseSizeIsBounded(t *testing.T) {
	b := &limitedReader{r: endlessReader{}}
	n, err := io.Copy(io.Discard, io.LimitReader(b, 2*MaxResponseBytes))
	if !errors.Is(err, ErrResponseTooLarge) || n > MaxResponseBytes {
		t.Errorf("read %d bytes, error %v", n, err)
	}
}
