// Package lease elects one process at a time by a conditional write to one row of a table. The row's version fences
// the writes of an earlier holder, and the holder's own clock ends its belief before another process may take over.
//
// The package assumes that clocks run at the same rate to within Margin per Length. It does not assume that they show
// the same time: a challenger waits until it has watched an unchanged row for Length by its own clock.
package lease

import (
	"encoding/json"
	"time"

	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/kinds"
	"github.com/currantpier/currantpier/store"
)

// The defaults of a Keeper.
const (
	// Key is the table row of the steering lease.
	Key = "lease/steer"
	// DefaultLength is the time that one write holds the lease.
	DefaultLength = 10 * time.Second
	// DefaultMargin is by how much the holder's belief ends early. It covers 10% of clock rate difference.
	DefaultMargin = time.Second
)

// Row is the content of the lease row.
type Row struct {
	// Version is the version of the table row; zero means that the row does not exist.
	Version ident.Version `json:"-"`
	// Holder is empty after a release.
	Holder      ident.VM          `json:"holder"`
	Incarnation ident.Incarnation `json:"incarnation"`
	// Term grows by one with each acquisition and never falls.
	Term ident.Term `json:"term"`
	// ExpiryMs is by the holder's clock, in milliseconds since the Unix epoch. It tells operators how old the lease is;
	// no other clock is compared with it.
	ExpiryMs int64 `json:"expiry-ms"`
	// LengthMs is the holder's Length. A challenger with a shorter setting waits for this time.
	LengthMs int64 `json:"length-ms"`
}

// State is what one process knows of the lease. The zero value with Self, Incarnation, Length and Margin set is the
// state at start-up.
type State struct {
	Self        ident.VM
	Incarnation ident.Incarnation
	// Length is the time that one write holds the lease, and Margin by how much belief ends early; Margin < Length.
	Length, Margin time.Duration

	// Version is the version of the row that this process wrote and confirmed last; zero if it holds no lease.
	Version ident.Version
	// Term is the fencing term that belongs to Version.
	Term ident.Term
	// Until is the time from which this process no longer believes that it holds the lease.
	Until time.Time

	// PendingTerm is the term of the writes with a lost answer; zero if there is none.
	PendingTerm ident.Term
	// PendingSince is the time before the first of them was sent.
	PendingSince time.Time

	// Watched is the version of another process's row, and WatchedSince the time at which it was first seen.
	Watched      ident.Version
	WatchedSince time.Time
}

// Verb says what to do next.
type Verb uint8

// The verbs.
const (
	// Wait means that nothing is to be written before Action.At.
	Wait Verb = iota
	// Acquire means that Action.Op takes the lease with a new term.
	Acquire
	// Renew means that Action.Op extends the lease of this process.
	Renew
)

// Action is the result of a decision.
type Action struct {
	Do Verb
	// State is the state after the row was seen. It replaces the state that was passed in.
	State State
	// Row and Op are what to write for Acquire and Renew.
	Row Row
	Op  store.Op
	// At is when to decide again.
	At time.Time
}

// Held returns the fencing term, and whether this process may act as the holder at now.
func (s State) Held(now time.Time) (ident.Term, bool) {
	// The wall clock is compared too: the monotonic clock stands still while a VM is suspended.
	held := s.Version != 0 && now.Before(s.Until) && now.Round(0).Before(s.Until.Round(0))
	return s.Term, held
}

// ParseRow decodes a row of the table. It returns an Internal error for a malformed value.
func ParseRow(r store.Row) (Row, error) {
	if r.Version == 0 {
		return Row{}, nil
	}
	var row Row
	if err := json.Unmarshal(r.Value, &row); err != nil {
		return Row{}, kinds.Wrap(kinds.Internal, err, "parse lease row")
	}
	row.Version = r.Version
	return row, nil
}

// Decide sees the row as read at now and says what to write, if anything. The time now must be taken after the row was
// read and before the write is sent.
func Decide(s State, row Row, now time.Time) Action {
	s = adopt(s, row, now)
	switch {
	case s.Version != 0 && s.Version == row.Version:
		return decideOwn(s, row, now)
	case row.Holder == "":
		return write(s, Acquire, row, row.Term+1, now)
	}
	over := s.WatchedSince.Add(max(s.Length, time.Duration(row.LengthMs)*time.Millisecond))
	if now.Before(over) {
		return Action{State: s, At: earlier(now.Add(s.Length/3), over)}
	}
	return write(s, Acquire, row, row.Term+1, now)
}

// adopt updates the state by what the row shows.
func adopt(s State, row Row, now time.Time) State {
	own := row.Version != 0 && row.Holder == s.Self && row.Incarnation == s.Incarnation
	switch {
	case own && row.Version == s.Version:
		return s
	case own && s.PendingTerm != 0 && row.Term == s.PendingTerm:
		// A write with a lost answer took effect. Which one is not known, so the time of the first counts.
		return Confirmed(s, row, s.PendingSince)
	}
	s.Version, s.Until = 0, time.Time{}
	if row.Holder == "" {
		s.Watched, s.WatchedSince = 0, time.Time{}
	} else if s.Watched != row.Version {
		s.Watched, s.WatchedSince = row.Version, now
	}
	return s
}

func decideOwn(s State, row Row, now time.Time) Action {
	if _, held := s.Held(now); !held {
		// Nobody else took the lease, but a term must not span a time in which this process had stopped believing.
		return write(s, Acquire, row, row.Term+1, now)
	}
	sent := s.Until.Add(s.Margin - s.Length)
	if due := sent.Add(s.Length / 3); now.Before(due) {
		return Action{State: s, At: due}
	}
	return write(s, Renew, row, s.Term, now)
}

func write(s State, do Verb, old Row, term ident.Term, now time.Time) Action {
	row := Row{
		Holder: s.Self, Incarnation: s.Incarnation, Term: term,
		ExpiryMs: now.Add(s.Length).UnixMilli(), LengthMs: s.Length.Milliseconds(),
	}
	return Action{Do: do, State: s, Row: row, Op: op(row, old.Version), At: now.Add(s.Length / 3)}
}

func op(row Row, old ident.Version) store.Op {
	value, _ := json.Marshal(row) // a Row has no field that can fail
	return store.Op{Key: Key, Value: value, If: old}
}

// Confirmed returns the state after the write of row, sent at sent, is known to have given it row.Version.
func Confirmed(s State, row Row, sent time.Time) State {
	s.Version, s.Term = row.Version, row.Term
	s.Until = sent.Add(s.Length - s.Margin)
	s.PendingTerm, s.PendingSince = 0, time.Time{}
	s.Watched, s.WatchedSince = 0, time.Time{}
	return s
}

// Unresolved returns the state after the answer to the write of row, sent at sent, was lost.
func Unresolved(s State, row Row, sent time.Time) State {
	if s.PendingTerm != row.Term {
		s.PendingTerm, s.PendingSince = row.Term, sent
	}
	return s
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
