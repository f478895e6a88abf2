// Package share divides the slots of a target among entries. Rebalance decides the grants where the traffic plan is
// made; a Holder keeps one entry within its grants and handles loans between entries. The slots that all entries may
// use together never exceed the slots of the target, whichever plan versions the entries have. The package has no I/O,
// no goroutines and no clock of its own.
package share

import (
	"time"

	"github.com/currantpier/currantpier/ident"
)

const (
	// PauseLimit is the longest gap between two runs of the control loop after which the grants are still valid.
	PauseLimit = 5 * time.Second
	// DeadAfter is how long an entry must be gone and silent before its slots go to others.
	DeadAfter = 60 * time.Second
	// Grace is added to the deadline of a loan before the lender uses the slot again. It covers the difference between
	// the clocks of two VMs and the time that a cancellation needs to reach the target.
	Grace = time.Second
	// MaxLoan is the longest loan. With Grace it is below DeadAfter, so no loan outlives the grants of a dead lender.
	MaxLoan = 30 * time.Second
)

// Grant gives an entry slots of a target.
type Grant struct {
	Target ident.Target `json:"target"`
	Entry  ident.VM     `json:"entry"`
	// Slots is what the entry may use under this plan version.
	Slots ident.Slots `json:"slots"`
	// Held is what the entry may still be using under an older version that it has not given up. It is zero unless it
	// exceeds Slots.
	Held ident.Slots `json:"held,omitempty"`
	// Since is the version whose acknowledgement ends Held.
	Since ident.Version `json:"since,omitempty"`
}

// Bound returns the most slots that the entry may be using, whichever version it has.
func (g Grant) Bound() ident.Slots { return max(g.Slots, g.Held) }

// Target is a target whose slots are divided.
type Target struct {
	Name  ident.Target
	Place ident.Place
	// Slots is zero for a target that is leaving.
	Slots ident.Slots
}

// Table is the division of the slots of one group of targets, usually of one service in one region.
type Table struct {
	// Region is where the targets are.
	Region ident.Region
	// Targets is sorted by name.
	Targets []Target
	// Grants is sorted by target and entry. For each target the sum of Bound never exceeds its slots, except while
	// entries have not yet given up slots of a target that has shrunk.
	Grants []Grant
}

// Entry is what the lease holder knows of an entry.
type Entry struct {
	VM    ident.VM
	Place ident.Place
	// Acked is the newest plan version whose decreases the entry has completed.
	Acked ident.Version
	// Silent is how long the entry has been gone from the platform's list and unheard of; zero if it is listed or was
	// heard.
	Silent time.Duration
	// Leaving entries give their slots up.
	Leaving bool
	// Demand is the number of slots of the group that the entry could use at once.
	Demand float64
	// DemandAt is the time of that measurement. Without a fresh one the entry keeps what it has.
	DemandAt time.Time
}

// Rebalance returns the division for the plan version next. Entries is sorted by VM; an entry with grants that is not
// listed keeps them. The result depends on the arguments alone and shares no memory with them.
func Rebalance(cur Table, next ident.Version, entries []Entry, now time.Time) Table {
	return cur
}

// Loan is one slot that an entry lends to a peer for one request.
type Loan struct {
	// ID is chosen by the borrower and unique per incarnation.
	ID       uint64
	Lender   ident.VM
	Borrower ident.VM
	// Incarnation is the borrower's.
	Incarnation ident.Incarnation
	Target      ident.Target
	// Deadline is the time by which the borrower has cancelled the request.
	Deadline time.Time
}

// Use is the state of one target on an entry.
type Use struct {
	Target ident.Target `json:"target"`
	// Granted is zero while the grants are void.
	Granted ident.Slots `json:"granted"`
	InUse   ident.Slots `json:"in-use"`
	Lent    ident.Slots `json:"lent"`
	// Borrowed slots are not part of Granted or InUse.
	Borrowed ident.Slots `json:"borrowed"`
	// Peak is the largest InUse since the last call of Uses.
	Peak ident.Slots `json:"peak"`
}

// Holder keeps one entry within its grants. It is not safe for concurrent use: an entry guards its Holder, route.Picker
// and admit.Queue with one mutex, so that the choice of a target and the slot are taken together.
type Holder struct {
	vm ident.VM
}

// NewHolder returns a holder without grants for the entry vm. It is void until the first Apply.
func NewHolder(vm ident.VM) *Holder { return &Holder{vm: vm} }

// Apply puts the grants of a plan version in force; grants of other entries are ignored. It reports false and changes
// nothing for an older version. After a pause, the caller applies the newest plan only after it has read it again:
// Apply ends the void state, also for the version in force.
func (h *Holder) Apply(now time.Time, grants []Grant, version ident.Version) bool { return false }

// Beat records that the control loop runs. A gap of more than PauseLimit makes the grants void until the next Apply.
func (h *Holder) Beat(now time.Time) {}

// Void reports whether the grants are void, either before the first Apply or after a pause.
func (h *Holder) Void(now time.Time) bool { return true }

// TryTake takes a slot of the target for new work.
func (h *Holder) TryTake(now time.Time, target ident.Target) bool { return false }

// Release returns a slot that TryTake took.
func (h *Holder) Release(target ident.Target) {}

// Free returns how many slots of the target TryTake would give now.
func (h *Holder) Free(now time.Time, target ident.Target) ident.Slots { return 0 }

// Version returns the plan version in force, or zero.
func (h *Holder) Version() ident.Version { return 0 }

// Acked returns the newest version whose decreases are complete: what is in flight or lent is within the grants.
func (h *Holder) Acked() ident.Version { return 0 }

// Lend sets a free slot aside for a peer. The same loan asked for again is granted again without another slot. It
// reports false if no slot is free, or if the deadline has passed or is more than MaxLoan ahead.
func (h *Holder) Lend(now time.Time, l Loan) bool { return false }

// Return ends a loan that this entry gave. It reports false if there is no such loan (any more).
func (h *Holder) Return(borrower ident.VM, inc ident.Incarnation, id uint64) bool { return false }

// Expire ends the loans whose deadline and Grace have passed, and forgets borrowed slots past their deadline that were
// not taken. It returns the number of both.
func (h *Holder) Expire(now time.Time) int { return 0 }

// Borrow records a slot that a peer has lent to this entry. It reports false if the loan's deadline has passed or its
// id is in use.
func (h *Holder) Borrow(now time.Time, l Loan) bool { return false }

// TakeBorrowed takes a borrowed slot for the one request that it was lent for. It reports false after the deadline.
func (h *Holder) TakeBorrowed(now time.Time, id uint64) bool { return false }

// ReleaseBorrowed forgets a borrowed slot, taken or not, and returns the loan to send back to its lender.
func (h *Holder) ReleaseBorrowed(id uint64) (Loan, bool) { return Loan{}, false }

// Uses appends the state of every target with grants or work to dst, sorted by target, and restarts the peaks.
func (h *Holder) Uses(now time.Time, dst []Use) []Use { return dst }
