// Package drain provides state machines for the planned stop of a process and for the removal of an upstream target. It
// performs no I/O and depends only on package ident.
package drain

import (
	"slices"
	"time"

	"github.com/currantpier/currantpier/ident"
)

// Phase is a phase of a planned stop.
type Phase uint8

// The phases, in order.
const (
	// Serving: no stop has been requested.
	Serving Phase = iota
	// Announced: lookup answers omit the process, but it still accepts requests because callers cache old answers.
	Announced
	// Finishing: new requests are rejected; requests in progress continue.
	Finishing
	// HandingOver: no request is in progress; the process writes its final records.
	HandingOver
	// Exit: the process may exit.
	Exit
)

// String returns the name of the phase in kebab case.
func (p Phase) String() string {
	return [...]string{"serving", "announced", "finishing", "handing-over", "exit"}[p]
}

// InLookup reports whether lookup answers may include the process in this phase.
func (p Phase) InLookup() bool {
	return p == Serving
}

// TakesWork reports whether new requests are accepted in this phase.
func (p Phase) TakesWork() bool {
	return p <= Announced
}

// DefaultStopTimeout is the maximum duration of a planned stop if NewStop gets none.
const DefaultStopTimeout = 60 * time.Second

// cacheExpiryMargin is added to the TTL of lookup answers. It covers answers still in transit and clock differences
// between hosts.
const cacheExpiryMargin = time.Second

// abortReserve is the last part of a planned stop. Requests still in progress are then given up, so that their callers
// get a response before the process exits.
const abortReserve = 200 * time.Millisecond

// Stop is the state machine for the planned stop of one process. It is not safe for concurrent use.
type Stop struct {
	lookupTTL, timeout time.Duration
	phase              Phase
	// signaledAt is the time of the first signal, or zero if there was none.
	signaledAt time.Time
	forced     bool
}

// NewStop returns a Stop in phase Serving. Callers may cache lookup answers for lookupTTL. The stop ends at most
// timeout after the first signal; a zero timeout means DefaultStopTimeout.
func NewStop(lookupTTL, timeout time.Duration) *Stop {
	if timeout == 0 {
		timeout = DefaultStopTimeout
	}
	return &Stop{lookupTTL: lookupTTL, timeout: timeout}
}

// HandleSignal starts the stop. A second signal moves it to Exit immediately.
func (s *Stop) HandleSignal(now time.Time) {
	switch s.phase {
	case Serving:
		s.phase, s.signaledAt = Announced, now
	case Announced, Finishing, HandingOver:
		s.phase, s.forced = Exit, true
	}
}

// Advance moves past all phases that are complete at now and returns the resulting phase. inFlight is the number of
// requests in progress; handedOver is true once the final records are written. Advance never returns to an earlier phase.
func (s *Stop) Advance(now time.Time, inFlight int, handedOver bool) Phase {
	if s.phase == Serving || s.phase == Exit {
		return s.phase
	}
	if s.phase == Announced && !now.Before(s.signaledAt.Add(s.lookupTTL+cacheExpiryMargin)) {
		s.phase = Finishing
	}
	if s.phase == Finishing && inFlight == 0 {
		s.phase = HandingOver
	}
	switch {
	case s.phase == HandingOver && handedOver && inFlight == 0:
		s.phase = Exit
	case !now.Before(s.signaledAt.Add(s.timeout)):
		s.phase, s.forced = Exit, true
	}
	return s.phase
}

// NextDeadline returns the time of the next phase change that doesn't depend on requests or records, or zero if there is none.
func (s *Stop) NextDeadline() time.Time {
	deadline := s.signaledAt.Add(s.timeout)
	switch s.phase {
	case Announced:
		if t := s.signaledAt.Add(s.lookupTTL + cacheExpiryMargin); t.Before(deadline) {
			return t
		}
		return deadline
	case Finishing, HandingOver:
		return deadline
	}
	return time.Time{}
}

