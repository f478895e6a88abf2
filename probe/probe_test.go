package probe

import (
	"context"
	"math/rand"
	"slices"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/currantpier/currantpier/fleet"
	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/proto"
)

// fixedSource has targets of region a and a registry that was confirmed at a fixed time.
type fixedSource struct {
	snapshot  *fleet.Snapshot
	confirmed time.Time
	isolated  bool
}

func (f *fixedSource) Snapshot() *fleet.Snapshot      { return f.snapshot }
func (f *fixedSource) Group(time.Time) []proto.VMInfo { return group(1) }
func (f *fixedSource) Isolated(time.Time) bool        { return f.isolated }
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
	reports := make(chan fleet.ColdReport, 16)
	s := New("vm0", &fixedSource{snapshot: snapshot(4, probed), confirmed: time.Now().Add(-time.Minute)}, asker, time.Now, rand.NewSource(1),
		func(_ context.Context, c fleet.ColdReport) { reports <- c })
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx) }()
	// The second report comes after both targets have been asked again.
	for range 2 {
		if c := <-reports; c != (fleet.ColdReport{ID: "t0", Left: time.Second}) {
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

// answerAsker answers each health request in the same way.
type answerAsker struct {
	left time.Duration
	err  error
}

func (a answerAsker) AskWarmup(context.Context, fleet.Target) (time.Duration, error) {
	return a.left, a.err
}

// Guards against a target that has started again and is taken for warm, and against one that is taken for cold although it only closed a
// connection.
func TestConnectionFailure(t *testing.T) {
	svc := probed
	svc.Warmup = 3 * time.Second
	refused := errors.Wrap(syscall.ECONNREFUSED, "connect")
	assumed := fleet.ColdReport{ID: "t0", Left: 3 * time.Second, Assumed: true, Refused: true}
	for _, tt := range []struct {
		name    string
		refused bool
		asker   answerAsker
		want    fleet.ColdReport
	}{
		{"refused", true, answerAsker{}, assumed},
		{"closed, then refused", false, answerAsker{err: refused}, assumed},
		{"closed, cold", false, answerAsker{left: time.Second}, fleet.ColdReport{ID: "t0", Left: time.Second}},
		{"closed, warm", false, answerAsker{}, fleet.ColdReport{}},
		{"closed, no answer", false, answerAsker{err: context.DeadlineExceeded}, fleet.ColdReport{}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			reports := make(chan fleet.ColdReport, 16)
			s := New("vm0", &fixedSource{snapshot: snapshot(1, svc), confirmed: time.Now().Add(time.Hour)}, tt.asker, time.Now, rand.NewSource(1),
				func(_ context.Context, c fleet.ColdReport) { reports <- c })
			target := s.Source.Snapshot().Targets["s"][0]
			if tt.refused {
				s.assumeCold(context.Background(), s.Clock(), &target)
			} else {
				s.ask(context.Background(), target)
			}
			close(reports)
			if got := <-reports; got != tt.want {
				t.Errorf("reported %+v, want %+v", got, tt.want)
			}
		})
	}
}

// Guards against checks that failed connections postpone: while these keep arriving, no target would be asked, neither those assumed to
// be cold nor, with a stale registry, any other.
func TestFailuresDontPostponeChecks(t *testing.T) {
	for _, stale := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			snap, confirmed := snapshot(4, probed), time.Now().Add(-time.Minute)
			if !stale {
				confirmed = time.Now().Add(time.Hour)
				snap.Targets["s"][2].ColdUntil, snap.Targets["s"][2].ColdAssumed, snap.AssumedCold = time.Now().Add(time.Hour), true, 1
			}
			asker := &coldAsker{asked: map[ident.Target]int{}}
			s := New("vm0", &fixedSource{snapshot: snap, confirmed: confirmed}, asker, time.Now, rand.NewSource(1),
				func(context.Context, fleet.ColdReport) {})
			ctx, cancel := context.WithCancel(context.Background())
			ended := make(chan error, 1)
			go func() { ended <- s.Run(ctx) }()
			for range 300 {
				s.ConnectionFailed(snap.Targets["s"][3], false)
				time.Sleep(checkInterval / 10)
			}
			cancel()
			<-ended
			if n := asker.asked["t2"]; n < 5 {
				t.Errorf("stale %v: t2 was asked %d times in 1.5 s, want 5 or more", stale, n)
			}
		})
	}
}

// slowAsker answers after a time that the target is warm.
type slowAsker time.Duration

func (a slowAsker) AskWarmup(ctx context.Context, _ fleet.Target) (time.Duration, error) {
	select {
	case <-time.After(time.Duration(a)):
		return 0, nil
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

// Guards against answers that are waited for in an isolated region while the target gets the requests of a warm one, and against busy
// targets that count as cold elsewhere. Also against an assumption that outlasts the answer that the target is warm.
func TestReportsOfService(t *testing.T) {
	overdue, warm := fleet.ColdReport{ID: "t0", Left: overdueWarmup, Assumed: true}, fleet.ColdReport{ID: "t0"}
	for _, tt := range []struct {
		name                     string
		stale, isolated, assumed bool
		answer                   time.Duration
		want                     []fleet.ColdReport
	}{
		{"isolated, late", true, true, false, 2 * overdueAfter, []fleet.ColdReport{overdue, warm}},
		{"isolated, in time", true, true, false, overdueAfter / 2, nil},
		{"isolated, no answer", true, true, false, time.Hour, []fleet.ColdReport{overdue}},
		{"not isolated, late", true, false, false, 2 * overdueAfter, nil},
		{"registry known", false, true, false, 2 * overdueAfter, nil},
		{"assumed, warm", false, false, true, 0, []fleet.ColdReport{warm}},
		{"assumed, no answer", false, false, true, time.Hour, nil},
		{"assumed, no answer, isolated, registry known", false, true, true, time.Hour, nil},
	} {
		synctest.Test(t, func(t *testing.T) {
			source := &fixedSource{snapshot: snapshot(1, probed), confirmed: time.Now().Add(time.Hour), isolated: tt.isolated}
			if tt.stale {
				source.confirmed = time.Now().Add(-time.Minute)
			}
			if target := &source.snapshot.Targets["s"][0]; tt.assumed {
				target.ColdUntil, target.ColdAssumed, source.snapshot.AssumedCold = time.Now().Add(time.Second), true, 1
			}
			var mu sync.Mutex
			var got []fleet.ColdReport
			s := New("vm0", source, slowAsker(tt.answer), time.Now, rand.NewSource(1), func(_ context.Context, c fleet.ColdReport) {
				mu.Lock()
				defer mu.Unlock()
				// The snapshot stays as it was, so that reports are repeated.
				if !slices.Contains(got, c) {
					got = append(got, c)
				}
			})
			ctx, cancel := context.WithCancel(context.Background())
			ended := make(chan error, 1)
			go func() { ended <- s.Run(ctx) }()
			time.Sleep(askInterval + 2*overdueAfter)
			cancel()
			<-ended
			if !slices.Equal(got, tt.want) {
				t.Errorf("%s: %+v, want %+v", tt.name, got, tt.want)
			}
		})
	}
}
