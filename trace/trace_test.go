package trace

import (
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

var start = time.Unix(1000, 0)

// blockedWriter blocks each write until released is closed.
type blockedWriter struct{ released chan struct{} }

func (b blockedWriter) Write(p []byte) (int, error) {
	<-b.released
	return len(p), nil
}

// Guards against requests that wait for a blocked log writer, and against lines that are dropped without being counted.
func TestAddNeverBlocks(t *testing.T) {
	l := New("vm")
	ctx, cancel := context.WithCancel(context.Background())
	until := make(chan struct{})
	done := make(chan error, 1)
	go func() { done <- l.Run(ctx, blockedWriter{until}) }()
	events := []Event{Start, Stop, Reload, DependencyLost, DependencyRegained, Config, Refused, Failed, Retried, Late}
	n := 0
	for s := range 20 {
		for _, e := range events {
			for range maxLinesPerSecond {
				l.Add(start.Add(time.Duration(s)*time.Second), e, "n", n)
				n++
			}
		}
	}
	c := l.QueueCounts()
	if c.Full == 0 || int(c.Sent+c.Full) != n {
		t.Errorf("%d lines added, counts %+v", n, c)
	}
	cancel()
	close(until)
	if err := <-done; err != nil {
		t.Error(err)
	}
}

type lockedBuffer struct {
	mu sync.Mutex
	b  strings.Builder
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

// Guards against a flood of one event that displaces other events, and a limit whose dropped lines are not reported.
func TestLimitPerEvent(t *testing.T) {
	l := New("vm")
	for i := range 100 {
		l.Add(start, Refused, "id", i)
	}
	l.Add(start, Config, "version", 7)
	l.Add(start.Add(time.Second), Refused, "id", "next")
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	var out lockedBuffer
	if err := l.Run(ctx, &out); err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSpace(out.b.String()), "\n")
	if len(lines) != maxLinesPerSecond+2 {
		t.Errorf("%d lines, want %d", len(lines), maxLinesPerSecond+2)
	}
	if last := lines[len(lines)-1]; !strings.Contains(last, "id=next dropped-before=80") {
		t.Errorf("last line %q lacks the count of 80 dropped lines", last)
	}
}

// Guards against lines of any length: an error quotes what another writer has left in the store, up to 64 KB, again with each of its
// changes.
func TestLongValuesAreShortened(t *testing.T) {
	long := strings.Repeat("9", 64<<10)
	for _, value := range []any{long, errors.New(long), strings.Repeat("\u20ac", 20<<10)} {
		l, out := New("vm"), &lockedBuffer{}
		l.Add(start, BadEntry, "key", "k", "err", value)
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		if err := l.Run(ctx, out); err != nil {
			t.Fatal(err)
		}
		if n := out.b.Len(); n > 3*maxValueBytes || !strings.Contains(out.b.String(), "...") || !strings.Contains(out.b.String(), "key=k") {
			t.Errorf("a value of %T became a line of %d bytes", value, n)
		}
	}
}
