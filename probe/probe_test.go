package probe

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/currantpier/currantpier/fleet"
	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/proto"
)

// fixedSource has targets of region a and a registry that was confirmed at a fixed time.
type fixedSource struct {
	snapshot  *fleet.Snapshot
	confirmed time.Time
}

func (f *fixedSource) Snapshot() *fleet.Snapshot      { return f.snapshot }
func (f *fixedSource) Group(time.Time) []proto.VMInfo { return group(1) }
func (f *fixedSource) RegistryConfirmed() time.Time   { return f.confirmed }

// coldAsker answers that t0 is cold and t2 is warm.
type coldAsker struct {
	mu    sync.Mutex
	asked map[ident.Target]int
}

func (a *coldAsker) AskWarmup(_ context.Context, t fleet.Target) (time.Duration, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.asked[t.ID]++
	if t.ID == "t0" {
		return time.Second, nil
	}
	return 0, nil
}

// Guards against a cold target that isn't reported, and against a warm one that is.
func TestColdTargetIsReported(t *testing.T) {
	asker := &coldAsker{asked: map[ident.Target]int{}}
	reports := make(chan proto.ColdTarget, 16)
	s := &Service{
		Source: &fixedSource{snapshot: snapshot(4, probed), confirmed: time.Now().Add(-time.Minute)}, Asker: asker, Clock: time.Now,
		Planner: NewPlanner("vm0"), Report: func(_ context.Context, c proto.ColdTarget) { reports <- c },
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx) }()
	// The second report comes after both targets have been asked again.
	for range 2 {
		if c := <-reports; c != (proto.ColdTarget{ID: "t0", Left: time.Second}) {
			t.Errorf("report %+v, want that t0 stays cold for 1 s", c)
		}
	}
	cancel()
	if err := <-ended; err != nil {
		t.Error(err)
	}
	if asker.asked["t2"] == 0 || s.Sent() < 3 {
		t.Errorf("asked %v, %d requests", asker.asked, s.Sent())
	}
}
