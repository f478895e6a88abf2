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

// Store is the part of a table store that a Journal uses. Txn returns an error of kind Conflict (a condition failed,
// nothing was written), StoreDown (nothing was written) or another kind (the rows may have been written).
type Store interface {
	// Get returns a row; its Version is zero if the key does not exist.
	Get(ctx context.Context, key string) (store.Row, error)
	// Txn writes all rows or none, and returns the new version of each row.
	Txn(ctx context.Context, ops []store.Op) ([]ident.Version, error)
	// List returns up to limit rows, in key order, whose key has the prefix and is greater than after.
	List(ctx context.Context, prefix, after string, limit int) ([]store.Row, error)
}

// Journal performs the I/O of owners and successors. It keeps no state besides the store.
type Journal struct {
	store Store
}

// maxSealAttempts is the maximum number of conflicting or unresolved attempts to seal a journal in one takeover. An
// owner that is still running can write between each read of the head and the seal, and the loop would not end.
const maxSealAttempts = 5

// listPageRows is the number of batch rows that one List requests. A row has at most about 1.4 MB, usually less than
// 100 KB.
const listPageRows = 16

// keyPrefix returns the common prefix of a journal's keys, which are "orders/<vm>/<incarnation in base 36>/head" and
// "orders/<vm>/<incarnation in base 36>/batch/<sequence number in 16 hexadecimal digits>".
func keyPrefix(vm ident.VM, inc ident.Incarnation) string {
	return "orders/" + string(vm) + "/" + strconv.FormatUint(uint64(inc), 36) + "/"
}

func headKey(vm ident.VM, inc ident.Incarnation) string { return keyPrefix(vm, inc) + "head" }

func rowPrefix(vm ident.VM, inc ident.Incarnation) string { return keyPrefix(vm, inc) + "batch/" }

func rowKey(vm ident.VM, inc ident.Incarnation, seq uint64) string {
	return rowPrefix(vm, inc) + fmt.Sprintf("%016x", seq)
}

// headJSON is the JSON form of a head row.
type headJSON struct {
	State string   `json:"state"`
	Seq   uint64   `json:"seq"`
	Rows  uint64   `json:"rows"`
	By    ident.VM `json:"by,omitempty"`
	// Since and SealedEra are those of Head.
	Since     ident.Era `json:"since-era,omitempty"`
	SealedEra ident.Era `json:"sealed-era,omitempty"`
}

// entryJSON is the JSON form of an entry of a batch row.
type entryJSON struct {
	ID      ident.RequestID `json:"id"`
	State   string          `json:"state"`
	Status  int             `json:"status,omitempty"`
	Type    string          `json:"content-type,omitempty"`
	Body    []byte          `json:"body,omitempty"`
	NotKept bool            `json:"body-not-kept,omitempty"`
}

// NewJournal returns a Journal that uses the store s.
func NewJournal(s Store) *Journal { return &Journal{store: s} }

// Write performs IOWrite: one transaction that writes the head row and the batch row, in the era of the journal. If the
// batch names none, it begins the journal in the era that the store has now.
func (j *Journal) Write(ctx context.Context, b Batch) Result {
	if b.Era == 0 {
		row, err := j.store.Get(ctx, headKey(b.Owner, b.Incarnation))
		if err != nil {
			return Result{Outcome: Unreachable}
		}
		b.Era = row.Era
	}
	head := Head{Version: b.ExpectedVersion, State: Open, Seq: b.Seq, Rows: b.Rows, Since: b.Era, Era: b.Era}
	if b.Final {
		head.State = Complete
	}
	ops := []store.Op{headOp(b.Owner, b.Incarnation, head)}
	if len(b.Entries) > 0 {
		ops = append(ops, store.Op{Key: rowKey(b.Owner, b.Incarnation, b.Seq), Value: encodeEntries(b.Entries)})
	}
	return j.writeTxn(ctx, ops)
}

// ReadHead performs IOReadBack and StepReadHead.
func (j *Journal) ReadHead(ctx context.Context, vm ident.VM, inc ident.Incarnation) (Head, error) {
	row, err := j.store.Get(ctx, headKey(vm, inc))
	if err != nil || row.Version == 0 {
		return Head{Era: row.Era}, kinds.Wrap(kinds.Of(err), err, "read journal head")
	}
	return decodeHead(row)
}

// Perform performs op and passes the result to done or readBackDone, which call the methods of Owner under the caller's
// lock.
func (j *Journal) Perform(ctx context.Context, op JournalIO, done func(Result), readBackDone func(Head, error)) {
	switch op.Kind {
	case IOWrite:
		done(j.Write(ctx, op.Batch))
	case IOReadBack:
		readBackDone(j.ReadHead(ctx, op.Batch.Owner, op.Batch.Incarnation))
	}
}

// SealAndRead performs the steps of s until the journal is sealed and read. After an error it can be called again with
// the same Successor. It returns an error of kind Conflict if maxSealAttempts attempts to seal conflicted or had no
// known result.
func (j *Journal) SealAndRead(ctx context.Context, s *Successor) error {
	for attempts := 0; attempts < maxSealAttempts; {
		if err := ctx.Err(); err != nil {
			return kinds.Wrap(kinds.StoreDown, err, "take over journal")
		}
		st := s.NextStep()
		if st.Kind == StepDone {
			return nil
		}
		if err := j.runStep(ctx, s, st); err != nil {
			return err
		}
		if st.Kind == StepSeal && s.NextStep().Kind == StepReadHead {
			attempts++
		}
	}
	return kinds.Errorf(kinds.Conflict,
		"journal of %s: every attempt to seal it conflicted or had no known result; its owner may still be running", s.owner)
}

