package state

import (
	"net"
	"testing"
	"time"

	"github.com/currantpier/currantpier/carry"
	"github.com/currantpier/currantpier/feed"
	"github.com/currantpier/currantpier/fleet"
	"github.com/currantpier/currantpier/proto"
)

// Simulates inputs of a VM that was stopped for 4 s, in the order in which they may be handled when it resumes. Guards against
// requests that are released while the configuration or the registry is the one from before the pause: they run outside the
// present homes of their routes, or at targets that have left.
func TestRequestsAreHeldUntilBothTablesAreReadAfterPause(t *testing.T) {
	start := time.Unix(1000, 0)
	resumed := start.Add(4 * time.Second)
	readingOf := func(topic Topic, begun time.Time, err error) reading {
		return reading{at: resumed, topic: topic, source: fromStore, err: err, rows: feed.Rows{After: 5, Version: 6, Begun: begun}}
	}
	queued := proto.Message{Registry: &proto.RegistryDelta{After: 5, Version: 6,
		Rows: []fleet.Row{{Entry: fleet.Entry{ID: "t2", Ready: true, Sequence: 6}}}}}
	for _, tt := range []struct {
		name string
		// tick makes the first check after the pause that of a tick, and not that of the first input.
		tick     bool
		message  bool
		readings []reading
		held     bool
	}{
		{"nothing handled", true, false, nil, true},
		{"a peer's changes that waited in the socket, before the first tick", false, true, nil, true},
		{"a peer's changes that waited in the socket", true, true, nil, true},
		{"an answer to a call from before the pause", true, false,
			[]reading{readingOf(Registry, start.Add(tickInterval), nil), readingOf(Operator, start, nil)}, true},
		{"calls that began after the pause, before it was noticed", true, false,
			[]reading{readingOf(Registry, resumed.Add(-time.Millisecond), nil), readingOf(Operator, resumed.Add(-time.Millisecond), nil)}, false},
		{"only the registry read", true, false, []reading{readingOf(Registry, resumed, nil)}, true},
		{"only the operators' table read", true, false, []reading{readingOf(Operator, resumed, nil)}, true},
		{"both tables read", true, false, []reading{readingOf(Registry, resumed, nil), readingOf(Operator, resumed, nil)}, false},
		{"the store can't be reached", true, false,
			[]reading{readingOf(Registry, resumed, net.ErrClosed), readingOf(Operator, resumed, net.ErrClosed)}, false},
	} {
		now := start
		s, _ := configState(start)
		s.cfg.Clock = func() time.Time { return now }
		s.cfg.Forwarder = carry.New(carry.Config{VM: "vm", Log: s.cfg.Log, Clock: s.cfg.Clock})
		s.checkPause(now)
		now = resumed
		if tt.tick {
			s.checkPause(now)
		}
		if tt.message {
			s.applyInput(now, "news", func() bool { return s.applyPeerMessage(now, queued) })
		}
		for _, r := range tt.readings {
			s.applyInput(r.at, "reading", func() bool { return s.applyReading(r) })
		}
		if s.holdsRequests(now) != tt.held {
			t.Errorf("%s: requests held: %v, want %v", tt.name, !tt.held, tt.held)
		}
		if s.holdsRequests(now.Add(maxHold)) {
			t.Errorf("%s: requests are held for %v", tt.name, maxHold)
		}
	}
}

// Guards against a VM that continues after a pause without reading both tables at once, and against ordinary ticks that are
// treated as pauses.
func TestPauseAsksForNews(t *testing.T) {
	now := time.Unix(1000, 0)
	s, _ := newSyncedState(now)
	s.cfg.Forwarder = carry.New(carry.Config{VM: "vm", Log: s.cfg.Log, Clock: s.cfg.Clock})
	s.checkPause(now)
	s.checkPause(now.Add(tickInterval))
	if s.holdsRequests(now) || len(s.refreshRequests) != 0 {
		t.Fatal("an ordinary tick was treated as a pause")
	}
	woken := now.Add(5 * time.Second)
	s.checkPause(woken)
	if !s.holdsRequests(woken) || len(s.refreshRequests) != 1 {
		t.Errorf("after a pause: requests held %v, %d readings of the operators' table requested", s.holdsRequests(woken), len(s.refreshRequests))
	}
	s.cfg.RegistryFollower.With(func(f *feed.Follower) {
		if next := f.Next().At; next.After(woken) {
			t.Errorf("the registry is read %v after the pause, want at once", next.Sub(woken))
		}
	})
}
