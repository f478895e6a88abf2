package once

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/kinds"
	"github.com/currantpier/currantpier/store"
)

// Store is the part of the platform's table that a journal needs. Txn returns an error of kind Conflict (a condition
// failed, nothing was written), StoreDown (certainly not written) or another kind (may have been written).
type Store interface {
	// Get returns a row with Version zero if the key is absent.
	Get(ctx context.Context, key string) (store.Row, error)
	// Txn returns the new version of each row.
	Txn(ctx context.Context, ops []store.Op) ([]ident.Version, error)
	// List returns up to limit rows with the prefix and a key greater than after, in key order.
	List(ctx context.Context, prefix, after string, limit int) ([]store.Row, error)
}

// Journal reads and writes journals. It keeps no state.
type Journal struct {
	store Store
}

// maxSeals bounds the attempts to seal in one takeover. An owner that is alive and nearer to the store can write between
// each read of the head and the seal, and the loop would not end.
const maxSeals = 5

// listRows is how many batch rows one List asks for. A row is at most about 1.4 MB and usually under 100 KB.
const listRows = 16

// Keys of a journal: "orders/<vm>/<incarnation in base 36>/head" and ".../batch/<seq in 16 hexadecimal digits>".
func prefix(vm ident.VM, inc ident.Incarnation) string {
	return "orders/" + string(vm) + "/" + strconv.FormatUint(uint64(inc), 36) + "/"
}

func headKey(vm ident.VM, inc ident.Incarnation) string { return prefix(vm, inc) + "head" }

func rowPrefix(vm ident.VM, inc ident.Incarnation) string { return prefix(vm, inc) + "batch/" }

func rowKey(vm ident.VM, inc ident.Incarnation, seq uint64) string {
	return rowPrefix(vm, inc) + fmt.Sprintf("%016x", seq)
}

// headRow is the JSON form of a head.
type headRow struct {
	State string   `json:"state"`
	Seq   uint64   `json:"seq"`
	Rows  uint64   `json:"rows"`
	By    ident.VM `json:"by,omitempty"`
}

// entryRow is the JSON form of an entry of a batch row.
type entryRow struct {
	ID      ident.RequestID `json:"id"`
	State   string          `json:"state"`
	Status  int             `json:"status,omitempty"`
	Type    string          `json:"content-type,omitempty"`
	Body    []byte          `json:"body,omitempty"`
	NotKept bool            `json:"body-not-kept,omitempty"`
}

// NewJournal returns a journal over s.
func NewJournal(s Store) *Journal { return &Journal{store: s} }

// Write carries out WorkWrite: one transaction of the head and the batch row.
func (j *Journal) Write(ctx context.Context, b Batch) Result {
	head := Head{Version: b.If, State: Open, Seq: b.Seq, Rows: b.Rows}
	if b.Final {
		head.State = Complete
	}
	ops := []store.Op{headOp(b.Owner, b.Incarnation, head)}
	if len(b.Entries) > 0 {
		ops = append(ops, store.Op{Key: rowKey(b.Owner, b.Incarnation, b.Seq), Value: encodeEntries(b.Entries)})
	}
	return j.txn(ctx, ops)
}

// ReadHead carries out WorkReadBack and StepReadHead.
func (j *Journal) ReadHead(ctx context.Context, vm ident.VM, inc ident.Incarnation) (Head, error) {
	row, err := j.store.Get(ctx, headKey(vm, inc))
	if err != nil || row.Version == 0 {
		return Head{}, kinds.Wrap(kinds.Of(err), err, "read journal head")
	}
	return decodeHead(row)
}

// Do carries out w and hands the result to done or readBack, which call the methods of Owner under the caller's lock.
func (j *Journal) Do(ctx context.Context, w Work, done func(Result), readBack func(Head, error)) {
	switch w.Kind {
	case WorkWrite:
		done(j.Write(ctx, w.Batch))
	case WorkReadBack:
		readBack(j.ReadHead(ctx, w.Batch.Owner, w.Batch.Incarnation))
	}
}

// Takeover seals the journal and reads it, until the successor's steps are done. After an error it can be called again
// with the same successor. It returns a Conflict error if the head keeps changing.
func (j *Journal) Takeover(ctx context.Context, s *Successor) error {
	for failed := 0; failed < maxSeals; {
		if err := ctx.Err(); err != nil {
			return kinds.Wrap(kinds.StoreDown, err, "take over journal")
		}
		st := s.Next()
		if st.Kind == StepDone {
			return nil
		}
		if err := j.step(ctx, s, st); err != nil {
			return err
		}
		if st.Kind == StepSeal && s.Next().Kind == StepReadHead {
			failed++
		}
	}
	return kinds.Errorf(kinds.Conflict, "the journal of %s changes faster than it can be sealed; its owner is alive", s.owner)
}

