package once

import (
	"time"

	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/kinds"
)

// StepKind is a kind of step of a takeover.
type StepKind uint8

// The kinds of steps.
const (
	// StepReadHead: read the head row, then call Successor.HeadRead.
	StepReadHead StepKind = iota
	// StepSeal: write Head, whose state is Sealed, on the condition Head.Version, then call Successor.SealDone.
	StepSeal
	// StepReadRows: read the batch rows after After, then call Successor.RowsRead.
	StepReadRows
	// StepDone: the journal is sealed and read. Lookup answers from it.
	StepDone
)

// Step is the next I/O of a takeover.
type Step struct {
	Kind        StepKind
	Owner       ident.VM
	Incarnation ident.Incarnation
	// Head is the new head row for StepSeal; its Version is the condition.
	Head Head
	// After is the sequence number of the last batch row that was read, for StepReadRows.
	After uint64
}

// Row is one batch row of a journal.
type Row struct {
	Seq     uint64
	Entries []Entry
}

// Successor takes over the journal of one ended process and answers requests for its orders. It is not safe for
// concurrent use.
type Successor struct {
	owner       ident.VM
	incarnation ident.Incarnation
	sealer      ident.VM
	nextStep    StepKind
	head        Head
	// lastSeq is the sequence number of the last row read, and rowCount the number of rows read.
	lastSeq, rowCount uint64
	// index holds the state of each id in the journal: its first final state, if it has one. Bodies are left out.
	index map[ident.RequestID]indexEntry
	// rowsMissing is set if the journal has fewer rows than its head row states.
	rowsMissing bool
}

// indexEntry is the state of one id in the journal.
type indexEntry struct {
	state  State
	answer Response
	// row is the sequence number of the batch row that holds the body; zero if there is no body.
	row uint64
}

// NewSuccessor returns a Successor for the journal of owner's incarnation inc. The VM by is recorded as the sealer.
func NewSuccessor(owner ident.VM, inc ident.Incarnation, by ident.VM) *Successor {
	return &Successor{owner: owner, incarnation: inc, sealer: by, index: map[ident.RequestID]indexEntry{}}
}

// NextStep returns the step that is due.
func (s *Successor) NextStep() Step {
	st := Step{Kind: s.nextStep, Owner: s.owner, Incarnation: s.incarnation, After: s.lastSeq}
	if s.nextStep == StepSeal {
		st.Head = s.head
		st.Head.State, st.Head.SealedBy, st.Head.SealedEra = Sealed, s.sealer, s.head.Era
	}
	return st
}

// HeadRead passes in the head row as read.
func (s *Successor) HeadRead(h Head) {
	if s.nextStep != StepReadHead {
		return
	}
	s.head = h
	s.nextStep = StepSeal
	if h.State == Absent && h.Era == ident.FirstEra {
		// A store that has lost nothing never had the row.
		s.head.Since = ident.FirstEra
	}
	if h.State == Sealed || h.State == Complete {
		s.startReadingRows()
	}
}

// SealDone passes in the result of the attempt to seal. After a conflict or a lost response the head row is read again:
// this attempt or another successor may have sealed the journal, or the owner may have written another batch.
func (s *Successor) SealDone(r Result) {
	if s.nextStep != StepSeal {
		return
	}
	switch r.Outcome {
	case Written:
		s.head.State, s.head.Version, s.head.SealedBy, s.head.SealedEra = Sealed, r.Version, s.sealer, s.head.Era
		s.startReadingRows()
	case Unreachable:
	default:
		s.nextStep = StepReadHead
	}
}

// startReadingRows makes reading the rows the next step. They must be read after the seal took effect, since the owner
// may append until then.
func (s *Successor) startReadingRows() {
	s.nextStep = StepReadRows
	if s.head.Rows == 0 {
		s.nextStep = StepDone
	}
}

// RowsRead passes in the rows after Step.After, in the order of Seq. Last is set if there are no more.
func (s *Successor) RowsRead(rows []Row, last bool) {
	if s.nextStep != StepReadRows {
		return
	}
	for _, r := range rows {
		if r.Seq <= s.lastSeq {
			continue
		}
		s.lastSeq = r.Seq
		s.rowCount++
		for _, e := range r.Entries {
			s.addEntry(r.Seq, e)
		}
	}
	if last {
		s.nextStep = StepDone
		s.rowsMissing = s.rowCount < s.head.Rows
	}
}

// addEntry adds an entry to the index. It keeps the first final state of each id.
func (s *Successor) addEntry(seq uint64, e Entry) {
	if s.index[e.ID].state.final() {
		return
	}
	f := indexEntry{state: e.State, answer: e.Answer}
	if len(e.Answer.Body) > 0 {
		f.answer.Body, f.row = nil, seq
	}
	s.index[e.ID] = f
}

// Lookup answers a request for an order of the ended process. Until the steps are done, and whenever the journal does
// not prove an outcome, it returns ActionUnknown. Bodies are not held in memory: if Decision.BodyRow is set,
// Journal.Body reads the body.
func (s *Successor) Lookup(now time.Time, id ident.RequestID) Decision {
	t, ok := id.Parse()
	if !ok {
		return Decision{Action: ActionRefuse, Kind: kinds.BadRequest}
	}
	d := Decision{Action: ActionUnknown, Kind: kinds.OutcomeUnknown, Ticket: t}
	if t.Owner != s.owner || t.Incarnation != s.incarnation {
		d.Action = ActionForward
		return d
	}
	if s.nextStep != StepDone {
		return d
	}
	f, ok := s.index[id]
	switch {
	case !ok && s.absentMeansNotRun(t.Class) && !pastRetention(now, t), f.state == Aborted:
		d.Action, d.Kind = ActionRefuse, kinds.StaleTicket
	case f.state == Answered:
		d.Action, d.Kind, d.Answer, d.BodyRow = ActionReply, kinds.Answered, f.answer, f.row
	}
	return d
}

// absentMeansNotRun reports whether an id of class c that is not in the journal was certainly not sent. Only its owner
// marks a journal complete, in the era in which it was begun.
func (s *Successor) absentMeansNotRun(c ident.Class) bool {
	return !s.rowsMissing && (c == ident.Journalled && s.head.lossless() || s.head.State == Complete)
}

// Unknown lists the orders in the journal whose outcome is unknown, sorted by id. Class d orders that were in progress
// when the owner ended are not in the journal, and so not in the list.
func (s *Successor) Unknown() []ident.RequestID {
	ids := map[ident.RequestID]struct{}{}
	for id, f := range s.index {
		if f.state == Received || f.state == Unknown {
			ids[id] = struct{}{}
		}
	}
	return sortedIDs(ids)
}