func (j *Journal) runStep(ctx context.Context, s *Successor, st Step) error {
	switch st.Kind {
	case StepReadHead:
		h, err := j.ReadHead(ctx, st.Owner, st.Incarnation)
		if err != nil {
			return err
		}
		s.HeadRead(h)
	case StepSeal:
		r := j.writeTxn(ctx, []store.Op{headOp(st.Owner, st.Incarnation, st.Head)})
		s.SealDone(r)
		if r.Outcome == Unreachable {
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

// Body reads the body of a recorded answer from the batch row with sequence number seq. It returns an error of kind
// NotFound if the row or the entry does not exist.
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
	return nil, kinds.Errorf(kinds.NotFound, "no recorded answer to %s in batch row %d", id, seq)
}

func (j *Journal) readRows(ctx context.Context, st Step) (rows []Row, last bool, err error) {
	after := ""
	if st.After > 0 {
		after = rowKey(st.Owner, st.Incarnation, st.After)
	}
	list, err := j.store.List(ctx, rowPrefix(st.Owner, st.Incarnation), after, listPageRows)
	if err != nil {
		return nil, false, kinds.Wrap(kinds.Of(err), err, "list journal rows")
	}
	for _, r := range list {
		seq, err := strconv.ParseUint(r.Key[strings.LastIndexByte(r.Key, '/')+1:], 16, 64)
		if err != nil {
			return nil, false, kinds.Wrap(kinds.Internal, err, "parse key of journal row")
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

// writeTxn runs a transaction whose first operation writes a head row.
func (j *Journal) writeTxn(ctx context.Context, ops []store.Op) Result {
	versions, err := j.store.Txn(ctx, ops)
	switch {
	case err == nil && len(versions) == len(ops):
		return Result{Outcome: Written, Version: versions[0]}
	case kinds.Of(err) == kinds.Conflict:
		return Result{Outcome: Conflict}
	case kinds.Of(err) == kinds.StoreDown:
		return Result{Outcome: Unreachable}
	}
	return Result{Outcome: InDoubt}
}

func headOp(vm ident.VM, inc ident.Incarnation, h Head) store.Op {
	value := mustJSON(headJSON{
		State: h.State.String(), Seq: h.Seq, Rows: h.Rows, By: h.SealedBy, Since: h.Since, SealedEra: h.SealedEra,
	})
	return store.Op{Key: headKey(vm, inc), Value: value, IfVersion: h.Version, IfEra: h.Era}
}

func decodeHead(row store.Row) (Head, error) {
	var r headJSON
	if err := json.Unmarshal(row.Value, &r); err != nil {
		return Head{}, kinds.Wrap(kinds.Internal, err, "decode journal head")
	}
	for s := Open; s <= Complete; s++ {
		if s.String() == r.State {
			return Head{
				Version: row.Version, State: s, Seq: r.Seq, Rows: r.Rows, SealedBy: r.By, Since: r.Since, SealedEra: r.SealedEra,
				Era: row.Era,
			}, nil
		}
	}
	return Head{}, kinds.Errorf(kinds.Internal, "journal head has unknown state %q", r.State)
}

func encodeEntries(entries []Entry) []byte {
	rows := make([]entryJSON, len(entries))
	for i, e := range entries {
		rows[i] = entryJSON{e.ID, e.State.String(), e.Answer.Status, e.Answer.ContentType, e.Answer.Body, e.Answer.BodyOmitted}
	}
	return mustJSON(rows)
}

func decodeEntries(row store.Row) ([]Entry, error) {
	var rows []entryJSON
	if err := json.Unmarshal(row.Value, &rows); err != nil {
		return nil, kinds.Wrap(kinds.Internal, err, "decode journal row")
	}
	entries := make([]Entry, len(rows))
	for i, r := range rows {
		e := Entry{ID: r.ID, Answer: Response{Status: r.Status, ContentType: r.Type, Body: r.Body, BodyOmitted: r.NotKept}}
		for s := Received; s <= Aborted; s++ {
			if s.String() == r.State {
				e.State = s
			}
		}
		if e.State == 0 {
			return nil, kinds.Errorf(kinds.Internal, "journal entry has unknown state %q", r.State)
		}
		if e.State == Answered && !e.Answer.valid() {
			return nil, kinds.Errorf(kinds.Internal, "journal entry of %q has a malformed answer: status %d, content type %q", r.ID,
				r.Status, r.Type)
		}
		entries[i] = e
	}
	return entries, nil
}

// valid reports whether a response can have come from a target.
func (r Response) valid() bool {
	return r.Status >= minStatus && r.Status <= maxStatus && !strings.ContainsAny(r.ContentType, "\r\n")
}

// The range of the status codes of final responses.
const (
	minStatus = 200
	maxStatus = 999
)

// mustJSON encodes a value of a type whose encoding can't fail.
func mustJSON(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}
