package state

import (
	"time"

	"github.com/currantpier/currantpier/feed"
	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/trace"
)

// startsEra reports whether a reading is the first one of its table in a later era of the store.
func (s *State) startsEra(r reading) bool {
	return r.rows.Full && s.applied[r.topic] != 0 && r.rows.Version.Era() > s.applied[r.topic].Era()
}

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
		s.follower(t).With(func(f *feed.Follower) { f.RequestFullRead(now) })
		if t == Operator {
			s.requestRefresh() // a call for changes may be open for another 20 s
		} else {
			s.missedRegistry = max(s.missedRegistry, ident.NewVersion(era, 1))
		}
	}
}
