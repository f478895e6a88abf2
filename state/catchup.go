package state

import (
	"bytes"
	"time"

	"github.com/currantpier/currantpier/feed"
	"github.com/currantpier/currantpier/fleet"
	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/proto"
)

// catchUpRank is the rank up to which a VM that is cut off from the store asks VMs of other regions, and tells its own region
// what it has learnt. Were all of them to ask, each would be sent the whole registry.
const catchUpRank = 1

// cutOff reports whether this VM should ask other VMs for what the store does not tell it.
func (s *State) cutOff() bool {
	return s.shared.rank <= catchUpRank && (s.lost[Registry] || s.lost[Operator])
}

// catchUp takes what another VM has read of the tables that this VM cannot read, and passes it on in its region as if it had
// read it itself. The store can be out of reach for one region and change for the others. It reports whether anything changed.
func (s *State) catchUp(now time.Time, m *proto.Message) bool {
	changed := false
	if s.lost[Operator] && s.operatorRows != nil {
		changed = s.catchUpOperator(now, m.OperatorChange)
	}
	if s.lost[Registry] && s.view.RegistryRead() {
		changed = s.catchUpRegistry(now, m.Registry, m.OperatorChange.Version) || changed
	}
	return changed
}

func (s *State) catchUpOperator(now time.Time, c *proto.OperatorDelta) bool {
	after := s.applied[Operator]
	if c.Version <= after || !caughtUp(s.cfg.OperatorFollower, c.Version) {
		return false
	}
	r := reading{at: now, topic: Operator, after: after,
		rows: feed.Rows{Rows: changedRows(s.operatorRows, c.Rows), Version: c.Version}}
	changed := s.applyOperator(r)
	s.tellChange(r)
	return changed
}

func (s *State) catchUpRegistry(now time.Time, n *proto.RegistryDelta, operator ident.Version) bool {
	after := s.applied[Registry]
	if n.Version <= after || !caughtUp(s.cfg.RegistryFollower, n.Version) {
		return false
	}
	// What was not told before goes with the news: it continues the last telling.
	changed := s.view.Apply(now, fleet.RegistryUpdate{Rows: n.Rows, Full: true, GraceElapsed: true})
	s.advance(Registry, after, n.Version, false)
	s.logTargets(now, changed)
	rows, told := s.step(now, changed)
	if len(rows) <= newsRows {
		s.cfg.Peers.Broadcast(&proto.RegistryDelta{From: s.cfg.Self.VM, After: told, Version: n.Version, Rows: rows, OperatorVersion: operator}, nil)
	}
	return len(changed) > 0
}

// caughtUp tells a follower that a table is known up to a version.
func caughtUp(shared *feed.SyncFollower, version ident.Version) bool {
	taken := false
	shared.With(func(f *feed.Follower) { taken = f.ApplyPeerSnapshot(version) })
	return taken
}

// changedRows returns the rows that turn one state of a table into another.
func changedRows(before map[string]feed.Row, after []feed.Row) []feed.Row {
	var rows []feed.Row
	present := map[string]bool{}
	for _, r := range after {
		present[r.Key] = true
		if old, ok := before[r.Key]; !ok || old.Version != r.Version || !bytes.Equal(old.Value, r.Value) {
			rows = append(rows, r)
		}
	}
	for key, old := range before {
		if !present[key] {
			rows = append(rows, feed.Row{Key: key, Version: old.Version, Removed: true})
		}
	}
	return rows
}
