package lease_test

import (
	"context"
	"maps"
	"time"

	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/kinds"
	"github.com/currantpier/currantpier/store"
)

// writeOutcome is what happens to a write.
type writeOutcome int

const (
	applied writeOutcome = iota
	refused              // StoreDown: not written
	responseLost
	requestLost
	delayed // the response is lost and the write is applied later, by applyDelayed
)

// fakeStore is an in-memory table whose writes can fail, get lost or be delayed, and which can return to an earlier copy
// of itself. It must be used from one goroutine.
type fakeStore struct {
	// rows holds each row with the version at which it was written, which may be of an earlier era.
	rows map[string]store.Row
	era  ident.Era
	// nextOutcome returns the outcome of the next write; if nil, all writes are applied.
	nextOutcome func() writeOutcome
	// onCall is called before and after each call takes effect; nil does nothing.
	onCall func()
	// readsFail makes Get return an error.
	readsFail bool
	// onWrite is called for each row when it is written; nil does nothing.
	onWrite       func(store.Op)
	delayedWrites [][]store.Op
	reads         int
}

func newFakeStore() *fakeStore { return &fakeStore{rows: map[string]store.Row{}, era: ident.FirstEra} }

// save returns a copy of the rows, and restore returns to one in a new era.
func (s *fakeStore) save() map[string]store.Row { return maps.Clone(s.rows) }

func (s *fakeStore) restore(saved map[string]store.Row) {
	s.rows, s.era = map[string]store.Row{}, s.era+1
	maps.Copy(s.rows, saved)
}

// row returns a row as a client of the store reads it now.
func (s *fakeStore) row(key string) store.Row {
	r := s.rows[key]
	r.Version, r.Era = ident.NewVersion(s.era, r.Version.Number()), s.era
	return r
}

// setNextOutcome gives the next write the outcome o; all later writes are applied.
func (s *fakeStore) setNextOutcome(o writeOutcome) {
	s.nextOutcome = func() writeOutcome { s.nextOutcome = nil; return o }
}

func (s *fakeStore) callHook() {
	if s.onCall != nil {
		s.onCall()
	}
}

func (s *fakeStore) Get(_ context.Context, key string) (store.Row, error) {
	s.callHook()
	defer s.callHook()
	s.reads++
	if s.readsFail {
		return store.Row{}, kinds.Errorf(kinds.StoreDown, "down")
	}
	return s.row(key), nil
}

func (s *fakeStore) Txn(_ context.Context, ops []store.Op) ([]ident.Version, error) {
	outcome := applied
	if s.nextOutcome != nil {
		outcome = s.nextOutcome()
	}
	s.callHook()
	defer s.callHook()
	switch outcome {
	case refused:
		return nil, kinds.Errorf(kinds.StoreDown, "down")
	case requestLost:
		return nil, kinds.Errorf(kinds.StoreUnknown, "lost")
	case delayed:
		s.delayedWrites = append(s.delayedWrites, ops)
		return nil, kinds.Errorf(kinds.StoreUnknown, "lost")
	}
	versions, err := s.apply(ops)
	if outcome == responseLost {
		return nil, kinds.Errorf(kinds.StoreUnknown, "lost")
	}
	return versions, err
}

func (s *fakeStore) apply(ops []store.Op) ([]ident.Version, error) {
	for _, op := range ops {
		if s.row(op.Key).Version != op.IfVersion || op.IfEra != 0 && op.IfEra != s.era {
			return nil, kinds.Errorf(kinds.Conflict, "%s has version %d in era %d", op.Key, s.rows[op.Key].Version, s.era)
		}
	}
	versions := make([]ident.Version, len(ops))
	for i, op := range ops {
		if !op.CheckOnly {
			s.rows[op.Key] = store.Row{Key: op.Key, Value: op.Value, Version: ident.NewVersion(s.era, op.IfVersion.Number()+1)}
			if s.onWrite != nil {
				s.onWrite(op)
			}
		}
		versions[i] = s.row(op.Key).Version
	}
	return versions, nil
}

// applyDelayed applies the oldest delayed write, whose condition may no longer hold.
func (s *fakeStore) applyDelayed() {
	if len(s.delayedWrites) > 0 {
		s.apply(s.delayedWrites[0])
		s.delayedWrites = s.delayedWrites[1:]
	}
}

type fakeClock struct{ now time.Time }

func (c *fakeClock) Now() time.Time          { return c.now }
func (c *fakeClock) advance(d time.Duration) { c.now = c.now.Add(d) }
