package once

import (
	"context"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/kinds"
	"github.com/currantpier/currantpier/store"
)

// restorableStore is an in-memory table that can return to an earlier copy of itself.
type restorableStore struct {
	// rows holds the numbers of the versions.
	rows map[string]store.Row
	era  ident.Era
}

func (s *restorableStore) row(r store.Row) store.Row {
	r.Version, r.Era = ident.NewVersion(s.era, r.Version.Number()), s.era
	return r
}

func (s *restorableStore) Get(_ context.Context, key string) (store.Row, error) {
	return s.row(s.rows[key]), nil
}

func (s *restorableStore) Txn(_ context.Context, ops []store.Op) ([]ident.Version, error) {
	for _, op := range ops {
		if s.row(s.rows[op.Key]).Version != op.IfVersion || op.IfEra != 0 && op.IfEra != s.era {
			return nil, kinds.Errorf(kinds.Conflict, "%s", op.Key)
		}
	}
	versions := make([]ident.Version, len(ops))
	for i, op := range ops {
		n := op.IfVersion.Number() + 1
		s.rows[op.Key] = store.Row{Key: op.Key, Value: op.Value, Version: ident.Version(n)}
		versions[i] = ident.NewVersion(s.era, n)
	}
	return versions, nil
}

func (s *restorableStore) List(_ context.Context, prefix, after string, limit int) ([]store.Row, error) {
	var rows []store.Row
	for _, key := range slices.Sorted(maps.Keys(s.rows)) {
		if strings.HasPrefix(key, prefix) && key > after && len(rows) < limit {
			rows = append(rows, s.row(s.rows[key]))
		}
	}
	return rows, nil
}

func (s *restorableStore) restore(saved map[string]store.Row) {
	s.rows, s.era = map[string]store.Row{}, s.era+1
	maps.Copy(s.rows, saved)
}

// restoreTest is an owner and its journal in a restorableStore.
type restoreTest struct {
	*testing.T
	store   *restorableStore
	journal *Journal
	owner   *Owner
	now     time.Time
}

func newRestoreTest(t *testing.T) *restoreTest {
	st := &restorableStore{rows: map[string]store.Row{}, era: ident.FirstEra}
	r := &restoreTest{T: t, store: st, journal: NewJournal(st), owner: NewOwner("a", 7), now: time.Unix(1_000_000, 0)}
	r.write()
	return r
}

// write performs the journal I/O that becomes due within 5 s and returns its events.
func (r *restoreTest) write() []Event {
	var events []Event
	for range 10 {
		events = append(events, r.writeOnce()...)
	}
	return events
}

// writeOnce performs the journal I/O that is due 0.5 s later.
func (r *restoreTest) writeOnce() []Event {
	var events []Event
	r.now = r.now.Add(500 * time.Millisecond)
	r.journal.Perform(r.Context(), r.owner.NextIO(r.now, MinFlushInterval),
		func(res Result) { events = r.owner.WriteDone(r.now, res) },
		func(h Head, err error) {
			if err != nil {
				r.Fatal(err)
			}
			events = r.owner.ReadBackDone(r.now, h)
		})
	return events
}

// newID issues a ticket of class j and completes it.
func (r *restoreTest) newID(suffix string) ident.RequestID {
	t, ok := r.owner.Ticket(r.now, MinFlushInterval)
	if !ok || t.Class != ident.Journalled {
		r.Fatalf("ticket %+v, %v, want class j", t, ok)
	}
	return t.ID(suffix)
}

// run sends an order and records its answer in memory; write journals it.
func (r *restoreTest) run(id ident.RequestID) {
	d := r.owner.Begin(r.now, id, r.now.Add(time.Minute))
	r.write()
	if d.Action != ActionJournal || !r.owner.ClaimSend(r.now, id) {
		r.Fatalf("%s: %v, not sent", id, d.Action)
	}
	r.owner.RecordAnswer(r.now, id, Response{Status: 200})
}

// takeover returns the decision of a successor for id.
func (r *restoreTest) takeover(id ident.RequestID) Action {
	t, _ := id.Parse()
	s := NewSuccessor(t.Owner, t.Incarnation, "b")
	if err := r.journal.SealAndRead(r.Context(), s); err != nil {
		r.Fatal(err)
	}
	return s.Lookup(r.now, id).Action
}

// Guards against an order that ran and is reported as not run, because the store has lost its record: the caller would
// submit it again, and it would run twice.
func TestLostRecordIsNotReportedAsNotRun(t *testing.T) {
	for _, tt := range []struct {
		name string
		// save returns the copy that the store returns to after the order ran.
		save func(r *restoreTest) map[string]store.Row
	}{
		{"the copy has the head row", func(r *restoreTest) map[string]store.Row { return maps.Clone(r.store.rows) }},
		{"the copy has no row", func(*restoreTest) map[string]store.Row { return nil }},
	} {
		for eras := range 3 {
			r := newRestoreTest(t)
			saved := tt.save(r)
			id := r.newID("x")
			r.run(id)
			r.write()
			for range eras {
				r.store.restore(saved)
			}
			want := ActionUnknown
			if eras == 0 {
				want = ActionReply
			}
			if got := r.takeover(id); got != want {
				t.Errorf("%s, %d restores: %v, want %v", tt.name, eras, got, want)
			}
			// A second successor finds the seal of the first.
			if got := r.takeover(id); got != want {
				t.Errorf("%s, %d restores, second successor: %v, want %v", tt.name, eras, got, want)
			}
		}
	}
}

