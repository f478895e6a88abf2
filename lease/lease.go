// Package lease elects one process at a time by a conditional write to one row of a table. The row's version fences
// writes of an earlier holder, and by the holder's own clock its lease ends before another process may acquire it.
//
// If the store comes back from an earlier copy of itself, it has lost a lease that was acquired or renewed since, whose
// holder still acts on it until its own clock ends it. The first lease of the new era is therefore acquired only after
// Duration in that era, even if the restored row has no holder, and its term is greater than every term of earlier eras.
//
// The package assumes that clocks run at the same rate to within Margin per Duration. It does not assume that they show
// the same time: a challenger waits until the row has been unchanged for Duration by its own clock.
package lease

import (
	"encoding/json"
	"time"

	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/store"
)

// The defaults of a Keeper.
const (
	// Key is the table row of the steering lease.
	Key = "lease/steer"
	// DefaultDuration is how long one write holds the lease.
	DefaultDuration = 10 * time.Second
	// DefaultMargin is how much earlier the lease ends for the holder than for a challenger. It covers clock rates that
	// differ by 10%.
	DefaultMargin = time.Second
)

// Row is the content of the lease row.
type Row struct {
	// Version is the version of the table row; zero means that the row does not exist.
	Version ident.Version `json:"-"`
	// Era is the era of the store when the row was read, or in which it is to be written; zero if it is not known.
	Era ident.Era `json:"-"`
	// Holder is empty after a release.
	Holder      ident.VM          `json:"holder"`
	Incarnation ident.Incarnation `json:"incarnation"`
	// Term is the fencing term, see ident.NextTerm. It grows with each acquisition.
	Term ident.Term `json:"term"`
	// ExpiryMs is the expiry by the holder's clock, in milliseconds since the Unix epoch. It shows operators how old
	// the lease is; no other clock is compared with it.
	ExpiryMs int64 `json:"expiry-ms"`
	// DurationMs is the holder's Duration in milliseconds. A challenger with a shorter Duration waits for this time.
	DurationMs int64 `json:"length-ms"`
}

// State is the lease as one process has observed it. The zero value with Self, Incarnation, Duration and Margin set is
// the state at start-up.
type State struct {
	Self        ident.VM
	Incarnation ident.Incarnation
	// Duration is how long one write holds the lease, and Margin how much earlier it ends for the holder; Margin <
	// Duration.
	Duration, Margin time.Duration

	// Version is the version of the row that this process wrote and confirmed last; zero if it holds no lease.
	Version ident.Version
	// Term is the fencing term that belongs to Version.
	Term ident.Term
	// ValidUntil is the time from which this process no longer acts as the holder.
	ValidUntil time.Time

	// PendingTerm is the term of the writes whose responses were lost; zero if there is none.
	PendingTerm ident.Term
	// PendingSince is a time before the first of them was sent.
	PendingSince time.Time

	// ObservedVersion is the version of a row whose expiry this process waits for, and ObservedAt the time at which it
	// was first read in ObservedEra; zero if there is none. The row is another process's, or one of an earlier era.
	ObservedVersion ident.Version
	ObservedEra     ident.Era
	ObservedAt      time.Time
}

// Verb is what an Action does.
type Verb uint8

// The verbs.
const (
	// Wait means that no write is due before Action.NextAt.
	Wait Verb = iota
	// Acquire means that Action.Op acquires the lease with a new term.
	Acquire
	// Renew means that Action.Op extends the lease of this process.
	Renew
)

// Action is the result of a decision.
type Action struct {
	Do Verb
	// State is the state after the row was read. It replaces the state that was passed in.
	State State
	// Row and Op are what to write for Acquire and Renew.
	Row Row
	Op  store.Op
	// NextAt is when to call Decide again.
	NextAt time.Time
}

// Held returns the fencing term, and whether this process may act as the holder at now.
func (s State) Held(now time.Time) (ident.Term, bool) {
	// The wall clock is compared as well, since the monotonic clock stops while a VM is suspended.
	held := s.Version != 0 && now.Before(s.ValidUntil) && now.Round(0).Before(s.ValidUntil.Round(0))
	return s.Term, held
}

// ParseRow decodes a row of the table. A malformed value counts as the lease of an unknown holder, which any process may
// acquire after maxDuration: an error would leave the lease without a holder until an operator repairs the row.
func ParseRow(r store.Row) Row {
	if r.Version == 0 {
		return Row{Era: r.Era}
	}
	var row Row
	if err := json.Unmarshal(r.Value, &row); err != nil || !row.valid(r.Era) {
		row = Row{Holder: unknownHolder, DurationMs: maxDuration.Milliseconds()}
	}
	row.Version, row.Era = r.Version, r.Era
	return row
}

