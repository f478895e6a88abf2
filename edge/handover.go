package edge

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
func (s *state) handOver(now time.Time) *proto.Message {
	if s.operatorRows == nil || !s.view.Read() {
		return nil
	}
	change := &proto.Change{Whole: true, Version: s.applied[operatorTopic]}
	for _, row := range s.operatorRows {
		change.Rows = append(change.Rows, row)
	}
	news := &proto.News{From: s.cfg.Self.VM, Whole: true, Version: s.applied[registryTopic]}
	for _, e := range s.view.Registered(now) {
		news.Rows = append(news.Rows, fleet.Row{Entry: e})
	}
	return &proto.Message{From: s.cfg.Self, Change: change, News: news, Operator: s.operator}
}

// keepRows remembers the rows of the operators' table as the store has them.
func (s *state) keepRows(rows feed.Rows) {
	if rows.Whole || s.operatorRows == nil {
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

// adopt takes what another VM knows, as far as this VM has read nothing yet. It reports whether anything was taken.
func (s *state) adopt(now time.Time, m *proto.Message) bool {
	taken := false
	s.cfg.OperatorFollower.With(func(f *feed.Follower) { taken = f.Adopt(now, m.Change.Version) })
	if taken {
		s.applyOperator(reading{at: now, topic: operatorTopic,
			rows: feed.Rows{Rows: m.Change.Rows, Version: m.Change.Version, Whole: true}})
	}
	registry := false
	s.cfg.RegistryFollower.With(func(f *feed.Follower) { registry = f.Adopt(now, m.News.Version) })
	if registry {
		s.view.Apply(now, fleet.Reading{Rows: m.News.Rows, Whole: true, Settled: true})
		s.advance(registryTopic, 0, m.News.Version, true)
		s.step(now)
	}
	if taken || registry {
		s.cfg.Log.Add(now, trace.Adopted, "from", m.From.VM, "version", s.view.Version(), "targets", len(m.News.Rows))
	}
	return taken || registry
}

// State returns what this VM hands to one that starts, encoded; nil if it knows too little itself.
func (n *Node) State(ctx context.Context) []byte {
	ctx, cancel := context.WithTimeout(ctx, handOverFor)
	defer cancel()
	reply := make(chan *proto.Message, 1)
	select {
	case n.state.asks <- reply:
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
