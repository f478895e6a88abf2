package probe

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/currantpier/currantpier/fleet"
	"github.com/currantpier/currantpier/ident"
)

// maxAskDelay bounds the random delay between the end of a connection and the request to its target. When all connections to a target
// are reset at once, the first VM to ask tells the others, so that most of them needn't ask.
const maxAskDelay = 200 * time.Millisecond

// failure is a connection to a target that failed.
type failure struct {
	target fleet.Target
	// refused is set if no process listened at the target's address.
	refused bool
}

// failureSet collects failed connections, one for each target. It is safe for concurrent use.
type failureSet struct {
	mu       sync.Mutex
	byTarget map[ident.Target]failure
	// wake has a value if failures were added since the last call of take.
	wake chan struct{}
}

func newFailureSet() *failureSet {
	return &failureSet{byTarget: map[ident.Target]failure{}, wake: make(chan struct{}, 1)}
}

// add adds a failure without blocking. One of a later start of the target replaces others; at the same start, a refused connection says
// more than one that has ended.
func (s *failureSet) add(f failure) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if old, ok := s.byTarget[f.target.ID]; ok {
		if f.target.StartedUnixMS < old.target.StartedUnixMS {
			return
		}
		f.refused = f.refused || old.refused && f.target.StartedUnixMS == old.target.StartedUnixMS
	}
	s.byTarget[f.target.ID] = f
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// take removes all failures and returns them in the order of their targets' ids, so that a seeded source gives reproducible delays.
func (s *failureSet) take() []failure {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := slices.SortedFunc(maps.Values(s.byTarget), func(a, b failure) int { return cmp.Compare(a.target.ID, b.target.ID) })
	clear(s.byTarget)
	return all
}

// delayedRequest is a request to a target after a connection to it has ended.
type delayedRequest struct {
	at time.Time
	// target is the target as it was when the connection ended.
	target fleet.Target
}

// AskLater plans a request to a target, a connection to which has ended, after a random delay. It does nothing if one is planned, or if
// the target is no longer registered as it was.
func (p *Planner) AskLater(now time.Time, s *fleet.Snapshot, t *fleet.Target) {
	present := find(s, t)
	if _, ok := p.delayed[t.ID]; ok || present == nil {
		return
	}
	p.delayed[t.ID] = delayedRequest{now.Add(time.Duration(p.rnd.Int63n(int64(maxAskDelay) + 1))), *present}
}

// DueAfterDelay returns the targets to ask whose delay has ended, and records them as asked. Those about which another VM has told
// anything since are left out.
func (p *Planner) DueAfterDelay(now time.Time, s *fleet.Snapshot) (due []fleet.Target) {
	for id, d := range p.delayed {
		if now.Before(d.at) {
			continue
		}
		delete(p.delayed, id)
		t := find(s, &d.target)
		if t != nil && t.ColdUntil.Equal(d.target.ColdUntil) && t.ColdAssumed == d.target.ColdAssumed && p.Ask(now, id) {
			due = append(due, *t)
		}
	}
	return due
}

// UntilDelayed returns the time until the first request that waits for its delay. It reports false if there is none.
func (p *Planner) UntilDelayed(now time.Time) (time.Duration, bool) {
	var first time.Time
	for _, d := range p.delayed {
		if first.IsZero() || d.at.Before(first) {
			first = d.at
		}
	}
	return max(first.Sub(now), 0), !first.IsZero()
}

// find returns a target in a snapshot, or nil if it has left or has started again since.
func find(s *fleet.Snapshot, t *fleet.Target) *fleet.Target {
	list := s.Targets[t.Service]
	i := slices.IndexFunc(list, func(x fleet.Target) bool {
		return x.ID == t.ID && x.StartedUnixMS == t.StartedUnixMS && x.Restarts == t.Restarts
	})
	if i < 0 {
		return nil
	}
	return &list[i]
}
