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

// world is what all protocols share: the fake clock, the seeded source, the fake store and the trace of one run.
type world struct {
	now   time.Time
	rnd   *rand.Rand
	store *table
	// wrong names the decision that is broken on purpose; empty in the matrix.
	wrong    string
	trace    []string
	breaches []breach
}

// breach is one report of a check.
type breach struct {
	check  check
	detail string
}

func newWorld(seed uint64, wrong string) *world {
	w := &world{
		now: time.Unix(1_800_000_000, 0), rnd: rand.New(rand.NewPCG(seed, 1)), wrong: wrong,
		store: &table{rows: map[string]store.Row{}},
	}
	w.store.note = w.note
	return w
}

func (w *world) clock() time.Time { return w.now }

// coin decides between two courses that are both possible.
func (w *world) coin() bool { return w.rnd.IntN(2) == 0 }

func (w *world) note(format string, args ...any) {
	w.trace = append(w.trace, fmt.Sprintf(format, args...))
}

// ensure reports a breach of the check unless ok holds. A run reports each check once.
func (w *world) ensure(c check, ok bool, format string, args ...any) {
	if ok || w.reported(c) {
		return
	}
	b := breach{c, fmt.Sprintf(format, args...)}
	w.breaches = append(w.breaches, b)
	w.note("BREACH %s: %s", b.check, b.detail)
}

func (w *world) reported(c check) bool {
	return slices.ContainsFunc(w.breaches, func(b breach) bool { return b.check == c })
}

// journalOwner is the part of once.Owner that the journal task uses.
type journalOwner interface {
	NextBatch(now time.Time, interval time.Duration) once.Work
	BatchDone(now time.Time, r once.Result) []once.Event
	ReadBack(now time.Time, h once.Head) []once.Event
	ReadBackFailed()
}

// writeJournal performs the journal I/O that is due.
func (w *world) writeJournal(o journalOwner) []once.Event {
	var events []once.Event
	once.NewJournal(w.store).Do(context.Background(), o.NextBatch(w.now, once.MinFlush),
		func(r once.Result) { events = o.BatchDone(w.now, r) },
		func(h once.Head, err error) {
			if err != nil {
				o.ReadBackFailed()
				return
			}
			events = o.ReadBack(w.now, h)
		})
	return events
}

// table is a fake of the platform's table with the three store faults.
type table struct {
	rows map[string]store.Row
	// down refuses every call. With slow, a read times out, and a write times out and takes effect at the next call.
	down, slow bool
	// lose is the number of writes whose answer is lost after the effect.
	lose int
	late [][]store.Op
	// history holds every row that was written, in order.
	history []store.Row
	note    func(format string, args ...any)
}

// heal ends the faults that last. Writes that are late take effect.
func (t *table) heal() {
	t.down, t.slow, t.lose = false, false, 0
	t.settle()
}

func (t *table) settle() {
	for _, ops := range t.late {
		_, err := t.apply(ops)
		t.note("store: a late write of %s takes effect: %v", ops[len(ops)-1].Key, err == nil)
	}
	t.late = nil
}

func (t *table) Get(_ context.Context, key string) (store.Row, error) {
	if t.down || t.slow {
		return store.Row{Key: key}, kinds.Errorf(kinds.StoreDown, "get %s", key)
	}
	row := t.rows[key]
	row.Key = key
	return row, nil
}

func (t *table) List(_ context.Context, prefix, after string, limit int) ([]store.Row, error) {
	if t.down || t.slow {
		return nil, kinds.Errorf(kinds.StoreDown, "list %s", prefix)
	}
	var rows []store.Row
	for _, key := range slices.Sorted(maps.Keys(t.rows)) {
		if strings.HasPrefix(key, prefix) && key > after && len(rows) < limit {
			rows = append(rows, t.rows[key])
		}
	}
	return rows, nil
}

func (t *table) Txn(_ context.Context, ops []store.Op) ([]ident.Version, error) {
	key := ops[len(ops)-1].Key
	switch {
	case t.down:
		return nil, kinds.Errorf(kinds.StoreDown, "write %s", key)
	case t.slow:
		t.settle()
		t.late = append(t.late, ops)
		t.note("store: the write of %s is slow", key)
		return nil, kinds.Errorf(kinds.StoreUnknown, "write %s", key)
	}
	t.settle()
	versions, err := t.apply(ops)
	if err == nil && t.lose > 0 {
		t.lose--
		t.note("store: the answer to the write of %s is lost", key)
		return nil, kinds.Errorf(kinds.StoreUnknown, "write %s", key)
	}
	return versions, err
}

func (t *table) apply(ops []store.Op) ([]ident.Version, error) {
	for _, op := range ops {
		if t.rows[op.Key].Version != op.IfVersion {
			return nil, kinds.Errorf(kinds.Conflict, "write %s", op.Key)
		}
	}
	versions := make([]ident.Version, len(ops))
	for i, op := range ops {
		versions[i] = op.IfVersion
		if !op.CheckOnly {
			versions[i]++
			t.rows[op.Key] = store.Row{Key: op.Key, Value: op.Value, Version: versions[i]}
			t.history = append(t.history, t.rows[op.Key])
		}
	}
	return versions, nil
}
