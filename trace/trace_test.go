package trace

import (
	"context"
	"strings"
	"sync"
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

// blocked is a reader that has stopped.
type blocked struct{ until chan struct{} }

func (b blocked) Write(p []byte) (int, error) {
	<-b.until
	return len(p), nil
}

// Guards against a request that waits for the log, and lines that are lost without a word.
func TestStoppedReaderBlocksNobody(t *testing.T) {
	l := New("vm")
	ctx, cancel := context.WithCancel(context.Background())
	until := make(chan struct{})
	done := make(chan error, 1)
	go func() { done <- l.Run(ctx, blocked{until}) }()
	events := []Event{Start, Stop, Reload, Lost, Regained, Config, Refused, Failed, Retried, Late}
	n := 0
	for s := range 20 {
		for _, e := range events {
			for range perSecond {
				l.Add(start.Add(time.Duration(s)*time.Second), e, "n", n)
				n++
			}
		}
	}
	c := l.Counts()
	if c.Full == 0 || int(c.Sent+c.Full) != n {
		t.Errorf("%d lines, counted %+v", n, c)
	}
	cancel()
	close(until)
	if err := <-done; err != nil {
		t.Error(err)
	}
}

type buffer struct {
	mu sync.Mutex
	b  strings.Builder
}

func (b *buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

// Guards against a flood of one event that hides the others, and a bound that does not say what it dropped.
func TestBoundPerEvent(t *testing.T) {
	l := New("vm")
	for i := range 100 {
		l.Add(start, Refused, "id", i)
	}
	l.Add(start, Config, "version", 7)
	l.Add(start.Add(time.Second), Refused, "id", "next")
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	var out buffer
	if err := l.Run(ctx, &out); err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSpace(out.b.String()), "\n")
	if len(lines) != perSecond+2 {
		t.Errorf("%d lines, want %d", len(lines), perSecond+2)
	}
	if last := lines[len(lines)-1]; !strings.Contains(last, "id=next dropped-before=80") {
		t.Errorf("last line %q does not say that 80 were dropped", last)
	}
}
