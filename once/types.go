// Package once guarantees that an order is sent to an upstream at most once. Each request id belongs to one owner
// process, and only that process may send the order. The owner writes ids and outcomes to a journal in a table with
// conditional writes. After the owner has ended, a successor seals the journal and answers requests for the owner's ids
// from it. Owner and Successor are pure state machines: the caller passes the current time and performs the I/O that
// they return. Journal performs that I/O.
package once

import (
	"time"

	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/kinds"
)

const (
	// Retention is how long an order's record is guaranteed to be kept. An id that was issued earlier and has no record
	// is never sent, since its record may have been dropped.
	Retention = 24 * time.Hour
	// StoreUpTimeout is the time after the last successful journal write from which the store counts as down.
	StoreUpTimeout = 10 * time.Second
	// MaxBodyBytes is the size of the longest response body that is recorded.
	MaxBodyBytes = 64 << 10
	// MinFlushInterval is the shortest interval between two journal writes of one process.
	MinFlushInterval = 25 * time.Millisecond
	// MaxJournalledFlushInterval is the longest flush interval at which class j tickets are issued. With a longer
	// interval, an order would wait longer for its journal write than for its answer.
	MaxJournalledFlushInterval = 250 * time.Millisecond

	// storeWritesPerSecond is the limit on the journal writes of all processes together; it is a share of the store's
	// total write rate.
	storeWritesPerSecond = 200
	// storeCheckInterval is the age of the last successful write at which an idle owner writes an empty batch. It
	// leaves time for one failed attempt of 2 s and its retry before StoreUpTimeout.
	storeCheckInterval = 4 * time.Second
	// retryDelay is the least delay before a failed journal write or read is retried.
	retryDelay = 250 * time.Millisecond
	// maxFutureMinutes is how many minutes after the present one the minute of an accepted ticket may be. Owner.Ticket
	// issues no tickets further ahead.
	maxFutureMinutes = 2
	// dropAge is the time from a record's final state to its removal. It exceeds Retention by maxFutureMinutes plus one
	// minute, so that the id of a removed record is older than Retention and can't be accepted again.
	dropAge = Retention + (maxFutureMinutes+1)*time.Minute
)

// FlushInterval returns the least time between two journal writes of one process when the given number of entry
// processes is live, so that all of them together stay within storeWritesPerSecond.
func FlushInterval(entries int) time.Duration {
	return max(MinFlushInterval, time.Duration(entries)*time.Second/storeWritesPerSecond)
}

// State is the state of an order's record.
type State uint8