func (j *Journal) step(ctx context.Context, s *Successor, st Step) error {
	switch st.Kind {
	case StepReadHead:
		h, err := j.ReadHead(ctx, st.Owner, st.Incarnation)
		if err != nil {
			return err
		}
		s.HeadRead(h)
	case StepSeal:
		r := j.txn(ctx, []store.Op{headOp(st.Owner, st.Incarnation, st.Head)})
		s.SealDone(r)
		if r.Outcome == Down {
			return kinds.Errorf(kinds.StoreDown, "seal journal of %s", st.Owner)
		}
	case StepReadRows:
		rows, last, err := j.readRows(ctx, st)
		if err != nil {
			return err
		}
		s.RowsRead(rows, last)
	}
	return nil
}

// Body reads the body of a recorded answer of the batch row seq. It returns a NotFound error if the row or the entry is
// gone.
func (j *Journal) Body(ctx context.Context, id ident.RequestID, seq uint64) ([]byte, error) {
	t, ok := id.Parse()
	if !ok {
		return nil, kinds.Errorf(kinds.BadRequest, "malformed request id")
	}
	row, err := j.store.Get(ctx, rowKey(t.Owner, t.Incarnation, seq))
	if err != nil {
		return nil, kinds.Wrap(kinds.Of(err), err, "read journal row")
	}
	if row.Version != 0 {
		entries, err := decodeEntries(row)
		if err != nil {
			return nil, err
		}
		for _, e := range entries {
			if e.ID == id && e.State == Answered {
				return e.Answer.Body, nil
			}
		}
	}
	return nil, kinds.Errorf(kinds.NotFound, "no answer of %s in batch %d", id, seq)
}

func (j *Journal) readRows(ctx context.Context, st Step) (rows []Row, last bool, err error) {
	after := ""
	if st.After > 0 {
		after = rowKey(st.Owner, st.Incarnation, st.After)
	}
	list, err := j.store.List(ctx, rowPrefix(st.Owner, st.Incarnation), after, listRows)
	if err != nil {
		return nil, false, kinds.Wrap(kinds.Of(err), err, "list journal rows")
	}
	for _, r := range list {
		seq, err := strconv.ParseUint(r.Key[strings.LastIndexByte(r.Key, '/')+1:], 16, 64)
		if err != nil {
			return nil, false, kinds.Wrap(kinds.Internal, err, "journal row key")
		}
		entries, err := decodeEntries(r)
		if err != nil {
			return nil, false, err
		}
		rows = append(rows, Row{Seq: seq, Entries: entries})
	}
	// A store may return fewer rows than the limit, so only an empty page ends the list.
	return rows, len(list) == 0, nil
}

// txn runs a transaction whose first op writes a head.
func (j *Journal) txn(ctx context.Context, ops []store.Op) Result {
	versions, err := j.store.Txn(ctx, ops)
	switch {
	case err == nil && len(versions) == len(ops):
		return Result{Outcome: Written, Version: versions[0]}
	case kinds.Of(err) == kinds.Conflict:
		return Result{Outcome: Conflict}
	case kinds.Of(err) == kinds.StoreDown:
		return Result{Outcome: Down}
	}
	return Result{Outcome: InDoubt}
}

func headOp(vm ident.VM, inc ident.Incarnation, h Head) store.Op {
	value := mustJSON(headRow{State: h.State.String(), Seq: h.Seq, Rows: h.Rows, By: h.By})
	return store.Op{Key: headKey(vm, inc), Value: value, IfVersion: h.Version}
}

func decodeHead(row store.Row) (Head, error) {
	var r headRow
	if err := json.Unmarshal(row.Value, &r); err != nil {
		return Head{}, kinds.Wrap(kinds.Internal, err, "decode journal head")
	}
	for s := Open; s <= Complete; s++ {
		if s.String() == r.State {
			return Head{Version: row.Version, State: s, Seq: r.Seq, Rows: r.Rows, By: r.By}, nil
		}
	}
	return Head{}, kinds.Errorf(kinds.Internal, "journal head has state %q", r.State)
}

func encodeEntries(entries []Entry) []byte {
	rows := make([]entryRow, len(entries))
	for i, e := range entries {
		rows[i] = entryRow{e.ID, e.State.String(), e.Answer.Status, e.Answer.Type, e.Answer.Body, e.Answer.NotKept}
	}
	return mustJSON(rows)
}

func decodeEntries(row store.Row) ([]Entry, error) {
	var rows []entryRow
	if err := json.Unmarshal(row.Value, &rows); err != nil {
		return nil, kinds.Wrap(kinds.Internal, err, "decode journal row")
	}
	entries := make([]Entry, len(rows))
	for i, r := range rows {
		e := Entry{ID: r.ID, Answer: Answer{Status: r.Status, Type: r.Type, Body: r.Body, NotKept: r.NotKept}}
		for s := Received; s <= Aborted; s++ {
			if s.String() == r.State {
				e.State = s
			}
		}
		if e.State == 0 {
			return nil, kinds.Errorf(kinds.Internal, "journal entry has state %q", r.State)
		}
		entries[i] = e
	}
	return entries, nil
}

// mustJSON encodes a value of a type that always can be encoded.
func mustJSON(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}