// Forced reports whether a second signal or the timeout ended the stop before all requests were finished and the final
// records written.
func (s *Stop) Forced() bool {
	return s.forced
}

// ExitTime returns when the stop ends at the latest, whatever is still in progress. Before a signal it returns zero.
func (s *Stop) ExitTime() time.Time {
	if s.signaledAt.IsZero() {
		return time.Time{}
	}
	return s.signaledAt.Add(s.timeout)
}

// AbortTime returns when requests in progress must be given up. Before a signal it returns zero.
func (s *Stop) AbortTime() time.Time {
	if s.signaledAt.IsZero() {
		return time.Time{}
	}
	return s.ExitTime().Add(-min(abortReserve, s.timeout/2))
}

// StopNewWork is the deadline for all entries to stop sending new requests to a target that is being removed, counted
// from when the first entry is notified.
const StopNewWork = 3 * time.Second

// entryReport is the last report of an entry about a target.
type entryReport struct {
	newWorkStopped bool
	inFlight       int
}

// TargetDrain tracks the drain of one upstream target from the reports of the entries. It is not safe for concurrent use.
type TargetDrain struct {
	Name ident.Target

	noticedAt time.Time
	reports   map[ident.VM]entryReport
	// doneAt is when all entries had stopped and become idle, or zero while one may still send or has requests.
	doneAt time.Time
}

// NewTargetDrain returns a TargetDrain for a drain of which the first entry was notified at noticedAt. entries are the entry VMs
// that may send requests to the target.
func NewTargetDrain(name ident.Target, noticedAt time.Time, entries []ident.VM) *TargetDrain {
	t := &TargetDrain{Name: name, noticedAt: noticedAt, reports: make(map[ident.VM]entryReport, len(entries))}
	for _, e := range entries {
		t.reports[e] = entryReport{}
	}
	t.updateDoneAt(noticedAt)
	return t
}

// Report records whether an entry has stopped sending new requests and how many it has in progress. An entry that was
// not passed to NewTarget is included from its first report on.
func (t *TargetDrain) Report(now time.Time, entry ident.VM, newWorkStopped bool, inFlight int) {
	t.reports[entry] = entryReport{newWorkStopped, inFlight}
	t.updateDoneAt(now)
}

// RemoveEntry removes a failed entry; its requests in progress no longer count.
func (t *TargetDrain) RemoveEntry(now time.Time, entry ident.VM) {
	delete(t.reports, entry)
	t.updateDoneAt(now)
}

// updateDoneAt sets doneAt when all entries have stopped and are idle, and clears it if an entry reports new work
// later.
func (t *TargetDrain) updateDoneAt(now time.Time) {
	for _, r := range t.reports {
		if !r.newWorkStopped || r.inFlight > 0 {
			t.doneAt = time.Time{}
			return
		}
	}
	if t.doneAt.IsZero() {
		t.doneAt = now
	}
}

// Unconfirmed returns, in sorted order, the entries that have not confirmed within StopNewWork that they stopped sending new
// requests. Before that time it returns nil.
func (t *TargetDrain) Unconfirmed(now time.Time) []ident.VM {
	if now.Before(t.noticedAt.Add(StopNewWork)) {
		return nil
	}
	var late []ident.VM
	for vm, r := range t.reports {
		if !r.newWorkStopped {
			late = append(late, vm)
		}
	}
	slices.Sort(late)
	return late
}

// InFlight returns the number of requests in progress at the target, summed over the last reports of the entries.
func (t *TargetDrain) InFlight() int {
	n := 0
	for _, r := range t.reports {
		n += r.inFlight
	}
	return n
}

// Done reports whether every entry has stopped sending new requests and has none in progress. If so, it returns the
// time from the first notification until then.
func (t *TargetDrain) Done() (time.Duration, bool) {
	if t.doneAt.IsZero() {
		return 0, false
	}
	return t.doneAt.Sub(t.noticedAt), true
}
