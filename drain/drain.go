// Package drain holds the sequences of a planned stop of a process and of an upstream target that leaves. It performs
// no I/O and can be used without the rest of the system.
package drain

import (
	"slices"
	"time"

	"github.com/currantpier/currantpier/ident"
)

// Phase is one phase of a planned stop.
type Phase uint8

// The phases, in order.
const (
	// Serving: no stop was requested.
	Serving Phase = iota
	// Announced: the process has left the lookup answers and still takes new work, since callers cache the answers.
	Announced
	// Finishing: no new work is taken; work in progress is finished.
	Finishing
	// HandingOver: nothing is in progress; the process writes its final records.
	HandingOver
	// Exit: the process may exit.
	Exit
)

// String returns the name of the phase in kebab case.
func (p Phase) String() string {
	return [...]string{"serving", "announced", "finishing", "handing-over", "exit"}[p]
}

// InLookup reports whether lookup answers may name the process in this phase.
func (p Phase) InLookup() bool {
	return p == Serving
}

// TakesWork reports whether new requests are accepted in this phase.
func (p Phase) TakesWork() bool {
	return p <= Announced
}

// DefaultLimit bounds a planned stop.
const DefaultLimit = 60 * time.Second

// cacheMargin is added to the TTL of lookup answers: an answer can be on its way, and the clocks of callers differ.
const cacheMargin = time.Second

// Stop is the sequence of a planned stop of one process. It is not safe for concurrent use.
type Stop struct {
	ttl, limit time.Duration
	phase      Phase
	// signalled is the time of the first signal; zero before it.
	signalled time.Time
	cut       bool
}

// NewStop returns a sequence in phase Serving. Callers may cache lookup answers for ttl. The stop ends at the latest
// after limit; zero means DefaultLimit.
func NewStop(ttl, limit time.Duration) *Stop {
	if limit == 0 {
		limit = DefaultLimit
	}
	return &Stop{ttl: ttl, limit: limit}
}

// Signal starts the stop. A second signal ends it at once.
func (s *Stop) Signal(now time.Time) {
	switch s.phase {
	case Serving:
		s.phase, s.signalled = Announced, now
	case Announced, Finishing, HandingOver:
		s.phase, s.cut = Exit, true
	}
}

// Next returns the phase at now. inFlight is the number of requests in progress; handedOver says that the final records
// are written. A phase is never left backwards, and each call advances over all phases that are complete.
func (s *Stop) Next(now time.Time, inFlight int, handedOver bool) Phase {
	if s.phase == Serving || s.phase == Exit {
		return s.phase
	}
	if s.phase == Announced && !now.Before(s.signalled.Add(s.ttl+cacheMargin)) {
		s.phase = Finishing
	}
	if s.phase == Finishing && inFlight == 0 {
		s.phase = HandingOver
	}
	switch {
	case s.phase == HandingOver && handedOver && inFlight == 0:
		s.phase = Exit
	case !now.Before(s.signalled.Add(s.limit)):
		s.phase, s.cut = Exit, true
	}
	return s.phase
}

// Wake returns the time of the next change that time alone causes. It is zero if there is none.
func (s *Stop) Wake() time.Time {
	end := s.signalled.Add(s.limit)
	switch s.phase {
	case Announced:
		if t := s.signalled.Add(s.ttl + cacheMargin); t.Before(end) {
			return t
		}
		return end
	case Finishing, HandingOver:
		return end
	}
	return time.Time{}
}

// Cut reports whether the stop ended before everything was finished and handed over.
func (s *Stop) Cut() bool {
	return s.cut
}

// StopNewWork is the time from the first notice at any entry until no entry sends new work to a leaving target.
const StopNewWork = 3 * time.Second

// use is what one entry reported about a target.
type use struct {
	stopped  bool
	inFlight int
}

// Target follows one upstream target that is leaving, from the reports of the entries. It is not safe for concurrent
// use.
type Target struct {
	// Name is the target's name.
	Name ident.Target

	noticed time.Time
	entries map[ident.VM]use
	// doneAt is the time at which the last request ended; zero before that.
	doneAt time.Time
}

// NewTarget starts to follow a target for which the first notice reached an entry at noticed. entries are the entry VMs
// that may send work to the target.
func NewTarget(name ident.Target, noticed time.Time, entries []ident.VM) *Target {
	t := &Target{Name: name, noticed: noticed, entries: make(map[ident.VM]use, len(entries))}
	for _, e := range entries {
		t.entries[e] = use{}
	}
	t.check(noticed)
	return t
}

// Report records what an entry said: whether it has stopped sending new work, and its requests in progress. An entry
// that was not expected counts from then on.
func (t *Target) Report(now time.Time, entry ident.VM, stopped bool, inFlight int) {
	t.entries[entry] = use{stopped, inFlight}
	t.check(now)
}

// Gone records that an entry is dead, so that it has no requests in progress any more.
func (t *Target) Gone(now time.Time, entry ident.VM) {
	delete(t.entries, entry)
	t.check(now)
}

// check keeps the time at which the target became idle. It starts over if an entry sends work again.
func (t *Target) check(now time.Time) {
	for _, u := range t.entries {
		if !u.stopped || u.inFlight > 0 {
			t.doneAt = time.Time{}
			return
		}
	}
	if t.doneAt.IsZero() {
		t.doneAt = now
	}
}

// Late returns the entries, sorted, that have not confirmed that they send no new work, if StopNewWork has passed.
func (t *Target) Late(now time.Time) []ident.VM {
	if now.Before(t.noticed.Add(StopNewWork)) {
		return nil
	}
	var late []ident.VM
	for vm, u := range t.entries {
		if !u.stopped {
			late = append(late, vm)
		}
	}
	slices.Sort(late)
	return late
}

// InFlight returns the requests in progress at the target as last reported by all entries.
func (t *Target) InFlight() int {
	n := 0
	for _, u := range t.entries {
		n += u.inFlight
	}
	return n
}

// Done reports whether every entry has stopped and has nothing in progress, and the drain time: from the notice until
// then.
func (t *Target) Done() (time.Duration, bool) {
	if t.doneAt.IsZero() {
		return 0, false
	}
	return t.doneAt.Sub(t.noticed), true
}
