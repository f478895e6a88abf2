package outlet

import (
	"io"
	"math"
	"testing"

	"github.com/cockroachdb/errors"
)

// endlessReader returns bytes without end.
type endlessReader struct{}

func (endlessReader) Read(p []byte) (int, error) { return len(p), nil }

// Guards against a single response that grows without bound while memory is available, and against memory that is not
// released.
func TestResponseSizeIsBounded(t *testing.T) {
	m := &memoryLimit{limit: math.MaxInt64}
	b := &limitedReader{r: endlessReader{}}
	b.beginResponse(m)
	n, err := io.Copy(io.Discard, io.LimitReader(b, 2*MaxResponseBytes))
	if !errors.Is(err, ErrResponseTooLarge) || n > MaxResponseBytes {
		t.Errorf("read %d bytes, error %v", n, err)
	}
	b.endResponse()
	if used := m.used.Load(); used != 0 {
		t.Errorf("%d bytes are still reserved", used)
	}
}
