package state

import (
	"bytes"
	"slices"
	"time"

	"github.com/currantpier/currantpier/feed"
	"github.com/currantpier/currantpier/fleet"
	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/proto"
)

// catchUpMaxRank is the highest rank at which a VM without access to the store requests state from other VMs all the time
// and forwards it within its own region. If every VM did so, each would receive the full registry each time.
const catchUpMaxRank = 1

// shouldQueryPeers reports whether this VM should request state from other VMs because a table can't be read from the
// store. The first VMs of a region do so for the region; each other VM only if it lacks a change, since nobody sends it
// that change again.
func (s *State) shouldQueryPeers() bool {
	first := s.group.rank <= catchUpMaxRank
	return s.unreachable[Operator] && (first || s.lacks(Operator)) || s.unreachable[Registry] && (first || s.lacks(Registry))
}

// lacks reports whether this VM knows of a change of a table that it lacks, or may lack.
func (s *State) lacks(t Topic) bool {
	if t == Operator {
		return !s.behindSince.IsZero() || s.missedOperator > s.applied[Operator]
	}
	return s.missedRegistry > s.applied[Registry]
}

// lacksChange reports whether this VM knows of a change of a table that it can't read from the store.
func (s *State) lacksChange() bool {
	return s.unreachable[Operator] && s.lacks(Operator) || s.unreachable[Registry] && s.lacks(Registry)
}

// lacksConfig reports whether a peer has a newer configuration in force than this VM, which the store can't supply: it is out
// of reach, or a reading that began since lacks it. A restored store lacks it until the operators have written it again.
func (s *State) lacksConfig() bool {
	return !s.configBehindSince.IsZero() && (s.unreachable[Operator] || s.operatorReadBegun.After(s.configBehindSince))
}

// adoptRows puts into force what another VM has in force and the store may have lost: a newer configuration than the own one,
// and rows of an earlier era that the store doesn't have. These end if the operators don't write them again.
func (s *State) adoptRows(now time.Time, rows []feed.Row) bool {
	if s.operatorRows == nil {
		return false
	}
	changed := false
	var lost []feed.Row
	for _, row := range rows {
		c, err := s.cfg.Decoder.DecodeChange(row)
		switch {
		case err != nil:
			s.logRejected(now, row, err)
		case c == nil:
		case c.Config != nil:
			changed = s.adoptConfig(now, c, row) || changed
		case row.Version.Era() < s.applied[Operator].Era() && s.operatorRows[row.Key].Key == "" && !s.restore.knowsLost(row):
			lost = append(lost, row)
		}
	}
	return s.adoptLost(now, lost) || changed
}

// adoptConfig puts the configuration in a row into force if it is newer than the own one. The row takes the place of the one that
// was read from the store.
func (s *State) adoptConfig(now time.Time, c *fleet.Change, row feed.Row) bool {
	if c.Config.Version <= s.view.Version() {
		return false
	}
	written := row.Version
	row.Version = max(s.operatorRows[row.Key].Version, firstOf(s.applied[Operator].Era()))
	s.operatorRows[row.Key] = row
	s.keepNewestConfig(c.Config, row)
	return s.applyChange(now, c, fromPeerTables, written)
}

// adoptLost puts rows into force that the store has lost, until they are written again or the store has settled.
func (s *State) adoptLost(now time.Time, lost []feed.Row) bool {
	if len(lost) == 0 {
		return false
	}
	s.restore.beginEra(now, slices.Values(lost))
	return s.applyOperatorRows(reading{at: now, topic: Operator, source: fromPeerTables, rows: feed.Rows{Rows: lost, Version: s.applied[Operator]}})
}

// catchUp applies another VM's tables in place of those that this VM can't read from the store, and forwards the
// changes within its region as if it had read them itself. The store can be unreachable for one region while its
// contents change for the others. It reports whether anything changed.
func (s *State) catchUp(now time.Time, m *proto.Message) bool {
	changed := false
	if s.unreachable[Operator] && s.operatorRows != nil {
		changed = s.catchUpOperator(now, m.OperatorChange, m.OperatorVersion)
	}
	if s.unreachable[Registry] && s.view.RegistryRead() {
		changed = s.catchUpRegistry(now, m.Registry) || changed
	}
	return changed
}

// catchUpOperator applies another VM's operators' table, whose newest change is newest, if it is newer than the own one.
// The newest change decides first: the applied version only says up to where no other change is known.
func (s *State) catchUpOperator(now time.Time, c *proto.OperatorDelta, newest ident.Version) bool {
	after := s.applied[Operator]
	accepted := setCaughtUp(s.cfg.OperatorFollower, c.Version) && c.Version > after
	if !accepted && newest <= s.operatorVersion {
		return false
	}
	present, _ := splitLost(c)
	r := reading{at: now, topic: Operator, source: fromPeerTables,
		rows: feed.Rows{Rows: diffRows(s.operatorRows, present), After: min(after, c.Version), Version: c.Version}}
	if c.Version.Era() > after.Era() {
		r.rows.Rows, r.rows.Full = present, true
	}
	// The rows of a table do not include its removals, which count as changes as well.
	s.operatorVersion = max(s.operatorVersion, newest)
	changed := s.applyOperator(r)
	s.broadcastOperator(r, changed && !r.rows.Full)
	return changed
}

func (s *State) catchUpRegistry(now time.Time, n *proto.RegistryDelta) bool {
	after := s.applied[Registry]
	if n.Version <= after || !setCaughtUp(s.cfg.RegistryFollower, n.Version) {
		return false
	}
	// Changes that were not broadcast before are included, since the version range of the delta starts at the last
	// broadcast. So are all departures: a target that came and left within the range is no change for this VM.
	changed := s.applyFullRegistry(now, after, n.Version, fleet.RegistryUpdate{Rows: n.Rows, GraceElapsed: true})
	s.advance(Registry, after, n.Version, true)
	s.logTargets(now, changed)
	rows, lastSent := s.nextDelta(now, append(changed, departedTargets(n.Rows)...))
	if lastSent.Era() != n.Version.Era() {
		// Changes can't span two eras. The others find a gap, and request the whole state as well.
		rows, lastSent = nil, n.Version
	}
	if s.group.rank <= catchUpMaxRank && len(rows) <= maxRegistryDeltaRows {
		s.cfg.Peers.Broadcast(&proto.RegistryDelta{
			From: s.cfg.Self.VM, After: lastSent, Version: n.Version, Rows: rows, OperatorVersion: s.applied[Operator],
			OperatorSince: s.operatorSince,
		}, nil)
	}
	return len(changed) > 0
}

// departedTargets returns the targets that another VM's registry lists as departed.
func departedTargets(rows []fleet.Row) []ident.Target {
	var ids []ident.Target
	for i := range rows {
		if rows[i].Removed {
			ids = append(ids, rows[i].ID)
		}
	}
	return ids
}

// setCaughtUp sets the version up to which a follower's table is known, and reports whether the follower accepted it.
func setCaughtUp(follower *feed.SyncFollower, version ident.Version) bool {
	accepted := false
	follower.With(func(f *feed.Follower) { accepted = f.ApplyPeerSnapshot(version) })
	return accepted
}

// diffRows returns the rows that turn one state of a table into another.
func diffRows(before map[string]feed.Row, after []feed.Row) []feed.Row {
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
