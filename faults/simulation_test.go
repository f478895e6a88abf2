package faults

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/kinds"
	"github.com/currantpier/currantpier/once"
	"github.com/currantpier/currantpier/store"
)

// simulation is the environment of one run: fake clock, seeded random source, fake store, trace and breaches.
type simulation struct {
	now   time.Time
	rnd   *rand.Rand
	store *fakeStore
	// broken names the decision that is deliberately broken; empty in the matrix.
	broken   string
	trace    []string
	breaches []breach
}

// breach is a failed check with the details of the failure.
type breach struct {
	check  check
	detail string
}

func newSimulation(seed uint64, broken string) *simulation {
	sim := &simulation{
		now: time.Unix(1_800_000_000, 0), rnd: rand.New(rand.NewPCG(seed, 1)), broken: broken,
		store: &fakeStore{rows: map[string]store.Row{}},
	}
	sim.store.logf = sim.logf
	return sim
}

func (sim *simulation) clock() time.Time { return sim.now }

// randomBool returns a random choice, made from the seed, between two outcomes that are both possible.
func (sim *simulation) randomBool() bool { return sim.rnd.IntN(2) == 0 }

// logf adds a line to the trace, which is printed if the run fails.
func (sim *simulation) logf(format string, args ...any) {
	sim.trace = append(sim.trace, fmt.Sprintf(format, args...))
}

// ensure records a breach of the check unless ok holds. Each check is recorded at most once per run.
func (sim *simulation) ensure(c check, ok bool, format string, args ...any) {
	if ok || sim.breached(c) {
		return
	}
	b := breach{c, fmt.Sprintf(format, args...)}
	sim.breaches = append(sim.breaches, b)
	sim.logf("BREACH %s: %s", b.check, b.detail)
}

// breached reports whether the run has breached the check.
func (sim *simulation) breached(c check) bool {
	return slices.ContainsFunc(sim.breaches, func(b breach) bool { return b.check == c })
}

// journalOwner is the part of once.Owner that journal writes need.
type journalOwner interface {
	NextIO(now time.Time, interval time.Duration) once.JournalIO
	WriteDone(now time.Time, r once.Result) []once.Event
	ReadBackDone(now time.Time, h once.Head) []once.Event
	ReadBackFailed()
}

// writeJournal performs the journal I/O that is due and returns the resulting events.
func (sim *simulation) writeJournal(o journalOwner) []once.Event {
	var events []once.Event
	once.NewJournal(sim.store).Perform(context.Background(), o.NextIO(sim.now, once.MinFlushInterval),
		func(r once.Result) { events = o.WriteDone(sim.now, r) },
		func(h once.Head, err error) {
			if err != nil {
				o.ReadBackFailed()
				return
			}
			events = o.ReadBackDone(sim.now, h)
		})
	return events
}

// fakeStore is an in-memory fake of the platform's table with the three store faults.
type fakeStore struct {
	rows map[string]store.Row
	// down refuses every call. With slow set, reads and writes time out, and a write takes effect before the next write
	// or in endFaults.
	down, slow bool
	// answersToLose is the number of successful writes to come whose answer is lost.
	answersToLose int
	// lateWrites holds the writes that timed out and have not taken effect.
	lateWrites [][]store.Op
	// history holds every row written, in order.
	history []store.Row
	logf    func(format string, args ...any)
}

// endFaults ends all store faults and applies the late writes.
func (s *fakeStore) endFaults() {
	s.down, s.slow, s.answersToLose = false, false, 0
	s.applyLateWrites()
}

// applyLateWrites applies the writes that timed out. One whose expected version no longer matches has no effect.
func (s *fakeStore) applyLateWrites() {
	for _, ops := range s.lateWrites {
		_, err := s.apply(ops)
		s.logf("store: late write of %s, applied: %v", ops[len(ops)-1].Key, err == nil)
	}
	s.lateWrites = nil
}

func (s *fakeStore) Get(_ context.Context, key string) (store.Row, error) {
	if s.down || s.slow {
		return store.Row{Key: key}, kinds.Errorf(kinds.StoreDown, "get %s", key)
	}
	row := s.rows[key]
	row.Key = key
	return row, nil
}

func (s *fakeStore) List(_ context.Context, prefix, after string, limit int) ([]store.Row, error) {
	if s.down || s.slow {
		return nil, kinds.Errorf(kinds.StoreDown, "list %s", prefix)
	}
	var rows []store.Row
	for _, key := range slices.Sorted(maps.Keys(s.rows)) {
		if strings.HasPrefix(key, prefix) && key > after && len(rows) < limit {
			rows = append(rows, s.rows[key])
		}
	}
	return rows, nil
}

func (s *fakeStore) Txn(_ context.Context, ops []store.Op) ([]ident.Version, error) {
	key := ops[len(ops)-1].Key
	switch {
	case s.down:
		return nil, kinds.Errorf(kinds.StoreDown, "write %s", key)
	case s.slow:
		s.applyLateWrites()
		s.lateWrites = append(s.lateWrites, ops)
		s.logf("store: the write of %s times out", key)
		return nil, kinds.Errorf(kinds.StoreUnknown, "write %s", key)
	}
	s.applyLateWrites()
	versions, err := s.apply(ops)
	if err == nil && s.answersToLose > 0 {
		s.answersToLose--
		s.logf("store: the answer to the write of %s is lost", key)
		return nil, kinds.Errorf(kinds.StoreUnknown, "write %s", key)
	}
	return versions, err
}

func (s *fakeStore) apply(ops []store.Op) ([]ident.Version, error) {
	for _, op := range ops {
		if s.rows[op.Key].Version != op.IfVersion {
			return nil, kinds.Errorf(kinds.Conflict, "write %s", op.Key)
		}
	}
	versions := make([]ident.Version, len(ops))
	for i, op := range ops {
		versions[i] = op.IfVersion
		if !op.CheckOnly {
			versions[i]++
			s.rows[op.Key] = store.Row{Key: op.Key, Value: op.Value, Version: versions[i]}
			s.history = append(s.history, s.rows[op.Key])
		}
	}
	return versions, nil
}
