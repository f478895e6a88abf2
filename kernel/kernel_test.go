package kernel

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/goleak"

	"github.com/currantpier/currantpier/kinds"
)

type fakeService struct {
	name string
	fail error
}

func (s fakeService) Name() string { return s.name }
func (s fakeService) Dump(now time.Time) any {
	return map[string]string{"at": now.UTC().Format(time.RFC3339)}
}
func (s fakeService) Run(ctx context.Context) error {
	if s.fail != nil {
		return s.fail
	}
	<-ctx.Done()
	return ctx.Err()
}

// Guards against a failed service that leaves the rest of the process running without it.
func TestFailureEndsAll(t *testing.T) {
	defer goleak.VerifyNone(t)
	k := New()
	boom := errors.New("boom")
	for _, s := range []fakeService{{"a", nil}, {"b", boom}} {
		if err := k.Register(s); err != nil {
			t.Fatal(err)
		}
	}
	k.Start(context.Background())
	if err := <-k.Done(); !errors.Is(err, boom) || !strings.Contains(err.Error(), "service b") {
		t.Errorf("Done = %v", err)
	}
}

func TestStopIsClean(t *testing.T) {
	defer goleak.VerifyNone(t)
	k := New()
	if err := k.Register(fakeService{name: "a"}); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	k.Start(ctx)
	cancel()
	if err := <-k.Done(); err != nil {
		t.Errorf("Done = %v, want nil after a stop", err)
	}
}

func TestRegistryAndDump(t *testing.T) {
	k := New()
	if err := k.Register(fakeService{name: "a"}); err != nil {
		t.Fatal(err)
	}
	if err := k.Register(fakeService{name: "a"}); kinds.Of(err) != kinds.Conflict {
		t.Errorf("second Register = %v, want a conflict", err)
	}
	if _, err := k.Find("z"); kinds.Of(err) != kinds.NotFound {
		t.Errorf("Find(z) = %v, want not-found", err)
	}
	var buf bytes.Buffer
	if err := k.WriteDump(&buf, time.Unix(0, 0)); err != nil || !strings.Contains(buf.String(), "1970-01-01") {
		t.Errorf("WriteDump = %v, %s", err, buf.String())
	}
	if err := k.WriteDump(&buf, time.Unix(0, 0), "z"); kinds.Of(err) != kinds.NotFound {
		t.Errorf("WriteDump(z) = %v, want not-found", err)
	}
}
