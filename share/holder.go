package share

import (
	"cmp"
	"slices"
	"time"

	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/span"
)

// Loan is a slot that one entry lends to another for a single request.
type Loan struct {
	// ID is chosen by the borrower and unique within its incarnation.
	ID       uint64
	Lender   ident.VM
	Borrower ident.VM
	// Incarnation is the incarnation of the borrower.
	Incarnation ident.Incarnation
	Target      ident.Target
	// Deadline is the time by which the borrower must have finished or cancelled the request.
	Deadline time.Time
}

// Usage is the slot usage of one target on an entry.
type Usage struct {
	Target ident.Target `json:"target"`
	// Granted is zero while the grants are suspended.
	Granted ident.Slots `json:"granted"`
	InUse   ident.Slots `json:"in-use"`
	Lent    ident.Slots `json:"lent"`
	// Borrowed slots are not included in Granted or InUse.
	Borrowed ident.Slots `json:"borrowed"`
	// Peak is the largest InUse since the last call of AppendUsage.
	Peak ident.Slots `json:"peak"`
}

// targetUse counts the slots of one target.
type targetUse struct {
	granted, inUse, lent, borrowed, peak ident.Slots
}

func (u *targetUse) exceedsGrant() bool { return u.inUse+u.lent > u.granted }

type loanKey struct {
	borrower    ident.VM
	incarnation ident.Incarnation
	id          uint64
}

type borrowedSlot struct {
	Loan
	inUse bool
}

// Holder enforces the grants of one entry. It is not safe for concurrent use: an entry guards its Holder, route.Picker
// and admit.Queue with one mutex, so that choosing a target and taking its slot are atomic.
type Holder struct {
	vm      ident.VM
	version ident.Version
	acked   ident.Version
	// minVersion is the newest version passed to RequireVersion; Apply rejects older ones.
	minVersion ident.Version
	suspended  bool
	// suspendedUntil is when all loans of the previous process have ended; see SuspendForOldLoans.
	suspendedUntil time.Time
	// lastBeat is the time of the last run of the control loop.
	lastBeat time.Time
	targets  map[ident.Target]*targetUse
	// overGrant is the number of targets with more slots in use or lent than granted.
	overGrant int
	lentLoans map[loanKey]Loan
	// borrowedSlots is keyed by the ID of the loan, which this entry chose.
	borrowedSlots map[uint64]*borrowedSlot
}

// NewHolder returns a Holder without grants for the entry vm. Its grants are suspended until the first Apply.
func NewHolder(vm ident.VM) *Holder {
	return &Holder{
		vm: vm, suspended: true, targets: map[ident.Target]*targetUse{}, lentLoans: map[loanKey]Loan{},
		borrowedSlots: map[uint64]*borrowedSlot{},
	}
}

// RequireVersion records that a plan version exists, so that Apply rejects older ones. A restarted process gets the version
// from its peers; without it, it could apply grants that its previous process has already given up.
func (h *Holder) RequireVersion(version ident.Version) { h.minVersion = max(h.minVersion, version) }

// SuspendForOldLoans suspends the grants for MaxLoanDuration plus LoanGrace from started, the start of this process. By then all loans that a
// crashed process on the same VM may have granted have ended. SuspendForOldLoans isn't needed if the previous process returned its
// slots in a planned stop, or if there was none.
func (h *Holder) SuspendForOldLoans(started time.Time) {
	h.suspendedUntil = started.Add(MaxLoanDuration + LoanGrace)
}

// Apply activates the grants of a plan version; grants of other entries are ignored. It returns false and changes
// nothing if the version is zero or older than the active or the expected one. Apply ends the suspension after a pause,
// even with the active version, so the caller must read the newest plan again before it calls Apply.
func (h *Holder) Apply(now time.Time, grants []Grant, version ident.Version) bool {
	if version < h.version || version < h.minVersion || version == 0 {
		return false
	}
	h.version, h.suspended, h.lastBeat = version, false, now
	for _, u := range h.targets {
		u.granted = 0
	}
	for _, g := range grants {
		if g.Entry == h.vm && g.Slots > 0 {
			h.useOf(g.Target).granted = g.Slots
		}
	}
	h.overGrant = 0
	for name, u := range h.targets {
		switch {
		case u.exceedsGrant():
			h.overGrant++
		case *u == targetUse{}:
			delete(h.targets, name)
		}
	}
	h.updateAcked()
	return true
}

func (h *Holder) useOf(name ident.Target) *targetUse {
	u := h.targets[name]
	if u == nil {
		u = &targetUse{}
		h.targets[name] = u
	}
	return u
}

func (h *Holder) updateAcked() {
	if h.overGrant == 0 {
		h.acked = h.version
	}
}

// RecordLoopRun records a run of the control loop. An interval of more than MaxLoopInterval suspends the grants until the next Apply.
func (h *Holder) RecordLoopRun(now time.Time) {
	h.Suspended(now)
	if !h.suspended {
		h.lastBeat = now
	}
}

// Suspended reports whether the grants are suspended: before the first Apply, after a pause or because of SuspendForOldLoans.
func (h *Holder) Suspended(now time.Time) bool {
	h.suspended = h.suspended || span.Elapsed(h.lastBeat, now) > MaxLoopInterval
	return h.suspended || now.Before(h.suspendedUntil)
}

// Free returns how many slots of the target TryTake could take now.
func (h *Holder) Free(now time.Time, target ident.Target) ident.Slots {
	u := h.targets[target]
	if u == nil || h.Suspended(now) {
		return 0
	}
	return max(0, u.granted-u.inUse-u.lent)
}

