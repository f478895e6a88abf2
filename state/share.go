package state

import (
	"time"

	"github.com/currantpier/currantpier/feed"
	"github.com/currantpier/currantpier/fleet"
	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/peers"
	"github.com/currantpier/currantpier/proto"
)

const (
	// NewsSize is the number of pieces of news that wait to be applied.
	NewsSize = 16
	// newsRows bounds the rows in one piece of news: compressed they take about 5 KB, and the news goes to each VM of a region
	// at once. With more, the other VMs read the registry themselves, each as much from the store.
	newsRows = 240
	// tellRank is the rank up to which a VM tells others what it has read. Were all of them to do so, a reader that fails
	// would cause a message from each VM to each other.
	tellRank = 2
	// changeBytes bounds a change of the operators that is passed on in one datagram. With a longer one, the other VMs read
	// the table themselves.
	changeBytes = 32 << 10
	// rankAfter is how long after its start a VM takes its place among the readers. Before that it knows too few others.
	rankAfter = 1500 * time.Millisecond
	// tellChangeRank is the rank up to which a VM tells the operators' changes. The first one may have failed unnoticed.
	tellChangeRank = 1
	// warmupNoise is the difference of a warm-up's rest that is no news.
	warmupNoise = 300 * time.Millisecond
)

// shared is what the VMs of the group were last told of the registry.
type shared struct {
	rank int
	// confirmed is when the operators' table was last known to have no newer change.
	confirmed time.Time
	// known is the registry as of version and at.
	known   map[ident.Target]fleet.Entry
	version ident.Version
	at      time.Time
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

// step returns the change of the registry since the last call, and the targets in touched whether they look changed or not. It
// tells which entries are missing and may only have lapsed: all VMs must know, or a return of the entry is news for some of
// them and not for the one that tells it.
func (s *shared) step(now time.Time, v *fleet.View, touched []ident.Target) []fleet.Row {
	present := v.Registered(now)
	rows := diff(s.known, present, now.Sub(s.at))
	told := map[ident.Target]bool{}
	for i := range rows {
		told[rows[i].ID] = true
	}
	for _, id := range touched {
		e, ok := present[id]
		if told[id] {
			continue
		}
		switch {
		case v.Lapsed(now, id):
			rows = append(rows, fleet.Row{Entry: fleet.Entry{ID: id}, Removed: true, Lapsed: true})
		case ok:
			rows = append(rows, fleet.Row{Entry: e})
		default:
			rows = append(rows, fleet.Row{Entry: fleet.Entry{ID: id}, Removed: true})
		}
	}
	s.known, s.at = present, now
	return rows
}

// step returns the changes of the registry since the last call and the version that they follow. Touched are targets that
// were changed by what was just read. Some look as before, since they went and came back: a VM that has read the registry in
// between has seen them go.
func (s *State) step(now time.Time, touched []ident.Target) (rows []fleet.Row, after ident.Version) {
	after = s.shared.version
	rows = s.shared.step(now, s.view, touched)
	s.shared.version = s.applied[Registry]
	return rows, after
}

// tell passes on what has changed in the registry since this VM last told it, and that it follows the operators' table. The
// changes follow the version of the last time and not that of the reading, which may have been on its way while a peer's
// news was taken: a VM that missed that news would skip its rows.
func (s *State) tell(r reading, touched []ident.Target) {
	rows, after := s.step(r.at, touched)
	if s.shared.rank > tellRank || r.rows.Full {
		return
	}
	news := &proto.RegistryDelta{From: s.cfg.Self.VM}
	// With too many rows, the others are still told that the operators' table is followed: they would all read it again.
	if len(rows) <= newsRows {
		news.After, news.Version, news.Rows = after, s.applied[Registry], rows
	}
	if !s.lost[Operator] && s.waits() {
		news.OperatorVersion = s.applied[Operator]
	}
	s.cfg.Peers.Broadcast(news, nil)
}

// tellChange passes on what this VM has read of the operators' table.
func (s *State) tellChange(r reading) {
	size := 0
	for _, row := range r.rows.Rows {
		size += len(row.Key) + len(row.Value)
	}
	if s.shared.rank > tellChangeRank || r.rows.Full || size == 0 || size > changeBytes {
		return
	}
	s.cfg.Peers.Broadcast(nil, &proto.OperatorDelta{After: r.after, Version: r.rows.Version, Rows: r.rows.Rows})
}

// hear applies what another VM has read, and reports whether anything changed.
func (s *State) hear(now time.Time, m proto.Message) bool {
	changed := false
	if m.OperatorChange != nil {
		changed = s.hearChange(now, m.OperatorChange)
	}
	if m.Registry != nil {
		changed = s.hearNews(now, m.Registry) || changed
	}
	return changed
}

func (s *State) hearNews(now time.Time, n *proto.RegistryDelta) bool {
	s.confirm(now, n.OperatorVersion)
	if n.Version == 0 {
		return false
	}
	if !s.continues(now, s.cfg.RegistryFollower, Registry, n.After, n.Version) {
		return false
	}
	s.contact(reading{at: now, topic: Registry})
	changed := s.view.Apply(now, fleet.RegistryUpdate{Rows: n.Rows, GraceElapsed: true})
	s.advance(Registry, n.After, n.Version, false)
	s.logTargets(now, changed)
	s.step(now, nil)
	return len(changed) > 0
}

func (s *State) hearChange(now time.Time, c *proto.OperatorDelta) bool {
	if !s.continues(now, s.cfg.OperatorFollower, Operator, c.After, c.Version) {
		return false
	}
	r := reading{at: now, topic: Operator, after: c.After, rows: feed.Rows{Rows: c.Rows, Version: c.Version}}
	s.contact(r)
	return s.applyOperator(r)
}

// continues reports whether what a peer tells follows what is applied here; otherwise the table is read soon. The follower
// alone can't tell: it is ahead while a reading waits to be applied.
func (s *State) continues(now time.Time, shared *feed.SyncFollower, t Topic, after, version ident.Version) bool {
	taken := false
	shared.With(func(f *feed.Follower) {
		if after > s.applied[t] {
			f.RequestCatchUp(now, after)
			return
		}
		taken = f.ApplyPeerChanges(now, after, version)
	})
	return taken
}

// confirm takes a peer's word that it knows the operators' table up to a version. If no newer change is known than those
// applied here, nothing has changed up to that version.
func (s *State) confirm(now time.Time, version ident.Version) {
	if version == 0 || s.operatorRows == nil {
		return
	}
	upToDate := false
	s.cfg.Peers.With(func(v *peers.View) { upToDate = v.OperatorTableCurrent() })
	if upToDate {
		s.shared.confirmed = now
		s.advance(Operator, s.applied[Operator], version, false)
		s.cfg.OperatorFollower.With(func(f *feed.Follower) { f.ConfirmVersion(now, version) })
	}
}

// waits reports whether this VM keeps a call for the operators' changes waiting at the store.
func (s *State) waits() bool {
	waits := false
	s.cfg.OperatorFollower.With(func(f *feed.Follower) { waits = f.LongPolls() })
	return waits
}

// checkOperator reads the operators' table if no peer that follows it was heard from lately.
func (s *State) checkOperator(now time.Time) {
	if !s.waits() && !s.shared.confirmed.IsZero() && now.Sub(s.shared.confirmed) > s.cfg.MaxOperatorSilence {
		s.shared.confirmed = now
		s.askRefresh()
	}
}

// setRank finds this VM's place in its group.
func (s *State) setRank(now time.Time, group []proto.VMInfo) {
	if now.Sub(s.started) < rankAfter {
		return
	}
	for i, info := range group {
		if info.VM == s.cfg.Self.VM {
			s.shared.rank = i
			s.cfg.RegistryFollower.With(func(f *feed.Follower) { f.SetRank(now, i) })
			s.cfg.OperatorFollower.With(func(f *feed.Follower) { f.SetRank(now, i) })
		}
	}
}