const (
	// maxDuration is the longest lease that the settings allow.
	maxDuration = time.Minute
	// unknownHolder is the holder of a malformed row. It is not a valid name of a VM.
	unknownHolder ident.VM = "?"
)

// valid reports whether a process can have written the row in the given era of the store or an earlier one.
func (r Row) valid(era ident.Era) bool {
	return r.Term > 0 && r.DurationMs >= 0 && r.DurationMs <= maxDuration.Milliseconds() && r.Term.Era() <= max(era, ident.FirstEra)
}

// Decide returns what to write, if anything, given the row as read. The time now must be taken after the row was read
// and before the write is sent.
func Decide(s State, row Row, now time.Time) Action {
	s = observeRow(s, row, now)
	switch {
	case s.Version != 0 && s.Version == row.Version:
		return decideHeld(s, row, now)
	case row.free():
		return writeAction(s, Acquire, row, now)
	}
	expiry := s.ObservedAt.Add(max(s.Duration, time.Duration(row.DurationMs)*time.Millisecond))
	if now.Before(expiry) {
		return Action{State: s, NextAt: earlier(now.Add(s.Duration/3), expiry)}
	}
	return writeAction(s, Acquire, row, now)
}

// free reports whether the row proves that no process holds the lease. A row without a holder that was written in an
// earlier era does not, since the store may have lost a later row.
func (r Row) free() bool { return r.Holder == "" && r.Term.Era() >= r.Era }

// observeRow updates the state from the row as read.
func observeRow(s State, row Row, now time.Time) State {
	own := row.Version != 0 && row.Holder == s.Self && row.Incarnation == s.Incarnation
	switch {
	case own && row.Version == s.Version:
		return s
	case own && s.PendingTerm != 0 && row.Term == s.PendingTerm && row.Version.Era() == row.Term.Era():
		// A write whose response was lost took effect. It is not known which one, so the lease runs from the time of
		// the first.
		return Confirmed(s, row, s.PendingSince)
	}
	s.Version, s.ValidUntil = 0, time.Time{}
	if row.free() {
		return s.withoutObservation()
	}
	if s.ObservedVersion != row.Version || s.ObservedEra != row.Era || s.ObservedAt.IsZero() {
		s.ObservedVersion, s.ObservedEra, s.ObservedAt = row.Version, row.Era, now
	}
	return s
}

func (s State) withoutObservation() State {
	s.ObservedVersion, s.ObservedEra, s.ObservedAt = 0, 0, time.Time{}
	return s
}

func decideHeld(s State, row Row, now time.Time) Action {
	if _, held := s.Held(now); !held {
		// No other process has acquired the lease, but a term must not span a time in which this process did not hold
		// it, so a new term begins.
		return writeAction(s, Acquire, row, now)
	}
	sent := s.ValidUntil.Add(s.Margin - s.Duration)
	if due := sent.Add(s.Duration / 3); now.Before(due) {
		return Action{State: s, NextAt: due}
	}
	return writeAction(s, Renew, row, now)
}

func writeAction(s State, do Verb, old Row, now time.Time) Action {
	term := s.Term
	if do == Acquire {
		// The term of a malformed row is not known, but this process may have seen it before.
		term = ident.NextTerm(max(old.Term, s.Term), old.Era)
	}
	row := Row{
		Era: old.Era, Holder: s.Self, Incarnation: s.Incarnation, Term: term,
		ExpiryMs: now.Add(s.Duration).UnixMilli(), DurationMs: s.Duration.Milliseconds(),
	}
	return Action{Do: do, State: s, Row: row, Op: writeOp(row, old), NextAt: now.Add(s.Duration / 3)}
}

// writeOp returns the write of row on the condition that old is unchanged, in the era in which it was read.
func writeOp(row, old Row) store.Op {
	value, _ := json.Marshal(row) // no field of Row can fail to encode
	return store.Op{Key: Key, Value: value, IfVersion: old.Version, IfEra: old.Era}
}

// Confirmed returns the state after a write of row that was sent at sent and is known to have produced row.Version.
func Confirmed(s State, row Row, sent time.Time) State {
	s.Version, s.Term = row.Version, row.Term
	s.ValidUntil = sent.Add(s.Duration - s.Margin)
	s.PendingTerm, s.PendingSince = 0, time.Time{}
	return s.withoutObservation()
}

// Unresolved returns the state after a write of row that was sent at sent and whose response was lost.
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
