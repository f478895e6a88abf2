package state

import (
	"maps"
	"strings"
	"time"

	"github.com/currantpier/currantpier/feed"
	"github.com/currantpier/currantpier/fleet"
	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/peers"
	"github.com/currantpier/currantpier/trace"
)

// applyReading applies a reading and reports whether anything changed.
func (s *State) applyReading(r reading) bool {
	s.recordReachability(r)
	s.pause.recordCall(&r)
	if r.err == nil {
		s.enterEra(r.at, r.rows.Era)
	}
	if r.err != nil || r.rows.Compacted {
		return false
	}
	if r.rows.OlderThan(s.applied[r.topic]) {
		s.dropStaleReading(r)
		return false
	}
	if r.topic == Operator {
		startsEra := s.startsEra(r)
		changed := s.applyOperator(r)
		s.broadcastOperator(r, changed && !startsEra)
		return changed
	}
	return s.applyRegistry(r)
}

// dropStaleReading handles a reading that lacks changes of peers that were applied while it was in progress, or waited to
// be applied. These changes cover all of a reading of changes, but not what a full reading was requested for.
func (s *State) dropStaleReading(r reading) {
	if !r.rows.Full {
		return
	}
	s.cfg.Log.Add(r.at, trace.StaleReading, "table", r.topic, "version", r.rows.Version, "after", r.rows.After, "applied", s.applied[r.topic])
	s.follower(r.topic).With(func(f *feed.Follower) { f.RequestFullRead(r.at) })
}

// follower returns the follower of a table.
func (s *State) follower(t Topic) *feed.SyncFollower {
	if t == Operator {
		return s.cfg.OperatorFollower
	}
	return s.cfg.RegistryFollower
}

// advance sets the applied version of a table after the changes after one version up to another were applied. Changes
// that start beyond the applied version leave a gap and don't advance it, nor do changes of another era. The version of a whole
// table replaces it: that of a store without eras can go back.
func (s *State) advance(t Topic, after, version ident.Version, full bool) {
	switch {
	case full:
		s.applied[t] = version
	case after <= s.applied[t] && version.Era() == s.applied[t].Era():
		s.applied[t] = max(s.applied[t], version)
	}
}

// recordReachability records whether a table could be read, either from the store or through a peer's delta, and logs
// when it becomes unreachable or reachable again.
func (s *State) recordReachability(r reading) {
	ok := r.err == nil
	switch {
	case r.topic == Registry && ok && !r.rows.Compacted:
		s.registryConfirmed.Store(&r.at)
	case r.topic == Registry && !ok:
		s.view.RecordFailure()
	}
	if ok == !s.unreachable[r.topic] {
		return
	}
	s.unreachable[r.topic] = !ok
	if ok && r.topic == Registry && s.longPolls() {
		// An open long poll of the operators' table may have hung since before the outage. VMs that don't long-poll
		// receive the changes from those that do, and if they miss one, the versions in heartbeats show it.
		s.requestRefresh()
	}
	if ok {
		s.cfg.Log.Add(r.at, trace.DependencyRegained, "dependency", "store", "table", r.topic)
		return
	}
	s.cfg.Log.Add(r.at, trace.DependencyLost, "dependency", "store", "table", r.topic, "err", r.err)
}

func (s *State) applyOperator(r reading) bool {
	s.group.confirmedAt = r.at
	if s.startsEra(r) {
		s.restore.beginEra(r.at, maps.Values(s.operatorRows))
	}
	if r.rows.Full && r.source == fromStore {
		s.operatorReadBegun = r.rows.Begun
	}
	s.advance(Operator, r.rows.After, r.rows.Version, r.rows.Full)
	if r.rows.Full || r.source == fromPeerTables {
		s.operatorSince = s.applied[Operator]
	}
	s.restore.recordRemovals(s.operatorRows, r.rows)
	s.restore.recordWrites(r.rows.Rows)
	s.updateOperatorRows(r.rows)
	return s.applyOperatorRows(r)
}

