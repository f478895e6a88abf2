package state

import (
	"context"
	"time"

	"github.com/currantpier/currantpier/feed"
	"github.com/currantpier/currantpier/fleet"
	"github.com/currantpier/currantpier/proto"
	"github.com/currantpier/currantpier/trace"
)

// handOverFor bounds the wait for the state of this VM.
const handOverFor = 500 * time.Millisecond

// handOver returns everything that this VM knows of the operators' table and the registry, or nil before it has read both.
func (s *State) handOver(now time.Time) *proto.Message {
	if s.operatorRows == nil || !s.view.RegistryRead() {
		return nil
	}
	change := &proto.OperatorDelta{Whole: true, Version: s.applied[Operator]}
	for _, row := range s.operatorRows {
		change.Rows = append(change.Rows, row)
	}
	news := &proto.RegistryDelta{From: s.cfg.Self.VM, Full: true, Version: s.applied[Registry]}
	for _, e := range s.view.Registered(now) {
		news.Rows = append(news.Rows, fleet.Row{Entry: e})
	}
	news.Rows = append(news.Rows, s.view.Departures(now)...)
	return &proto.Message{From: s.cfg.Self, OperatorChange: change, Registry: news, OperatorVersion: s.operator}
}

// keepRows remembers the rows of the operators' table as the store has them.
func (s *State) keepRows(rows feed.Rows) {
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
}

// adopt takes what another VM knows, as far as this VM has read nothing yet, and in any case which targets have left. It
// reports whether anything was taken.
func (s *State) adopt(now time.Time, m *proto.Message) bool {
	taken := false
	if m.OperatorChange != nil && m.Registry.Full {
		taken = s.adoptOperator(now, m.OperatorChange)
		taken = s.adoptRegistry(now, m.Registry) || taken
		taken = s.catchUp(now, m) || taken
	}
	left := s.view.ApplyDepartures(now, m.Registry.Rows)
	s.logTargets(now, left)
	s.cfg.Log.Add(now, trace.StateAdopted, "from", m.From.VM, "version", s.view.Version(), "targets", len(m.Registry.Rows), "left", len(left),
		"taken", taken)
	return taken || len(left) > 0
}

func (s *State) adoptOperator(now time.Time, c *proto.OperatorDelta) bool {
	taken := false
	s.cfg.OperatorFollower.With(func(f *feed.Follower) { taken = f.InitFromPeer(now, c.Version) })
	if taken {
		s.applyOperator(reading{at: now, topic: Operator, rows: feed.Rows{Rows: c.Rows, Version: c.Version, Full: true}})
	}
	return taken
}

func (s *State) adoptRegistry(now time.Time, n *proto.RegistryDelta) bool {
	taken := false
	s.cfg.RegistryFollower.With(func(f *feed.Follower) { taken = f.InitFromPeer(now, n.Version) })
	if taken {
		s.view.Apply(now, fleet.RegistryUpdate{Rows: n.Rows, Full: true, GraceElapsed: true})
		s.advance(Registry, 0, n.Version, true)
		s.step(now, nil)
	}
	return taken
}

// question is what another VM wants to know: everything, or only which targets have left lately.
type question struct {
	departures bool
	reply      chan<- *proto.Message
}

// answer returns what a question asks for; nil if this VM does not know it.
func (s *State) answer(now time.Time, q question) *proto.Message {
	if !q.departures {
		return s.handOver(now)
	}
	return &proto.Message{From: s.cfg.Self, Registry: &proto.RegistryDelta{From: s.cfg.Self.VM, Rows: s.view.Departures(now)}}
}

// Encoded returns what this VM hands to another one: everything, or only the targets that have left lately. It is nil if this
// VM knows too little itself.
func (s *State) Encoded(ctx context.Context, departures bool) []byte {
	ctx, cancel := context.WithTimeout(ctx, handOverFor)
	defer cancel()
	reply := make(chan *proto.Message, 1)
	select {
	case s.asks <- question{departures, reply}:
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
