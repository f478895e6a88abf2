package kernel

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"go.uber.org/goleak"

	"github.com/currantpier/currantpier/kinds"
)

// fakeService returns err from Run at once, or runs until its context is done if err is nil.
type fakeService struct {
	name string
	err  error
}

func (s fakeService) Name() string { return s.name }
func (s fakeService) Dump(now time.Time) any {
	return map[string]string{"at": now.UTC().Format(time.RFC3339)}
}
func (s fakeService) Run(ctx context.Context) error {
	if s.err != nil {
		return s.err
	}
	<-ctx.Done()
	return ctx.Err()
}

// Guards against a process that keeps running after one of its services has failed.
func TestFailedServiceStopsOthers(t *testing.T) {
	defer goleak.VerifyNone(t)
	k := New()
	errFailed := errors.New("failed")
	for _, s := range []fakeService{{"a", nil}, {"b", errFailed}} {
		if err := k.Register(s); err != nil {
			t.Fatal(err)
		}
	}
	k.Start(context.Background())
	if err := <-k.Done(); !errors.Is(err, errFailed) || !strings.Contains(err.Error(), "service b") {
		t.Errorf("Done = %v, want the error of service b", err)
	}
}

// Guards against a regular stop that is reported as an error, and against goroutines that outlive it.
func TestCancelReturnsNoError(t *testing.T) {
	defer goleak.VerifyNone(t)
	k := New()
	if err := k.Register(fakeService{name: "a"}); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	k.Start(ctx)
	cancel()
	if err := <-k.Done(); err != nil {
		t.Errorf("Done = %v, want nil after the context was cancelled", err)
	}
}

// Guards against two services under one name, and against an unknown name that is not reported as such.
func TestRegistryAndDump(t *testing.T) {
	k := New()
	if err := k.Register(fakeService{name: "a"}); err != nil {
		t.Fatal(err)
	}
	if err := k.Register(fakeService{name: "a"}); kinds.Of(err) != kinds.Conflict {
		t.Errorf("second Register = %v, want conflict", err)
	}
	if _, err := k.Service("z"); kinds.Of(err) != kinds.NotFound {
		t.Errorf("Find(z) = %v, want not-found", err)
	}
	var buf bytes.Buffer
	if err := k.WriteDump(&buf, time.Unix(0, 0)); err != nil || !strings.Contains(buf.String(), "1970-01-01") {
		t.Errorf("WriteDump = %v and wrote %s, want the time passed to Dump", err, buf.String())
	}
	if err := k.WriteDump(&buf, time.Unix(0, 0), "z"); kinds.Of(err) != kinds.NotFound {
		t.Errorf("WriteDump(z) = %v, want not-found", err)
	}
}

// Guards against a panic in one step that ends the process, or that is not logged.
func TestGuard(t *testing.T) {
	var buf bytes.Buffer
	if Guard(log.NewLogfmtLogger(&buf), "step", func() { panic("an unexpected value") }) {
		t.Error("a step that panicked counts as done")
	}
	if line := buf.String(); !strings.Contains(line, "event=internal-fault step=step value=\"an unexpected value\"") {
		t.Errorf("log: %s", line)
	}
	if !Guard(log.NewNopLogger(), "step", func() {}) {
		t.Error("a step that returned counts as failed")
	}
}