// applyOperatorRows applies rows of the operators' table. The rows that the store lost when it was restored are in force
// until it has settled.
func (s *State) applyOperatorRows(r reading) bool {
	settling := s.restore.settling(r.at)
	changed := false
	present := map[ident.Domain]bool{}
	for _, row := range r.rows.Rows {
		s.operatorVersion = max(s.operatorVersion, row.Version)
		c, err := s.cfg.Decoder.DecodeChange(row)
		if err != nil {
			s.logRejected(r.at, row, err)
			continue
		}
		if c == nil {
			continue
		}
		if c.Config != nil {
			s.keepNewestConfig(c.Config, row)
		} else {
			present[c.Domain] = !c.Ended
		}
		if settling && r.rows.Full && c.Config == nil && s.restore.wasRemoved(row) {
			continue
		}
		changed = s.applyChange(r.at, c, r.source, row.Version) || changed
	}
	s.cfg.Peers.With(func(v *peers.View) { v.SetOperatorVersion(s.operatorVersion) })
	if r.rows.Full {
		for _, d := range s.view.Evacuated() {
			if !present[d] && !settling {
				changed = s.applyChange(r.at, &fleet.Change{Domain: d, Ended: true}, r.source, r.rows.Version) || changed
			}
		}
		s.cfg.Peers.With(func(v *peers.View) { v.SetReadUpTo(r.rows.Version) })
	}
	return changed
}

// logRejected logs that a row of the operators' table can't be decoded; what is in force stays. A full reading has the row again, which
// isn't logged.
func (s *State) logRejected(now time.Time, row feed.Row, err error) {
	if row.Version == s.rejected {
		return
	}
	s.rejected = row.Version
	s.cfg.Log.Add(now, trace.BadConfig, "rejected", row.Key, "store-version", row.Version, "in-force", s.view.Version(), "err", err)
}

// applyChange applies a change that has the given version in the operators' table, and reports whether it is one.
func (s *State) applyChange(now time.Time, c *fleet.Change, from source, version ident.Version) bool {
	if c.Config != nil {
		if !s.view.SetConfig(c.Config) {
			return false
		}
		s.cfg.Peers.With(func(v *peers.View) { v.SetConfigVersion(c.Config.Version) })
		s.cfg.Log.Add(now, trace.Config, "version", c.Config.Version, "routes", len(c.Config.Routes), "restricted", c.Config.Restricted(),
			"customers", len(c.Config.Customers), "from", from, "store-version", version)
		if w := c.Config.Warnings; len(w) > 0 {
			s.cfg.Log.Add(now, trace.BadConfig, "version", c.Config.Version, "warnings", len(w), "text", strings.Join(w, "; "))
		}
		return true
	}
	if !s.view.Evacuate(now, c.Domain, !c.Ended) {
		return false
	}
	s.cfg.Log.Add(now, trace.Evacuation, "failure-domain", c.Domain, "on", !c.Ended, "from", from, "store-version", version)
	return true
}

func (s *State) applyRegistry(r reading) bool {
	in := fleet.RegistryUpdate{}
	for _, row := range r.rows.Rows {
		out := fleet.Row{Entry: fleet.Entry{ID: ident.Target(row.Key)}, Removed: true}
		if !row.Removed {
			if e, ok := s.decodeEntry(r.at, row); ok {
				out = fleet.Row{Entry: e}
			}
		}
		in.Rows = append(in.Rows, out)
	}
	var changed, repeated []ident.Target
	if r.rows.Full {
		changed = s.applyFullRegistry(r.at, s.applied[Registry], r.rows.Version, in)
	} else {
		changed, repeated = s.view.Apply(r.at, in), s.rebroadcastTargets(in.Rows)
	}
	s.advance(Registry, r.rows.After, r.rows.Version, r.rows.Full)
	s.logTargets(r.at, changed)
	s.broadcastRegistry(r, append(changed, repeated...))
	return len(changed) > 0 || r.rows.Full
}

// rebroadcastTargets returns the targets whose changes are broadcast even if nothing changed here: those whose entries were
// removed, or written again after that, and those of which a VM that started since the store was restored has another entry.
func (s *State) rebroadcastTargets(rows []fleet.Row) []ident.Target {
	var ids []ident.Target
	for i := range rows {
		if rows[i].Removed || s.restore.copied[rows[i].ID] {
			ids = append(ids, rows[i].ID)
			delete(s.restore.copied, rows[i].ID)
		}
	}
	return ids
}

func (s *State) logTargets(now time.Time, changed []ident.Target) {
	for _, id := range changed {
		s.cfg.Log.Add(now, trace.Targets, s.view.Describe(now, id)...)
	}
}

func (s *State) decodeEntry(now time.Time, row feed.Row) (fleet.Entry, bool) {
	e, err := s.cfg.Decoder.DecodeEntry(row)
	if err != nil {
		s.cfg.Log.Add(now, trace.BadEntry, "key", row.Key, "err", err)
		return e, false
	}
	return e, true
}
