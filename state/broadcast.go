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
	// PeerMessageBuffer is the capacity of the channel of messages from other VMs that wait to be applied.
	PeerMessageBuffer = 16
	// maxRegistryDeltaRows bounds the rows in one registry delta: compressed they take about 5 KB, and the delta is
	// sent to each VM of a region at once. If there are more, the other VMs read the registry themselves, each as much
	// from the store.
	maxRegistryDeltaRows = 240
	// registryBroadcastMaxRank is the highest rank at which a VM broadcasts the registry changes that it has read. If
	// every VM did so, the failure of one reader would cause a message from each VM to each other.
	registryBroadcastMaxRank = 2
	// maxOperatorDeltaBytes bounds the keys and values of an operators' table delta that is broadcast in one datagram.
	// After a larger change, the other VMs read the table themselves.
	maxOperatorDeltaBytes = 32 << 10
	// rankDelay is the time after the start at which a VM first takes a rank among the readers. Before that its
	// list of the other VMs is incomplete.
	rankDelay = 1500 * time.Millisecond
	// operatorBroadcastMaxRank is the highest rank at which a VM broadcasts changes of the operators' table. The second
	// VM does so too, because the first may have failed without being noticed yet.
	operatorBroadcastMaxRank = 1
	// warmupTolerance is the deviation from the expected remaining warm-up time that does not count as a change.
	warmupTolerance = 300 * time.Millisecond
)

// groupState is this VM's rank in its group, and the registry as this VM last broadcast it or received it from the
// group.
type groupState struct {
	rank int
	// confirmedAt is when the operators' table was last known to be up to date.
	confirmedAt time.Time
	// entries is the registry at version, with the remaining warm-up times as of entriesAt.
	entries   map[ident.Target]fleet.Entry
	version   ident.Version
	entriesAt time.Time
}

