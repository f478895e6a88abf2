package outlet

import (
	"io"
	"math"
	"testing"

	"github.com/cockroachdb/errors"
)

// endless delivers bytes without end.
type endless struct{}

func (endless) Read(p []byte) (int, error) { return len(p), nil }

// Guards against one answer that grows without end although there is memory, and against memory that is not given back.
func TestOneAnswerIsBounded(t *testing.T) {
	m := &memory{most: math.MaxInt64}
	b := &bounded{r: endless{}}
	b.begin(m)
	n, err := io.Copy(io.Discard, io.LimitReader(b, 2*AnswerBytes))
	if !errors.Is(err, ErrAnswerTooLong) || n > AnswerBytes {
		t.Errorf("read %d bytes, error %v", n, err)
	}
	b.end()
	if used := m.used.Load(); used != 0 {
		t.Errorf("%d bytes are still reserved", used)
	}
}