// Limit returns the maximum number of concurrent requests of this entry at the target: the granted slots minus those
// lent, plus those borrowed. route.Picker uses it.
func (h *Holder) Limit(now time.Time, target ident.Target) ident.Slots {
	u := h.targets[target]
	switch {
	case u == nil:
		return 0
	case h.Suspended(now):
		return u.borrowed
	}
	return max(0, u.granted-u.lent) + u.borrowed
}

// TryTake takes a slot of the target for a new request. It returns false if none is free.
func (h *Holder) TryTake(now time.Time, target ident.Target) bool {
	if h.Free(now, target) == 0 {
		return false
	}
	u := h.targets[target]
	u.inUse++
	u.peak = max(u.peak, u.inUse)
	return true
}

// Release returns a slot that TryTake took.
func (h *Holder) Release(target ident.Target) {
	if u := h.targets[target]; u != nil && u.inUse > 0 {
		h.decrement(u, &u.inUse)
	}
}

// decrement decrements a count of a target and updates the acknowledged version if no target exceeds its grant any
// more.
func (h *Holder) decrement(u *targetUse, count *ident.Slots) {
	exceeded := u.exceedsGrant()
	*count--
	if exceeded && !u.exceedsGrant() {
		h.overGrant--
		h.updateAcked()
	}
}

// Version returns the active plan version, or zero.
func (h *Holder) Version() ident.Version { return h.version }

// Acked returns the newest version for which all decreases are complete: the slots in use or lent are within the
// grants.
func (h *Holder) Acked() ident.Version { return h.acked }

// Lend reserves a free slot for another entry. It is idempotent: a repeated loan takes no further slot. It returns
// false if no slot is free, or if the deadline has passed or is more than MaxLoanDuration ahead.
func (h *Holder) Lend(now time.Time, l Loan) bool {
	key := loanKey{l.Borrower, l.Incarnation, l.ID}
	if old, ok := h.lentLoans[key]; ok {
		return old.Target == l.Target && old.Deadline.Equal(l.Deadline)
	}
	ahead := l.Deadline.Sub(now)
	if ahead <= 0 || ahead > MaxLoanDuration || h.Free(now, l.Target) == 0 {
		return false
	}
	h.lentLoans[key] = l
	h.targets[l.Target].lent++
	return true
}

// EndLoan ends a loan granted by this entry. It returns false if the loan is unknown or has already ended.
func (h *Holder) EndLoan(borrower ident.VM, inc ident.Incarnation, id uint64) bool {
	return h.endLoan(loanKey{borrower, inc, id})
}

func (h *Holder) endLoan(key loanKey) bool {
	l, ok := h.lentLoans[key]
	if !ok {
		return false
	}
	delete(h.lentLoans, key)
	u := h.targets[l.Target]
	h.decrement(u, &u.lent)
	return true
}

// ExpireLoans ends the granted loans whose deadline plus LoanGrace has passed, and drops borrowed slots that were not taken
// before their deadline. It returns the number of both together.
func (h *Holder) ExpireLoans(now time.Time) int {
	n := 0
	for key, l := range h.lentLoans {
		if !now.Before(l.Deadline.Add(LoanGrace)) {
			h.endLoan(key)
			n++
		}
	}
	for id, b := range h.borrowedSlots {
		if !b.inUse && !now.Before(b.Deadline) {
			h.ReleaseBorrowed(id)
			n++
		}
	}
	return n
}

// Borrow records a slot that another entry has lent to this one. It returns false if the loan's deadline has passed or
// its ID is in use.
func (h *Holder) Borrow(now time.Time, l Loan) bool {
	if _, ok := h.borrowedSlots[l.ID]; ok || !now.Before(l.Deadline) {
		return false
	}
	h.borrowedSlots[l.ID] = &borrowedSlot{Loan: l}
	h.useOf(l.Target).borrowed++
	return true
}

// TakeBorrowed takes a borrowed slot for the single request that it was lent for. It returns false if the loan is
// unknown, already taken or past its deadline.
func (h *Holder) TakeBorrowed(now time.Time, id uint64) bool {
	b := h.borrowedSlots[id]
	if b == nil || b.inUse || !now.Before(b.Deadline) {
		return false
	}
	b.inUse = true
	return true
}

// ReleaseBorrowed removes a borrowed slot, taken or not, and returns the loan, which the caller returns to the lender.
func (h *Holder) ReleaseBorrowed(id uint64) (Loan, bool) {
	b := h.borrowedSlots[id]
	if b == nil {
		return Loan{}, false
	}
	delete(h.borrowedSlots, id)
	h.targets[b.Target].borrowed--
	return b.Loan, true
}

// AppendUsage appends the usage of each target with grants, loans or requests to dst, sorted by target, and resets the peaks
// to the current use.
func (h *Holder) AppendUsage(now time.Time, dst []Usage) []Usage {
	first, suspended := len(dst), h.Suspended(now)
	for name, u := range h.targets {
		use := Usage{Target: name, Granted: u.granted, InUse: u.inUse, Lent: u.lent, Borrowed: u.borrowed, Peak: u.peak}
		if suspended {
			use.Granted = 0
		}
		u.peak = u.inUse
		dst = append(dst, use)
	}
	slices.SortFunc(dst[first:], func(a, b Usage) int { return cmp.Compare(a.Target, b.Target) })
	return dst
}
