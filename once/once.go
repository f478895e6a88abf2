// Package once keeps the at-most-once record of orders. Each request id is bound to one owner process, which alone may
// send the order. The owner journals ids and outcomes in a conditional table, and a successor seals the journal of a
// dead owner to give certain answers. Owner and Successor are pure state machines: the caller passes the present time
// and carries out the returned actions. Journal is the I/O part.
package once

import (
	"time"

	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/kinds"
)

const (
	// Keep is how long a record is kept. An id that was issued earlier and has no record is never sent.
	Keep = 24 * time.Hour
	// StoreFresh is how long after the last successful journal write the store counts as up.
	StoreFresh = 10 * time.Second
	// MaxBody is the longest answer body that is recorded, in bytes.
	MaxBody = 64 << 10
	// MinFlush is the shortest interval between two journal writes of one process.
	MinFlush = 25 * time.Millisecond
	// MaxJournalledFlush is the longest flush interval at which class j tickets are issued. Beyond it, an order would
	// wait longer for its journal write than for its answer.
	MaxJournalledFlush = 250 * time.Millisecond

	// writesPerSecond is the share of the store's write rate that all journals together may use.
	writesPerSecond = 200
	// checkEvery is the age of the last successful write at which an idle owner writes an empty batch. It leaves one
	// more try of 2 s and its back-off before StoreFresh.
	checkEvery = 4 * time.Second
	// retryWait is the pause before a failed journal write or read is tried again.
	retryWait = 250 * time.Millisecond
	// maxAhead is how many minutes a ticket may lie in the future. Owner.Ticket runs ahead by at most this much.
	maxAhead = 2
	// dropAfter is the age after the last change at which a record is dropped. It exceeds Keep by maxAhead and one
	// minute, so that the id of a dropped record is older than Keep and can't be accepted again.
	dropAfter = Keep + (maxAhead+1)*time.Minute
)

// FlushInterval returns the least time between two journal writes of one process when the given number of entries is
// live, so that all of them together stay within the store's write rate.
func FlushInterval(entries int) time.Duration {
	return max(MinFlush, time.Duration(entries)*time.Second/writesPerSecond)
}

// State is the state of an order's record.
type State uint8

// The states. Received, Ready and Sent are in progress; the others are final.
const (
	// Received: a class j order whose id is not in the journal yet.
	Received State = iota + 1
	// Ready: the order may be sent.
	Ready
	// Sent: bytes of the order may have reached an upstream.
	Sent
	// Answered: the upstream's answer is recorded.
	Answered
	// Unknown: the order may or may not have run.
	Unknown
	// Aborted: the order was not run and never will be under this id.
	Aborted
)

var stateNames = [...]string{"none", "received", "ready", "sent", "answered", "unknown", "aborted"}

// String returns the name of the state in lower case.
func (s State) String() string {
	if int(s) >= len(stateNames) {
		return "invalid"
	}
	return stateNames[s]
}

func (s State) final() bool { return s >= Answered }

// Answer is an upstream's recorded answer.
type Answer struct {
	Status int
	// Type is the content type.
	Type string
	// Body is at most MaxBody bytes.
	Body []byte
	// NotKept says that the body was too long to record. Status is valid.
	NotKept bool
}

// Do says how a request for an order goes on.
type Do uint8

// The ways to go on.
const (
	// DoJournal: a new class j order. Wait for its Event with state Ready, then call ReadyToSend.
	DoJournal Do = iota + 1
	// DoSend: a new class d order. Call ReadyToSend, then send.
	DoSend
	// DoReply: Answer is the recorded answer.
	DoReply
	// DoWait: another request with this id is in progress. Wait for its Event or its end.
	DoWait
	// DoRefuse: the order was not run and never will be under this id. Kind is the reason.
	DoRefuse
	// DoForward: another process owns the id. Ticket names it.
	DoForward
	// DoUnknown: the order may have run. It is not sent again.
	DoUnknown
	// DoNone: there is no record (Owner.Find only).
	DoNone
)

