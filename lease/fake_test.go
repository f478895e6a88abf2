package lease_test

import (
	"context"
	"time"

	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/kinds"
	"github.com/currantpier/currantpier/store"
)

// fate is what happens to a write.
type fate int

const (
	applied fate = iota
	refused      // StoreDown: not written
	lostAnswer
	lostRequest
	delayed // the answer is lost and the write is applied later, by land
)

// fakeStore is a table in memory whose writes can be lost. It is for one goroutine.
type fakeStore struct {
	rows map[string]store.Row
	// next returns the fate of the next write; nil applies all.
	next func() fate
	// pass is called before and after each call takes effect; nil does nothing.
	pass func()
	// readsFail makes Get fail.
	readsFail bool
	// written is called for each row when it is written; nil does nothing.
	written func(store.Op)
	late    [][]store.Op
	reads   int
}

func newFakeStore() *fakeStore { return &fakeStore{rows: map[string]store.Row{}} }

// once gives the next write the fate f and lets all later ones be applied.
func (s *fakeStore) once(f fate) {
	s.next = func() fate { s.next = nil; return f }
}

func (s *fakeStore) wait() {
	if s.pass != nil {
		s.pass()
	}
}

func (s *fakeStore) Get(_ context.Context, key string) (store.Row, error) {
	s.wait()
	defer s.wait()
	s.reads++
	if s.readsFail {
		return store.Row{}, kinds.Errorf(kinds.StoreDown, "down")
	}
	return s.rows[key], nil
}

func (s *fakeStore) Txn(_ context.Context, ops []store.Op) ([]ident.Version, error) {
	f := applied
	if s.next != nil {
		f = s.next()
	}
	s.wait()
	defer s.wait()
	switch f {
	case refused:
		return nil, kinds.Errorf(kinds.StoreDown, "down")
	case lostRequest:
		return nil, kinds.Errorf(kinds.StoreUnknown, "lost")
	case delayed:
		s.late = append(s.late, ops)
		return nil, kinds.Errorf(kinds.StoreUnknown, "lost")
	}
	versions, err := s.apply(ops)
	if f == lostAnswer {
		return nil, kinds.Errorf(kinds.StoreUnknown, "lost")
	}
	return versions, err
}

func (s *fakeStore) apply(ops []store.Op) ([]ident.Version, error) {
	for _, op := range ops {
		if s.rows[op.Key].Version != op.If {
			return nil, kinds.Errorf(kinds.Conflict, "%s has version %d", op.Key, s.rows[op.Key].Version)
		}
	}
	versions := make([]ident.Version, len(ops))
	for i, op := range ops {
		if !op.CheckOnly {
			s.rows[op.Key] = store.Row{Key: op.Key, Value: op.Value, Version: op.If + 1}
			if s.written != nil {
				s.written(op)
			}
		}
		versions[i] = s.rows[op.Key].Version
	}
	return versions, nil
}

// land applies the oldest delayed write, whose condition may no longer hold.
func (s *fakeStore) land() {
	if len(s.late) > 0 {
		s.apply(s.late[0])
		s.late = s.late[1:]
	}
}

type fakeClock struct{ now time.Time }

func (c *fakeClock) Now() time.Time          { return c.now }
func (c *fakeClock) advance(d time.Duration) { c.now = c.now.Add(d) }