// Guards against an order that runs after a successor has reported it as not run, because the store has lost the seal
// that stopped the owner, and against an owner that accepts no more orders after a restore.
func TestLostSealStopsOwner(t *testing.T) {
	r := newRestoreTest(t)
	answered, refused := r.newID("answered"), r.newID("refused")
	r.run(answered)
	r.write()
	saved := maps.Clone(r.store.rows)
	if got := r.takeover(refused); got != ActionRefuse {
		t.Fatalf("an id that is not in the journal: %v", got)
	}
	r.store.restore(saved)
	d := r.owner.Begin(r.now, refused, r.now.Add(time.Minute))
	events := r.write()
	if d.Action != ActionJournal || r.owner.ClaimSend(r.now, refused) || !slices.Contains(events, Event{refused, Aborted}) {
		t.Errorf("an order that was reported as not run is sent: %v, %v", d.Action, events)
	}
	if got := r.owner.Lookup(r.now, answered).Action; got != ActionReply {
		t.Errorf("order that ran before the restore, asked at its owner: %v", got)
	}
	next := r.newID("next")
	r.run(next)
	r.write()
	unseen := r.newID("unseen")
	if got := r.takeover(next); got != ActionReply {
		t.Errorf("order after the restore: %v", got)
	}
	if got := r.takeover(unseen); got != ActionRefuse {
		t.Errorf("id issued after the restore and not in the journal: %v, want refuse, since nothing of it was lost", got)
	}
}

// Guards against a journal that begins in an earlier era than its store has: the create of its head row names no version.
func TestDelayedFirstBatchAfterRestore(t *testing.T) {
	r := newRestoreTest(t)
	r.takeover(r.newID("x"))
	for range 20 {
		if r.owner.Incarnation() == 7 {
			r.writeOnce() // finds that the journal is sealed
		}
	}
	id := r.newID("y")
	r.owner.Begin(r.now, id, r.now.Add(time.Minute))
	r.now = r.now.Add(time.Second)
	delayed := r.owner.NextIO(r.now, MinFlushInterval)
	if delayed.Kind != IOWrite || delayed.Batch.ExpectedVersion != 0 || len(delayed.Batch.Entries) != 1 {
		t.Fatalf("journal I/O %+v, want the first batch of a journal", delayed)
	}
	r.store.restore(nil)
	if got := r.journal.Write(t.Context(), delayed.Batch); got.Outcome != Conflict {
		t.Errorf("batch of era 1 in era 2: outcome %d, version %d", got.Outcome, got.Version)
	}
}

// Guards against a journal whose final state is in the copy and is no longer believed, and against a journal of a
// process that does not know eras that proves more than it can.
func TestJournalsInCopies(t *testing.T) {
	open := `{"state":"open","seq":1,"rows":0`
	for _, tt := range []struct {
		head string
		era  ident.Era
		want Action
	}{
		{open + `}`, 1, ActionRefuse},
		{open + `}`, 2, ActionUnknown},
		{open + `,"since-era":1}`, 1, ActionRefuse},
		{open + `,"since-era":1}`, 2, ActionUnknown},
		{open + `,"since-era":2}`, 2, ActionRefuse},
		{open + `,"since-era":2}`, 3, ActionUnknown},
		{`{"state":"sealed","seq":1,"rows":0,"by":"c","since-era":2,"sealed-era":2}`, 3, ActionRefuse},
		{`{"state":"sealed","seq":1,"rows":0,"by":"c","since-era":1,"sealed-era":2}`, 2, ActionUnknown},
		{`{"state":"sealed","seq":1,"rows":0,"by":"c"}`, 1, ActionRefuse},
		{`{"state":"sealed","seq":1,"rows":0,"by":"c"}`, 2, ActionUnknown},
		{`{"state":"complete","seq":1,"rows":0,"since-era":1}`, 2, ActionRefuse},
		{`{"state":"complete","seq":1,"rows":1,"since-era":1}`, 2, ActionUnknown},
	} {
		r := newRestoreTest(t)
		id := r.newID("x")
		r.store.rows[headKey("a", 7)] = store.Row{Value: []byte(tt.head), Version: 1}
		r.store.era = tt.era
		if got := r.takeover(id); got != tt.want {
			t.Errorf("%s in era %d: %v, want %v", tt.head, tt.era, got, tt.want)
		}
	}
}