var doNames = [...]string{"?", "journal", "send", "reply", "wait", "refuse", "forward", "unknown", "none"}

// String returns the name of the decision in lower case.
func (d Do) String() string {
	if int(d) >= len(doNames) {
		return "invalid"
	}
	return doNames[d]
}

// Decision is the answer to a request for an order.
type Decision struct {
	Do Do
	// Kind is the kind of the answer to the caller for DoReply, DoRefuse and DoUnknown.
	Kind kinds.Kind
	// Ticket is the parsed ticket of the id; zero if the id is malformed.
	Ticket ident.Ticket
	// Answer is set for DoReply.
	Answer Answer
	// Row is the sequence number of the batch that holds the body, if Successor.Verdict left the body out. See
	// Journal.Body.
	Row uint64
}

// Event says that the record of an order has changed state without a call for that id. The caller wakes the requests
// that wait for it.
type Event struct {
	ID    ident.RequestID
	State State
}

// Entry is one order in a batch.
type Entry struct {
	ID ident.RequestID
	// State is Received (id only) or a final state.
	State  State
	Answer Answer
}

// Batch is one journal write of an owner. Its content stays the same until the write is resolved, so that a delayed
// earlier attempt can't be confused with a later one.
type Batch struct {
	Owner       ident.VM
	Incarnation ident.Incarnation
	// Seq is one more than the sequence number of the previous batch; the first is 1.
	Seq uint64
	// Rows counts the batch rows including this one. A batch without entries has no row.
	Rows uint64
	// If is the version the head row must have; zero means that the head must not exist.
	If ident.Version
	// Entries holds each id at most once.
	Entries []Entry
	// Final marks the journal complete.
	Final bool
}

// HeadState is the state of a journal.
type HeadState uint8

// The states of a journal.
const (
	// Absent: the owner has not written yet.
	Absent HeadState = iota
	// Open: the owner may append.
	Open
	// Sealed: a successor ended the journal. Orders of class d may be missing.
	Sealed
	// Complete: the owner ended the journal in a planned stop. Every order that ran is in it.
	Complete
)

var headStateNames = [...]string{"absent", "open", "sealed", "complete"}

// String returns the name of the state in lower case.
func (s HeadState) String() string {
	if int(s) >= len(headStateNames) {
		return "invalid"
	}
	return headStateNames[s]
}

// Head is the head row of a journal.
type Head struct {
	// Version is the version of the row; zero if it is absent.
	Version ident.Version
	State   HeadState
	// Seq is the sequence number of the last batch.
	Seq uint64
	// Rows counts the batch rows.
	Rows uint64
	// By is the VM that sealed the journal.
	By ident.VM
}

// Outcome is the result of a conditional write.
type Outcome uint8

// The results of a conditional write.
const (
	// Written: the write took effect.
	Written Outcome = iota + 1
	// Conflict: the condition failed; this attempt wrote nothing.
	Conflict
	// InDoubt: the answer was lost; the write may have taken effect, or may still do so.
	InDoubt
	// Down: the store was not reached; this attempt wrote nothing.
	Down
)

// Result is the result of one attempt to write a head.
type Result struct {
	Outcome Outcome
	// Version is the new version of the head if Outcome is Written.
	Version ident.Version
}

// WorkKind says what the journal task does next.
type WorkKind uint8

// The kinds of work.
const (
	// WorkNone: nothing is due.
	WorkNone WorkKind = iota
	// WorkWrite: write Batch, then call Owner.BatchDone.
	WorkWrite
	// WorkReadBack: read the head of Batch's journal, then call Owner.ReadBack or Owner.ReadBackFailed.
	WorkReadBack
)

// Work is the next piece of journal I/O.
type Work struct {
	Kind  WorkKind
	Batch Batch
}
