// Package drain holds the sequences of a planned stop of a process and of an upstream target that leaves. It performs
// no I/O and can be used without the rest of the system.
package drain

import (
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

// Stop is the sequence of a planned stop of one process. It is not safe for concurrent use.
type Stop struct{}

// NewStop returns a sequence in phase Serving. Callers may cache lookup answers for ttl. The stop ends at the latest
// after limit; zero means 60 s.
func NewStop(ttl, limit time.Duration) *Stop { return &Stop{} }

// Signal starts the stop. A second signal ends it at once.
func (s *Stop) Signal(now time.Time) {}

// Next returns the phase at now. inFlight is the number of requests in progress; handedOver says that the final records
// are written.
func (s *Stop) Next(now time.Time, inFlight int, handedOver bool) Phase { return Serving }

// Wake returns the time of the next change that time alone causes. It is zero if there is none.
func (s *Stop) Wake() time.Time { return time.Time{} }

// Cut reports whether the stop ended before everything was finished and handed over.
func (s *Stop) Cut() bool { return false }

// InLookup reports whether lookup answers may name the process in this phase.
func (p Phase) InLookup() bool { return p == Serving }

// TakesWork reports whether new requests are accepted in this phase.
func (p Phase) TakesWork() bool { return p <= Announced }

// StopNewWork is the time from the first notice at any entry until no entry sends new work to a leaving target.
const StopNewWork = 3 * time.Second

// Target follows one upstream target that is leaving, from the reports of the entries. It is not safe for concurrent
// use.
type Target struct{}

// NewTarget starts to follow a target for which the first notice reached an entry at noticed. entries are the entry VMs
// that may hold slots of the target.
func NewTarget(name ident.Target, noticed time.Time, entries []ident.VM) *Target { return &Target{} }

// Report records what an entry said: whether it has stopped sending new work, and its requests in progress.
func (t *Target) Report(now time.Time, entry ident.VM, stopped bool, inFlight int) {}

// Gone records that an entry is dead, so that it has no requests in progress any more.
func (t *Target) Gone(now time.Time, entry ident.VM) {}

// Late returns the entries that have not confirmed that they send no new work, if StopNewWork has passed.
func (t *Target) Late(now time.Time) []ident.VM { return nil }

// Done reports whether every entry has stopped and has nothing in progress, and the time from the notice until then.
func (t *Target) Done() (time.Duration, bool) { return 0, false }
