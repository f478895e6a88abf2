package probe

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/currantpier/currantpier/fleet"
	"github.com/currantpier/currantpier/proto"
)

const (
	// checkInterval is the time between two checks for targets to ask while the registry is stale.
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
	// RegistryConfirmed returns when the registry was last read or received.
	RegistryConfirmed() time.Time
}

// Asker sends one health request to a target and returns the remaining warm-up.
type Asker interface {
	AskWarmup(ctx context.Context, t fleet.Target) (time.Duration, error)
}

// Service asks targets and reports those that are cold.
type Service struct {
	// Report is called with each cold target, from any goroutine.
	Report  func(ctx context.Context, c proto.ColdTarget)
	Source  Source
	Asker   Asker
	Clock   func() time.Time
	Planner *Planner

	mu   sync.Mutex
	sent atomic.Uint64
}

// Name implements kernel.Service.
func (*Service) Name() string { return "probe" }

// Dump implements kernel.Service.
func (s *Service) Dump(time.Time) any { return map[string]uint64{"sent": s.sent.Load()} }

// Sent returns the number of requests that were sent.
func (s *Service) Sent() uint64 { return s.sent.Load() }

// Run implements kernel.Service.
func (s *Service) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for {
		wait := untilStale(s.Clock(), s.Source.RegistryConfirmed())
		select {
		case <-time.After(max(wait, checkInterval)):
		case <-ctx.Done():
			return g.Wait()
		}
		for _, t := range s.due(s.Clock()) {
			g.Go(func() error {
				s.ask(ctx, t)
				return nil
			})
		}
	}
}

func (s *Service) due(now time.Time) []fleet.Target {
	if untilStale(now, s.Source.RegistryConfirmed()) > 0 {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Planner.Due(now, s.Source.Snapshot(), s.Source.Group(now))
}

// ask sends one request and reports the target if it is cold. A target that doesn't answer is asked again.
func (s *Service) ask(ctx context.Context, t fleet.Target) {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	s.sent.Add(1)
	left, err := s.Asker.AskWarmup(ctx, t)
	if err == nil && left > 0 {
		s.Report(ctx, proto.ColdTarget{ID: t.ID, StartedUnixMS: t.StartedUnixMS, Left: left})
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Planner.Done(t.ID)
}
