package edge

import (
	"time"

	"github.com/currantpier/currantpier/feed"
	"github.com/currantpier/currantpier/fleet"
	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/peers"
)

const (
	// NewsSize is the number of pieces of news that wait to be applied.
	NewsSize = 16
	// newsRows bounds the rows in one piece of news. With more, the other VMs read the registry themselves.
	newsRows = 60
	// tellRank is the rank up to which a VM tells others what it has read. Were all of them to do so, a reader that fails
	// would cause a message from each VM to each other.
	tellRank = 2
	// warmupNoise is the difference of a warm-up's rest that is no news.
	warmupNoise = 300 * time.Millisecond
)

// shared is what the VMs of the group were last told of the registry.
type shared struct {
	rank  int
	known map[ident.Target]fleet.Entry
	at    time.Time
}

// diff returns the rows that turn one state of the registry into another.
func diff(before, after map[ident.Target]fleet.Entry, passed time.Duration) []fleet.Row {
	var rows []fleet.Row
	for id, e := range after {
		old, ok := before[id]
		left := max(old.WarmupLeft-passed, 0)
		drift := e.WarmupLeft - left
		old.WarmupLeft, old.Sequence = e.WarmupLeft, e.Sequence
		if !ok || old != e || drift > warmupNoise || drift < -warmupNoise {
			rows = append(rows, fleet.Row{Entry: e})
		}
	}
	for id := range before {
		if _, ok := after[id]; !ok {
			rows = append(rows, fleet.Row{Entry: fleet.Entry{ID: id}, Removed: true})
		}
	}
	return rows
}

// step returns the change of the registry since the last call.
func (s *shared) step(now time.Time, v *fleet.View) []fleet.Row {
	present := v.Registered(now)
	rows := diff(s.known, present, now.Sub(s.at))
	s.known, s.at = present, now
	return rows
}

// tell passes on what this VM has read after a version.
func (s *state) tell(r reading) {
	rows := s.shared.step(r.at, s.view)
	if s.shared.rank > tellRank || r.rows.Whole || len(rows) > newsRows {
		return
	}
	s.cfg.Peers.Tell(&peers.News{From: s.cfg.Self.VM, After: r.after, Version: r.rows.Version, Rows: rows})
}

// hear applies what another VM has read, and reports whether anything changed.
func (s *state) hear(now time.Time, n peers.News) bool {
	taken := false
	s.cfg.RegistryFollower.With(func(f *feed.Follower) { taken = f.Heard(now, n.After, n.Version) })
	if !taken {
		return false
	}
	s.contact(reading{at: now, topic: registryTopic})
	changed := s.view.Apply(now, fleet.Reading{Rows: n.Rows, Settled: true})
	s.logTargets(now, changed)
	s.shared.step(now, s.view)
	return len(changed) > 0
}

// setRank finds this VM's place in its group.
func (s *state) setRank(group []peers.Info) {
	for i, info := range group {
		if info.VM == s.cfg.Self.VM {
			s.shared.rank = i
			s.cfg.RegistryFollower.With(func(f *feed.Follower) { f.SetRank(i) })
		}
	}
}
