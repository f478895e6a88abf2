package once

import (
	"time"

	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/kinds"
)

// StepKind says what a successor does next.
type StepKind uint8

// The kinds of steps.
const (
	// StepReadHead: read the head, then call Successor.HeadRead.
	StepReadHead StepKind = iota
	// StepSeal: write the head with state Sealed on the condition Head.Version, then call Successor.SealDone.
	StepSeal
	// StepReadRows: read the batch rows after After, then call Successor.RowsRead.
	StepReadRows
	// StepDone: the journal is sealed and read; Verdict gives certain answers.
	StepDone
)

// Step is the next piece of I/O of a successor.
type Step struct {
	Kind        StepKind
	Owner       ident.VM
	Incarnation ident.Incarnation
	// Head is the new content for StepSeal; its Version is the condition.
	Head Head
	// After is the sequence number of the last batch row that was read, for StepReadRows.
	After uint64
}

// Row is one batch row of a journal.
type Row struct {
	Seq     uint64
	Entries []Entry
}

// Successor gives the verdicts on the orders of one dead process. It is not safe for concurrent use.
type Successor struct {
	owner ident.VM
	inc   ident.Incarnation
	by    ident.VM
	next  StepKind
	head  Head
	// after is the sequence number of the last row read, and rows counts the rows read.
	after, rows uint64
	// index holds the newest state of each id in the journal, without bodies.
	index map[ident.RequestID]found
	// missing says that the journal has fewer rows than its head says.
	missing bool
}

// found is what the journal says of one id.
type found struct {
	state  State
	answer Answer
	// row is the batch that holds the answer.
	row uint64
}

// NewSuccessor returns a successor for the journal of owner's incarnation inc. By is the VM that seals.
func NewSuccessor(owner ident.VM, inc ident.Incarnation, by ident.VM) *Successor {
	return &Successor{owner: owner, inc: inc, by: by, index: map[ident.RequestID]found{}}
}

// Next returns the step that is due.
func (s *Successor) Next() Step {
	st := Step{Kind: s.next, Owner: s.owner, Incarnation: s.inc, After: s.after}
	if s.next == StepSeal {
		st.Head = Head{Version: s.head.Version, State: Sealed, Seq: s.head.Seq, Rows: s.head.Rows, By: s.by}
	}
	return st
}

// HeadRead takes the head as read.
func (s *Successor) HeadRead(h Head) {
	if s.next != StepReadHead {
		return
	}
	s.head = h
	s.next = StepSeal
	if h.State == Sealed || h.State == Complete {
		s.startRows()
	}
}

// SealDone takes the result of the attempt to seal. After a conflict or a lost answer the head is read again: it may
// have been sealed by this attempt or by another successor, or the owner may have written one more batch.
func (s *Successor) SealDone(r Result) {
	if s.next != StepSeal {
		return
	}
	switch r.Outcome {
	case Written:
		s.head.State, s.head.Version, s.head.By = Sealed, r.Version, s.by
		s.startRows()
	case Down:
	default:
		s.next = StepReadHead
	}
}

// startRows begins to read the rows. They must be read after the seal took effect, since the owner may append until
// then.
func (s *Successor) startRows() {
	s.next = StepReadRows
	if s.head.Rows == 0 {
		s.next = StepDone
	}
}

// RowsRead takes the rows after Step.After in order of Seq. Last says that there are no more.
func (s *Successor) RowsRead(rows []Row, last bool) {
	if s.next != StepReadRows {
		return
	}
	for _, r := range rows {
		if r.Seq <= s.after {
			continue
		}
		s.after = r.Seq
		s.rows++
		for _, e := range r.Entries {
			s.add(r.Seq, e)
		}
	}
	if last {
		s.next = StepDone
		s.missing = s.rows < s.head.Rows
	}
}

// add keeps the first final state of each id.
func (s *Successor) add(seq uint64, e Entry) {
	if s.index[e.ID].state.final() {
		return
	}
	f := found{state: e.State, answer: e.Answer}
	if len(e.Answer.Body) > 0 {
		f.answer.Body, f.row = nil, seq
	}
	s.index[e.ID] = f
}

// Verdict answers a request for an order of the dead process. Until the steps are done it is DoUnknown, which commits
// to nothing. The body of a recorded answer is not in memory: if Row is set, Journal.Body reads it.
func (s *Successor) Verdict(now time.Time, id ident.RequestID) Decision {
	t, ok := id.Parse()
	if !ok {
		return Decision{Do: DoRefuse, Kind: kinds.BadRequest}
	}
	d := Decision{Do: DoUnknown, Kind: kinds.OutcomeUnknown, Ticket: t}
	if t.Owner != s.owner || t.Incarnation != s.inc {
		d.Do = DoForward
		return d
	}
	if s.next != StepDone {
		return d
	}
	f, ok := s.index[id]
	switch {
	case !ok && s.absentMeansNotRun(t.Class) && !expired(now, t), f.state == Aborted:
		d.Do, d.Kind = DoRefuse, kinds.StaleTicket
	case f.state == Answered:
		d.Do, d.Kind, d.Answer, d.Row = DoReply, kinds.Answered, f.answer, f.row
	}
	return d
}

// absentMeansNotRun reports whether an id of the class that is not in the journal was certainly not sent.
func (s *Successor) absentMeansNotRun(c ident.Class) bool {
	return !s.missing && (c == ident.Journalled || s.head.State == Complete)
}

// Unknown lists the orders in the journal whose outcome is unknown, in order of id. Class d orders that were in
// progress when the owner died are not in the journal and so not in the list.
func (s *Successor) Unknown() []ident.RequestID {
	ids := map[ident.RequestID]struct{}{}
	for id, f := range s.index {
		if f.state == Received || f.state == Unknown {
			ids[id] = struct{}{}
		}
	}
	return sortedIDs(ids)
}