// The states of a record. Received, Ready and Sent are in progress; the others are final.
const (
	// Received: a class j order whose id has not been confirmed to be in the journal.
	Received State = iota + 1
	// Ready: the order may be sent.
	Ready
	// Sent: bytes of the order may have reached an upstream.
	Sent
	// Answered: the upstream's answer is recorded.
	Answered
	// Unknown: the order may or may not have run.
	Unknown
	// Aborted: the order did not run and never will under this id.
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

// Response is an upstream's response as recorded.
type Response struct {
	Status int
	// ContentType is the value of the Content-Type header.
	ContentType string
	// Body has at most MaxBodyBytes bytes.
	Body []byte
	// BodyOmitted is set if the body was left out: it exceeds MaxBodyBytes, or the owner's limit on recorded bodies was
	// reached. Status and ContentType are valid.
	BodyOmitted bool
}

// Action is how a request for an order proceeds.
type Action uint8

// The actions.
const (
	// ActionJournal: a new class j order. Wait for its Event with state Ready, then call ClaimSend.
	ActionJournal Action = iota + 1
	// ActionSend: a new class d order. Call ClaimSend; if it returns true, send.
	ActionSend
	// ActionReply: Decision.Answer is the recorded response.
	ActionReply
	// ActionWait: an earlier request with this id is in progress. Wait until the record changes, by an Event or a call
	// of the request in progress.
	ActionWait
	// ActionRefuse: the order did not run and never will under this id. Kind is the reason.
	ActionRefuse
	// ActionForward: another process owns the id. Decision.Ticket names it.
	ActionForward
	// ActionUnknown: the order may have run. It is not sent again.
	ActionUnknown
	// ActionNone: the id has no record. Only Owner.Lookup returns it.
	ActionNone
)

var actionNames = [...]string{"?", "journal", "send", "reply", "wait", "refuse", "forward", "unknown", "none"}

// String returns the name of the action in lower case.
func (a Action) String() string {
	if int(a) >= len(actionNames) {
		return "invalid"
	}
	return actionNames[a]
}

// Decision is the result of a lookup of a request id.
type Decision struct {
	Action Action
	// Kind is the outcome for the caller. It is set for ActionReply, ActionWait, ActionRefuse and ActionUnknown.
	Kind kinds.Kind
	// Ticket is the parsed ticket of the id; zero if the id is malformed.
	Ticket ident.Ticket
	// Answer is set for ActionReply.
	Answer Response
	// BodyRow is the sequence number of the batch row that holds the body, if Successor.Lookup left the body out.
	// Journal.Body reads it.
	BodyRow uint64
}

// Event reports that a record has changed its state other than by a call for its id. The caller wakes the requests that
// wait for the id.
type Event struct {
	ID    ident.RequestID
	State State
}

// Entry is the record of one order in a batch.
type Entry struct {
	ID ident.RequestID
	// State is Received (the id without an outcome) or a final state.
	State  State
	Answer Response
}

// Batch is one journal write of an owner. A batch with an unknown result is retried unchanged, so that it makes no
// difference which attempt takes effect.
type Batch struct {
	Owner       ident.VM
	Incarnation ident.Incarnation
	// Seq is one more than the sequence number of the previous batch; the first is 1.
	Seq uint64
	// Rows counts the journal's batch rows including this one. A batch without entries has no row.
	Rows uint64
	// ExpectedVersion is the version that the head row must have; zero means that the row must not exist.
	ExpectedVersion ident.Version
	// Era is the era of the store in which the journal was begun. It is zero for the first batch of a process, which
	// begins the journal in the era that the store then has.
	Era ident.Era
	// Entries has at most one entry for each id.
	Entries []Entry
	// Final marks the journal complete.
	Final bool
}

// HeadState is the state of a journal, as stored in its head row.
type HeadState uint8

// The states of a journal.
const (
	// Absent: the head row does not exist; the owner has written nothing.
	Absent HeadState = iota
	// Open: the owner may append.
	Open
	// Sealed: a successor has closed the journal. Class d orders that ran may be missing from it.
	Sealed
	// Complete: the owner closed the journal at the end of a planned stop. Every order that ran is in it.
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
	// Version is the version of the row; zero if it does not exist.
	Version ident.Version
	State   HeadState
	// Seq is the sequence number of the last batch.
	Seq uint64
	// Rows counts the batch rows.
	Rows uint64
	// SealedBy is the VM that sealed the journal; empty if it is not sealed.
	SealedBy ident.VM
	// Since is the era of the store in which the journal was begun, and SealedEra the one in which it was sealed; zero
	// if not known, since a process that does not know eras wrote the row.
	Since, SealedEra ident.Era
	// Era is the era in which the row was read; zero if the store does not state it.
	Era ident.Era
}

// lossless reports whether a sealed journal has every id that its owner journalled. A store that returned to an earlier
// copy of itself between the begin and the seal may have lost batches, and the numbers in the restored head row do not
// show it.
func (h Head) lossless() bool {
	sealed := h.SealedEra
	if sealed == 0 {
		sealed = h.Era
	}
	return sealed <= ident.FirstEra || sealed == h.Since
}

// WriteOutcome is the outcome of one attempt of a conditional write.
type WriteOutcome uint8

// The outcomes of a conditional write.
const (
	// Written: the write took effect.
	Written WriteOutcome = iota + 1
	// Conflict: the condition failed; this attempt wrote nothing.
	Conflict
	// InDoubt: the response was lost; the write may have taken effect or may still do so.
	InDoubt
	// Unreachable: the store was not reached; this attempt wrote nothing.
	Unreachable
)

// Result is the result of one attempt to write a head row.
type Result struct {
	Outcome WriteOutcome
	// Version is the new version of the head row if Outcome is Written.
	Version ident.Version
}

// JournalIOKind is a kind of journal I/O.
type JournalIOKind uint8

// The kinds of journal I/O.
const (
	// IONone: nothing is due.
	IONone JournalIOKind = iota
	// IOWrite: write Batch, then call Owner.WriteDone.
	IOWrite
	// IOReadBack: read the head row of Batch's journal, then call Owner.ReadBackDone or Owner.ReadBackFailed.
	IOReadBack
)

// JournalIO is the journal I/O that is due.
type JournalIO struct {
	Kind  JournalIOKind
	Batch Batch
}
