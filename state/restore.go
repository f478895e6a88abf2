package state

import (
	"iter"
	"time"

	"github.com/currantpier/currantpier/feed"
	"github.com/currantpier/currantpier/fleet"
	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/proto"
	"github.com/currantpier/currantpier/trace"
)

const (
	// settleTime is how long after the first reading of a restored store the operators' table may lack what the operators
	// will write again. Targets do so within fleet.RegistryGrace.
	settleTime = fleet.RegistryGrace
	// maxRemovals bounds the removed rows that are remembered. The operators' table has one row for each evacuated failure
	// domain.
	maxRemovals = 128
)

// restoreState is what must outlive a restore of the store from an earlier copy, until the operators have written again
// what the copy lacks.
type restoreState struct {
	// settlesAt is the end of the settle time, zero if the store has settled.
	settlesAt time.Time
	// removed has, by key, the version of the last row before its removal, or before the end of the settle time in which it was
	// not written again.
	removed map[string]ident.Version
	// config is the row of the configuration in force.
	config feed.Row
	// registrySettlesAt is the end of the settle time of the registry. Reread is set if the registry is read again after it.
	registrySettlesAt time.Time
	reread            bool
	// lost has the rows that the copy lacks, by key, until they are written again or the store has settled.
	lost map[string]feed.Row
	// copied are the targets of which a restored registry had other entries than this VM knows.
	copied map[ident.Target]bool
}

// beginEra starts the settle time of a store that was restored, whose copy may lack some of the rows of a table.
func (r *restoreState) beginEra(now time.Time, table iter.Seq[feed.Row]) {
	r.settlesAt = now.Add(settleTime)
	if r.lost == nil {
		r.lost = map[string]feed.Row{}
	}
	for row := range table {
		r.lost[row.Key] = row
	}
}

// recordWrites removes rows that the store has from those that it has lost.
func (r *restoreState) recordWrites(rows []feed.Row) {
	for _, row := range rows {
		delete(r.lost, row.Key)
	}
}

// knowsLost reports whether a row that the store has lost is known already: it is in force, or has ended.
func (r *restoreState) knowsLost(row feed.Row) bool {
	_, ok := r.lost[row.Key]
	return ok || r.removed[row.Key] >= row.Version
}

// settling reports whether the store may still lack what the operators will write again.
func (r *restoreState) settling(now time.Time) bool { return now.Before(r.settlesAt) }

// recordRemovals remembers the rows that a reading removes from a table. Rows that an earlier copy lacks were not removed.
func (r *restoreState) recordRemovals(before map[string]feed.Row, rows feed.Rows) {
	if r.removed == nil || len(r.removed) >= maxRemovals {
		r.removed = map[string]ident.Version{}
	}
	for _, row := range rows.Rows {
		if old, ok := before[row.Key]; ok && row.Removed {
			r.removed[row.Key] = old.Version
		} else if lost, ok := r.lost[row.Key]; ok && row.Removed {
			r.removed[row.Key] = lost.Version
		}
		delete(r.lost, row.Key)
	}
	if !rows.Full {
		return
	}
	present := map[string]bool{}
	for _, row := range rows.Rows {
		present[row.Key] = true
	}
	for key, old := range before {
		if !present[key] && old.Version.Era() == rows.Version.Era() {
			r.removed[key] = old.Version
		}
	}
}

// wasRemoved reports whether a row of a full reading is one that was removed before the store was restored: it has its number. A
// change is a later write, which may have been given that number again.
func (r *restoreState) wasRemoved(row feed.Row) bool {
	v, ok := r.removed[row.Key]
	return ok && !row.Removed && v.Era() < row.Version.Era() && v.Number() == row.Version.Number()
}

// startsEra reports whether a reading is the first one of its table in a later era of the store.
func (s *State) startsEra(r reading) bool {
	return r.rows.Full && s.applied[r.topic] != 0 && r.rows.Version.Era() > s.applied[r.topic].Era()
}

