package state

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/currantpier/currantpier/feed"
	"github.com/currantpier/currantpier/fleet"
	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/proto"
	"github.com/currantpier/currantpier/trace"
)

// stateRequestTimeout bounds the wait for the state of this VM.
const stateRequestTimeout = 500 * time.Millisecond

// fullState returns a message with the full operators' table and registry as this VM has applied them, or nil before
// it has read both. Rows that the store has lost and that are still in force are included.
func (s *State) fullState(now time.Time) *proto.Message {
	if s.operatorRows == nil || !s.view.RegistryRead() {
		return nil
	}
	change := &proto.OperatorDelta{Full: true, Version: s.applied[Operator]}
	for _, row := range s.operatorRows {
		change.Rows = append(change.Rows, row)
	}
	for _, row := range s.restore.lost {
		change.Rows = append(change.Rows, row)
	}
	delta := &proto.RegistryDelta{From: s.cfg.Self.VM, Full: true, Version: s.applied[Registry]}
	for id, e := range s.view.Registered(now) {
		// The version covers the removal of an entry that has lapsed, so nothing else tells the receiver of it.
		lapsed := s.view.Lapsed(now, id)
		delta.Rows = append(delta.Rows, fleet.Row{Entry: e, Removed: lapsed, Lapsed: lapsed})
	}
	delta.Rows = append(delta.Rows, s.view.Departures(now)...)
	return &proto.Message{From: s.cfg.Self, OperatorChange: change, Registry: delta, OperatorVersion: s.operatorVersion}
}

// updateOperatorRows updates the stored copy of the operators' table with the rows of a reading. The row of the configuration stays
// also if a restored store has lost it.
func (s *State) updateOperatorRows(rows feed.Rows) {
	if rows.Full || s.operatorRows == nil {
		s.operatorRows = map[string]feed.Row{}
	}
	for _, row := range rows.Rows {
		if row.Removed {
			delete(s.operatorRows, row.Key)
		} else {
			s.operatorRows[row.Key] = row
		}
	}
	if c := s.restore.config; c.Key != "" && s.operatorRows[c.Key].Key == "" {
		c.Version = max(c.Version, firstOf(rows.Version.Era()))
		s.operatorRows[c.Key] = c
		delete(s.restore.lost, c.Key)
	}
}

// applyPeerState applies another VM's state: its tables, where this VM has not read its own or can't reach the store,
// and in any case its list of targets that have left. It reports whether anything was applied.
func (s *State) applyPeerState(now time.Time, m *proto.Message) bool {
	accepted := false
	if m.OperatorChange != nil && m.Registry.Full {
		accepted = s.initOperator(now, m.OperatorChange)
		accepted = s.initRegistry(now, m.Registry) || accepted
		accepted = s.catchUp(now, m) || accepted
	} else if m.OperatorChange != nil {
		accepted = s.adoptRows(now, m.OperatorChange.Rows)
	}
	left := s.view.ApplyDepartures(now, m.Registry.Rows)
	s.logTargets(now, left)
	offered := ident.Version(0)
	if m.OperatorChange != nil {
		offered = m.OperatorChange.Version
	}
	s.cfg.Log.Add(now, trace.StateAdopted, "from", m.From.VM, "version", s.view.Version(), "targets", len(m.Registry.Rows), "left", len(left),
		"taken", accepted, "offered", offered, "newest-change", s.operatorVersion)
	return accepted || len(left) > 0
}

// initOperator applies another VM's operators' table if this VM has not read it yet.
func (s *State) initOperator(now time.Time, c *proto.OperatorDelta) bool {
	accepted := false
	s.cfg.OperatorFollower.With(func(f *feed.Follower) { accepted = f.InitFromPeer(now, c.Version) })
	if !accepted {
		return false
	}
	present, lost := splitLost(c)
	r := reading{at: now, topic: Operator, source: fromPeerTables, rows: feed.Rows{Rows: present, Version: c.Version, Full: true}}
	s.applyOperator(r)
	s.adoptLost(now, lost)
	return true
}

// initRegistry applies another VM's registry if this VM has not read it yet.
func (s *State) initRegistry(now time.Time, n *proto.RegistryDelta) bool {
	accepted := false
	s.cfg.RegistryFollower.With(func(f *feed.Follower) { accepted = f.InitFromPeer(now, n.Version) })
	if accepted {
		s.view.Apply(now, fleet.RegistryUpdate{Rows: n.Rows, Full: true, GraceElapsed: true})
		s.advance(Registry, 0, n.Version, true)
		s.nextDelta(now, nil)
	}
	return accepted
}

// stateRequest requests the full state, or with departures only what the store may lack: the targets that have left recently,
// the configuration in force if that is newer than version config, and rows that a restored store has lost.
type stateRequest struct {
	departures bool
	config     ident.Version
	reply      chan<- *proto.Message
}

// respond returns the message for a request. The full state is nil until this VM has read both tables.
func (s *State) respond(now time.Time, req stateRequest) *proto.Message {
	if !req.departures {
		return s.fullState(now)
	}
	m := &proto.Message{From: s.cfg.Self, Registry: &proto.RegistryDelta{From: s.cfg.Self.VM, Rows: s.view.Departures(now)}}
	rows := slices.Collect(maps.Values(s.restore.lost))
	if row := s.restore.config; row.Key != "" && s.view.Version() > req.config {
		rows = append(rows, row)
	}
	if len(rows) > 0 {
		m.OperatorChange = &proto.OperatorDelta{Rows: rows}
	}
	return m
}

// EncodeState returns this VM's state as an encoded message: everything, or with departures only what the store may lack, for a
// VM with version config of the configuration. It returns nil if the state is not available within stateRequestTimeout, and for the full state also if
// this VM has not read both tables yet.
func (s *State) EncodeState(ctx context.Context, departures bool, config ident.Version) []byte {
	ctx, cancel := context.WithTimeout(ctx, stateRequestTimeout)
	defer cancel()
	reply := make(chan *proto.Message, 1)
	select {
	case s.stateRequests <- stateRequest{departures, config, reply}:
	case <-ctx.Done():
		return nil
	}
	select {
	case m := <-reply:
		if m != nil {
			return m.Append(nil)
		}
	case <-ctx.Done():
	}
	return nil
}