// diffEntries returns the rows that turn one state of the registry into another. Elapsed is the time between the two
// states, by which the remaining warm-up times shrink.
func diffEntries(before, after map[ident.Target]fleet.Entry, elapsed time.Duration) []fleet.Row {
	var rows []fleet.Row
	for id, e := range after {
		old, ok := before[id]
		left := max(old.WarmupLeft-elapsed, 0)
		drift := e.WarmupLeft - left
		old.WarmupLeft, old.Sequence = e.WarmupLeft, e.Sequence
		if !ok || old != e || drift > warmupTolerance || drift < -warmupTolerance {
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

// nextDelta returns the changes of the registry since the last call, and a row for each target in touched even if its
// entry looks unchanged. Entries that are missing but may only have lapsed are marked as lapsed: every VM must receive
// this mark, since otherwise the return of such an entry is a change for some VMs and not for the VM that broadcasts it.
func (s *groupState) nextDelta(now time.Time, v *fleet.View, touched []ident.Target) []fleet.Row {
	present := v.Registered(now)
	rows := diffEntries(s.entries, present, now.Sub(s.entriesAt))
	included := map[ident.Target]bool{}
	for i := range rows {
		included[rows[i].ID] = true
		if !rows[i].Removed && v.Lapsed(now, rows[i].ID) {
			// Its warm-up has changed by a report. As a registered entry it would be used again after its grace period.
			rows[i] = fleet.Row{Entry: fleet.Entry{ID: rows[i].ID}, Removed: true, Lapsed: true}
		}
	}
	for _, id := range touched {
		e, ok := present[id]
		if included[id] {
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
	s.entries, s.entriesAt = present, now
	return rows
}

// nextDelta returns the changes of the registry since the last call and the version that they follow. Touched are
// targets that the last reading changed. Some of them look unchanged, since their entries were removed and written
// again: a VM that has read the registry in between has applied the removal.
func (s *State) nextDelta(now time.Time, touched []ident.Target) (rows []fleet.Row, after ident.Version) {
	after = s.group.version
	rows = s.group.nextDelta(now, s.view, touched)
	s.group.version = s.applied[Registry]
	return rows, after
}

// broadcastRegistry sends the group the changes of the registry since this VM's last broadcast, and the version of the
// operators' table that this VM follows. The changes start at the version of the last broadcast and not at that of the
// reading, which may have been in progress while a peer's delta was applied: a VM that missed that delta would
// otherwise skip its rows.
func (s *State) broadcastRegistry(r reading, touched []ident.Target) {
	rows, after := s.nextDelta(r.at, touched)
	if s.group.rank > registryBroadcastMaxRank || r.rows.Full {
		return
	}
	delta := &proto.RegistryDelta{From: s.cfg.Self.VM}
	// With too many rows the message is sent without them: it still confirms that the operators' table is followed, and
	// without that confirmation the other VMs would all read that table again.
	if len(rows) <= maxRegistryDeltaRows {
		delta.After, delta.Version, delta.Rows = after, s.applied[Registry], rows
	}
	if !s.unreachable[Operator] && s.longPolls() {
		delta.OperatorVersion, delta.OperatorSince = s.applied[Operator], s.operatorSince
	}
	s.cfg.Peers.Broadcast(delta, nil)
}

// broadcastOperator sends the group the changes that this VM has read from the operators' table, or the whole table if a full
// reading has changed anything within the era: which rows were removed, and when, is not known then. To a VM of a build that takes the whole table
// for changes, it looks like changes after a gap.
func (s *State) broadcastOperator(r reading, changed bool) {
	size := 0
	for _, row := range r.rows.Rows {
		size += len(row.Key) + len(row.Value)
	}
	if s.group.rank > operatorBroadcastMaxRank || r.rows.Full && !changed || size == 0 || size > maxOperatorDeltaBytes {
		return
	}
	delta := &proto.OperatorDelta{After: r.rows.After, Version: r.rows.Version, Rows: r.rows.Rows, Full: r.rows.Full}
	if delta.Full {
		delta.After = delta.Version
	}
	s.cfg.Peers.Broadcast(nil, delta)
}

// applyPeerMessage applies the deltas that another VM has read, and reports whether anything changed.
func (s *State) applyPeerMessage(now time.Time, m proto.Message) bool {
	changed := false
	if m.OperatorChange != nil {
		changed = s.applyOperatorDelta(now, m.OperatorChange)
	}
	if m.Registry != nil {
		changed = s.applyRegistryDelta(now, m.Registry) || changed
	}
	for _, c := range m.Cold {
		changed = s.applyCold(now, c, m.From.VM) || changed
	}
	return changed
}

func (s *State) applyRegistryDelta(now time.Time, n *proto.RegistryDelta) bool {
	s.confirmOperator(now, n.OperatorSince, n.OperatorVersion)
	if n.Version == 0 {
		return false
	}
	if !s.acceptDelta(now, s.cfg.RegistryFollower, Registry, n.After, n.Version) {
		if n.After > s.applied[Registry] {
			s.missedRegistry = max(s.missedRegistry, n.After)
		}
		return false
	}
	s.recordReachability(reading{at: now, topic: Registry, source: fromPeerDelta})
	changed := s.view.Apply(now, fleet.RegistryUpdate{Rows: n.Rows, GraceElapsed: true})
	s.advance(Registry, n.After, n.Version, false)
	s.logTargets(now, changed)
	s.nextDelta(now, nil)
	return len(changed) > 0
}

func (s *State) applyOperatorDelta(now time.Time, c *proto.OperatorDelta) bool {
	after := c.After
	if c.Full {
		after = 0 // the whole table continues any version
	}
	if !s.acceptDelta(now, s.cfg.OperatorFollower, Operator, after, c.Version) {
		return false
	}
	r := reading{at: now, topic: Operator, source: fromPeerDelta,
		rows: feed.Rows{Rows: c.Rows, After: after, Version: c.Version, Full: c.Full}}
	s.recordReachability(r)
	return s.applyOperator(r)
}

// acceptDelta reports whether a peer's delta starts at or before the applied version; otherwise the table is read soon.
// The follower alone can't decide this: its version is ahead while a reading waits to be applied.
func (s *State) acceptDelta(now time.Time, follower *feed.SyncFollower, t Topic, after, version ident.Version) bool {
	accepted := false
	follower.With(func(f *feed.Follower) {
		switch {
		case version.Era() != s.applied[t].Era():
			f.RequestCatchUp(now, version)
			return
		case after > s.applied[t]:
			f.RequestCatchUp(now, after)
			return
		}
		accepted = f.ApplyPeerChanges(now, after, version)
	})
	return accepted
}

// confirmOperator handles a peer's confirmation that it has followed the operators' table from one version up to another. If no
// change newer than the applied ones is known, nothing has changed up to that version. What was removed before the first of them
// the peer doesn't know and announces to nobody.
func (s *State) confirmOperator(now time.Time, since, version ident.Version) {
	if version == 0 || s.operatorRows == nil {
		return
	}
	if since > s.applied[Operator] {
		s.missedOperator = max(s.missedOperator, since)
		s.cfg.OperatorFollower.With(func(f *feed.Follower) { f.RequestCatchUp(now, since) })
		return
	}
	if version.Era() != s.applied[Operator].Era() {
		s.cfg.OperatorFollower.With(func(f *feed.Follower) { f.RequestCatchUp(now, version) })
		return
	}
	upToDate := false
	s.cfg.Peers.With(func(v *peers.View) { upToDate = v.OperatorTableCurrent() })
	if upToDate {
		s.group.confirmedAt = now
		s.advance(Operator, s.applied[Operator], version, false)
		s.cfg.OperatorFollower.With(func(f *feed.Follower) { f.ConfirmVersion(now, version) })
	}
}

// longPolls reports whether this VM keeps a call for changes of the operators' table open at the store.
func (s *State) longPolls() bool {
	longPolls := false
	s.cfg.OperatorFollower.With(func(f *feed.Follower) { longPolls = f.LongPolls() })
	return longPolls
}

// checkOperatorAge requests a reading of the operators' table if no peer has confirmed it for MaxOperatorSilence.
func (s *State) checkOperatorAge(now time.Time) {
	if !s.longPolls() && !s.group.confirmedAt.IsZero() && now.Sub(s.group.confirmedAt) > s.cfg.MaxOperatorSilence {
		s.group.confirmedAt = now
		s.requestRefresh()
	}
}

// setRank sets this VM's rank, its position in its group.
func (s *State) setRank(now time.Time, group []proto.VMInfo) {
	if now.Sub(s.started) < rankDelay {
		return
	}
	for i, info := range group {
		if info.VM == s.cfg.Self.VM {
			s.group.rank = i
			s.cfg.RegistryFollower.With(func(f *feed.Follower) { f.SetRank(now, i) })
			s.cfg.OperatorFollower.With(func(f *feed.Follower) { f.SetRank(now, i) })
		}
	}
}