// firstOf returns the first version of an era. A row that the store lacks and that stays in the table has it, so that it isn't newer
// than any row that the store has.
func firstOf(era ident.Era) ident.Version { return ident.NewVersion(era, 1) }

// enterEra handles a reading of the store, or a peer's announcement, in a later era than known before: the store was restored
// from an earlier copy. Both tables are read in full, since what follows a version of an earlier era is unknown.
func (s *State) enterEra(now time.Time, era ident.Era) {
	before := s.Era()
	if era <= before {
		return
	}
	s.era.Store(uint32(era))
	for _, t := range []Topic{Operator, Registry} {
		if s.applied[t] == 0 || s.applied[t].Era() >= era {
			continue
		}
		s.cfg.Log.Add(now, trace.StoreRestored, "table", t, "era", era, "before", before, "applied", s.applied[t],
			"newest-change", s.operatorVersion)
		s.follower(t).With(func(f *feed.Follower) { f.RequestEra(now, era) })
		if t == Operator {
			s.requestRefresh() // a call for changes may be open for another 20 s
		} else {
			s.missedRegistry = max(s.missedRegistry, firstOf(era))
		}
	}
}

// keepNewestConfig remembers the row of the newest configuration. VMs that start get it in place of an older one, which a
// restored store has until the operators have written the newest one again. A row that is followed by another one in the same
// reading is not in the table.
func (s *State) keepNewestConfig(c *fleet.Config, row feed.Row) {
	if c.Version >= s.view.Version() {
		s.restore.config = row
		return
	}
	if kept := s.restore.config; kept.Key == row.Key && s.operatorRows[row.Key].Version == row.Version {
		kept.Version = row.Version
		s.operatorRows[row.Key] = kept
	}
}

// applyFullRegistry applies a full registry after one as of a version, from the store or another VM. In the settle time, it may
// lack targets that write again, and have ones that left. If it has these, it is read again after the settle time.
func (s *State) applyFullRegistry(now time.Time, after, version ident.Version, u fleet.RegistryUpdate) []ident.Target {
	if after != 0 && version.Era() > after.Era() {
		s.restore.registrySettlesAt, s.restore.copied = now.Add(settleTime), map[ident.Target]bool{}
	}
	u.Full, u.Restored = true, now.Before(s.restore.registrySettlesAt)
	changed := s.view.Apply(now, u)
	withheld, removed := s.view.Withheld()
	s.restore.reread = s.restore.reread || removed
	if u.Restored {
		for _, id := range withheld {
			s.restore.copied[id] = true
		}
	}
	return changed
}

// rereadRegistry requests the reading that applyFullRegistry finds necessary.
func (s *State) rereadRegistry(now time.Time) {
	if !s.restore.reread || now.Before(s.restore.registrySettlesAt) {
		return
	}
	s.restore.reread = false
	s.cfg.RegistryFollower.With(func(f *feed.Follower) { f.RequestFullRead(now) })
}

// splitLost separates the rows of a peer's table that the store has from those that it has lost: these are of an earlier era.
func splitLost(c *proto.OperatorDelta) (present, lost []feed.Row) {
	for _, row := range c.Rows {
		if row.Version.Era() < c.Version.Era() {
			lost = append(lost, row)
		} else {
			present = append(present, row)
		}
	}
	return present, lost
}

// settle applies the operators' table as it is, once its settle time is over, and reports whether anything changed: what the
// operators have not written again by then is not in force any more. A VM that can't read the table doesn't know what they wrote.
func (s *State) settle(now time.Time) bool {
	if s.restore.settlesAt.IsZero() || s.restore.settling(now) || s.unreachable[Operator] {
		return false
	}
	for key, row := range s.restore.lost {
		s.restore.removed[key] = row.Version
	}
	s.restore.settlesAt, s.restore.lost = time.Time{}, nil
	r := reading{at: now, topic: Operator, source: fromStore, rows: feed.Rows{Full: true, Version: s.applied[Operator]}}
	for _, row := range s.operatorRows {
		r.rows.Rows = append(r.rows.Rows, row)
	}
	return s.applyOperatorRows(r)
}
