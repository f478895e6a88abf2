package probe

import (
	"context"
	"math/rand"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/currantpier/currantpier/fleet"
	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/proto"
)

const (
	// checkInterval is the time between two checks for targets to ask while there are any.
	checkInterval = 50 * time.Millisecond
	// answerTimeout bounds one request. Under load it waits for a slot.
	answerTimeout = time.Second
)

// Source is what the decisions depend on.
type Source interface {
	// Snapshot returns the targets in use.
	Snapshot() *fleet.Snapshot
	// Group returns the VMs of this VM's region that are alive, this one included.
	Group(now time.Time) []proto.VMInfo
	// Isolated reports whether this VM hears of no VM of any other region.
	Isolated(now time.Time) bool
	// RegistryConfirmed returns when the registry was last read or received.
	RegistryConfirmed() time.Time
}

// Asker sends one health request to a target and returns the remaining warm-up.
type Asker interface {
	AskWarmup(ctx context.Context, t fleet.Target) (time.Duration, error)
}

// Service asks targets and reports those that are cold.
type Service struct {
	// Report is called with what was found out about a target, from any goroutine.
	Report  func(ctx context.Context, c fleet.ColdReport)
	Source  Source
	Asker   Asker
	Clock   func() time.Time
	Planner *Planner

	failures *failureSet
	// mu guards Planner.
	mu   sync.Mutex
	sent atomic.Uint64
}

// New returns a service for a VM. Delays makes the random delays of requests after a connection has ended.
func New(self ident.VM, source Source, asker Asker, clock func() time.Time, delays rand.Source,
	report func(context.Context, fleet.ColdReport)) *Service {
	return &Service{Report: report, Source: source, Asker: asker, Clock: clock, Planner: NewPlanner(self, delays), failures: newFailureSet()}
}

// Name implements kernel.Service.
func (*Service) Name() string { return "probe" }

// Dump implements kernel.Service.
func (s *Service) Dump(time.Time) any { return map[string]uint64{"sent": s.sent.Load()} }

// Sent returns the number of requests that were sent.
func (s *Service) Sent() uint64 { return s.sent.Load() }

// ConnectionFailed records that a connection to a target failed. Refused is set if no process listens at its address: the target
// has ended, and is assumed to be cold until it says otherwise. After another failure it is asked. It doesn't block.
func (s *Service) ConnectionFailed(t fleet.Target, refused bool) { s.failures.add(failure{t, refused}) }

// Run implements kernel.Service.
func (s *Service) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	// A timer that failures don't restart: they can arrive at shorter intervals than the checks for as long as a target is down.
	timer := time.NewTimer(s.untilCheck(s.Clock()))
	defer timer.Stop()
	delay := time.NewTimer(maxAskDelay)
	defer delay.Stop()
	for {
		select {
		case <-timer.C:
			due, overdue := s.check(s.Clock())
			for _, c := range overdue {
				s.Report(ctx, c)
			}
			for _, t := range due {
				s.start(ctx, g, t)
			}
			timer.Reset(s.untilCheck(s.Clock()))
		case <-s.failures.wake:
			now := s.Clock()
			for _, f := range s.failures.take() {
				s.handleFailure(ctx, now, &f)
			}
			s.resetDelay(now, delay)
		case <-delay.C:
			now := s.Clock()
			for _, t := range s.dueAfterDelay(now) {
				s.start(ctx, g, t)
			}
			s.resetDelay(now, delay)
		case <-ctx.Done():
			return g.Wait()
		}
	}
}

// untilCheck returns the time until the next check for targets to ask.
func (s *Service) untilCheck(now time.Time) time.Duration {
	if s.Source.Snapshot().AssumedCold > 0 {
		return checkInterval
	}
	return min(max(untilStale(now, s.Source.RegistryConfirmed()), checkInterval), askInterval)
}

// check returns the targets to ask now, and reports of those whose answers are overdue.
func (s *Service) check(now time.Time) (due []fleet.Target, overdue []fleet.ColdReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Planner.Expire(now)
	snapshot, stale := s.Source.Snapshot(), untilStale(now, s.Source.RegistryConfirmed()) <= 0
	if stale && s.Source.Isolated(now) {
		overdue = s.Planner.Overdue(now, snapshot)
	}
	if stale || snapshot.AssumedCold > 0 {
		due = s.Planner.Due(now, snapshot, s.Source.Group(now), stale)
	}
	return due, overdue
}

// handleFailure reports a target that has refused a connection, and plans a request to another one.
func (s *Service) handleFailure(ctx context.Context, now time.Time, f *failure) {
	if f.refused {
		s.assumeCold(ctx, now, &f.target)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Planner.AskLater(now, s.Source.Snapshot(), &f.target)
}

// resetDelay sets the timer to the first of the planned requests.
func (s *Service) resetDelay(now time.Time, timer *time.Timer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if d, ok := s.Planner.UntilDelayed(now); ok {
		timer.Reset(d)
	}
}

// dueAfterDelay returns the targets to ask now whose connections have ended.
func (s *Service) dueAfterDelay(now time.Time) []fleet.Target {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Planner.DueAfterDelay(now, s.Source.Snapshot())
}

func (s *Service) start(ctx context.Context, g *errgroup.Group, t fleet.Target) {
	g.Go(func() error {
		s.ask(ctx, t)
		return nil
	})
}

// ask sends one request and reports what is news: that the target is cold, that it is warm although it was assumed to be cold, or that
// it has ended. A target that doesn't answer is asked again.
func (s *Service) ask(ctx context.Context, t fleet.Target) {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	s.sent.Add(1)
	left, err := s.Asker.AskWarmup(ctx, t)
	assumed := s.done(t.ID) || t.ColdAssumed
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		s.assumeCold(ctx, s.Clock(), &t)
	case err == nil && (left > 0 || assumed):
		s.Report(ctx, fleet.ColdReport{ID: t.ID, StartedUnixMS: t.StartedUnixMS, Left: left})
	}
}

func (s *Service) assumeCold(ctx context.Context, now time.Time, t *fleet.Target) {
	if c, ok := assumption(now, s.Source.Snapshot(), t); ok {
		s.Report(ctx, c)
	}
}

// done ends the wait for a target's answer, and reports whether it was reported as overdue.
func (s *Service) done(t ident.Target) (overdue bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Planner.Done(t)
}
