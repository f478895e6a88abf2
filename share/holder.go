package share

import (
	"cmp"
	"slices"
	"time"

	"github.com/currantpier/currantpier/ident"
)

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

// holding is the use of one target.
type holding struct {
	granted, inUse, lent, borrowed, peak ident.Slots
}

func (u *holding) over() bool { return u.inUse+u.lent > u.granted }

type loanKey struct {
	borrower    ident.VM
	incarnation ident.Incarnation
	id          uint64
}

type borrowed struct {
	Loan
	taken bool
}

// Holder keeps one entry within its grants. It is not safe for concurrent use: an entry guards its Holder, route.Picker
// and admit.Queue with one mutex, so that the choice of a target and the slot are taken together.
type Holder struct {
	vm      ident.VM
	version ident.Version
	acked   ident.Version
	// floor is the newest version known to exist.
	floor ident.Version
	void  bool
	// voidUntil is the end of the loans of a predecessor.
	voidUntil time.Time
	// beat is the last run of the control loop.
	beat    time.Time
	targets map[ident.Target]*holding
	// over is the number of targets with more in use or lent than granted.
	over int
	lent map[loanKey]Loan
	// borrowed is keyed by the id of the loan, which this entry chose.
	borrowed map[uint64]*borrowed
}

// NewHolder returns a holder without grants for the entry vm. It is void until the first Apply.
func NewHolder(vm ident.VM) *Holder {
	return &Holder{
		vm: vm, void: true, targets: map[ident.Target]*holding{}, lent: map[loanKey]Loan{},
		borrowed: map[uint64]*borrowed{},
	}
}

// Expect records that a plan version exists; Apply refuses older ones. A process that was restarted learns it from its
// peers, so that it does not take up grants that its predecessor has given up.
func (h *Holder) Expect(version ident.Version) { h.floor = max(h.floor, version) }

// Inherit makes the grants void until the loans that a crashed predecessor on the same VM may have given are over: for
// MaxLoan and Grace from started, the start of this process. A process whose predecessor returned its slots in a planned
// stop, or had none, does not need it.
func (h *Holder) Inherit(started time.Time) { h.voidUntil = started.Add(MaxLoan + Grace) }

// Apply puts the grants of a plan version in force; grants of other entries are ignored. It reports false and changes
// nothing for an older version than the one in force or expected, and for version zero. After a pause, the caller
// applies the newest plan only after it has read it again: Apply ends the void state, also for the version in force.
func (h *Holder) Apply(now time.Time, grants []Grant, version ident.Version) bool {
	if version < h.version || version < h.floor || version == 0 {
		return false
	}
	h.version, h.void, h.beat = version, false, now
	for _, u := range h.targets {
		u.granted = 0
	}
	for _, g := range grants {
		if g.Entry == h.vm && g.Slots > 0 {
			h.use(g.Target).granted = g.Slots
		}
	}
	h.over = 0
	for name, u := range h.targets {
		switch {
		case u.over():
			h.over++
		case *u == holding{}:
			delete(h.targets, name)
		}
	}
	h.ack()
	return true
}

func (h *Holder) use(name ident.Target) *holding {
	u := h.targets[name]
	if u == nil {
		u = &holding{}
		h.targets[name] = u
	}
	return u
}

func (h *Holder) ack() {
	if h.over == 0 {
		h.acked = h.version
	}
}

// Beat records that the control loop runs. A gap of more than PauseLimit makes the grants void until the next Apply.
func (h *Holder) Beat(now time.Time) {
	h.Void(now)
	if !h.void {
		h.beat = now
	}
}

// Void reports whether the grants are void: before the first Apply, after a pause or because of Inherit.
func (h *Holder) Void(now time.Time) bool {
	h.void = h.void || now.Sub(h.beat) > PauseLimit
	return h.void || now.Before(h.voidUntil)
}

// Free returns how many slots of the target TryTake would give now.
func (h *Holder) Free(now time.Time, target ident.Target) ident.Slots {
	u := h.targets[target]
	if u == nil || h.Void(now) {
		return 0
	}
	return max(0, u.granted-u.inUse-u.lent)
}

// Limit returns how many requests of this entry may be at the target at the same time: the grant less what is lent, and
// what is borrowed. It is the limit for route.Picker.
func (h *Holder) Limit(now time.Time, target ident.Target) ident.Slots {
	u := h.targets[target]
	switch {
	case u == nil:
		return 0
	case h.Void(now):
		return u.borrowed
	}
	return max(0, u.granted-u.lent) + u.borrowed
}

// TryTake takes a slot of the target for new work.
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
		h.reduce(u, &u.inUse)
	}
}

// reduce lowers a count of a holding and acknowledges the version if that was the last one over its grant.
func (h *Holder) reduce(u *holding, n *ident.Slots) {
	was := u.over()
	*n--
	if was && !u.over() {
		h.over--
		h.ack()
	}
}

// Version returns the plan version in force, or zero.
func (h *Holder) Version() ident.Version { return h.version }

// Acked returns the newest version whose decreases are complete: what is in flight or lent is within the grants.
func (h *Holder) Acked() ident.Version { return h.acked }

// Lend sets a free slot aside for a peer. The same loan asked for again is granted again without another slot. It
// reports false if no slot is free, or if the deadline has passed or is more than MaxLoan ahead.
func (h *Holder) Lend(now time.Time, l Loan) bool {
	key := loanKey{l.Borrower, l.Incarnation, l.ID}
	if old, ok := h.lent[key]; ok {
		return old.Target == l.Target && old.Deadline.Equal(l.Deadline)
	}
	ahead := l.Deadline.Sub(now)
	if ahead <= 0 || ahead > MaxLoan || h.Free(now, l.Target) == 0 {
		return false
	}
	h.lent[key] = l
	h.targets[l.Target].lent++
	return true
}

// Return ends a loan that this entry gave. It reports false if there is no such loan (any more).
func (h *Holder) Return(borrower ident.VM, inc ident.Incarnation, id uint64) bool {
	return h.end(loanKey{borrower, inc, id})
}

func (h *Holder) end(key loanKey) bool {
	l, ok := h.lent[key]
	if !ok {
		return false
	}
	delete(h.lent, key)
	u := h.targets[l.Target]
	h.reduce(u, &u.lent)
	return true
}

// Expire ends the loans whose deadline and Grace have passed, and forgets borrowed slots past their deadline that were
// not taken. It returns the number of both.
func (h *Holder) Expire(now time.Time) int {
	n := 0
	for key, l := range h.lent {
		if !now.Before(l.Deadline.Add(Grace)) {
			h.end(key)
			n++
		}
	}
	for id, b := range h.borrowed {
		if !b.taken && !now.Before(b.Deadline) {
			h.ReleaseBorrowed(id)
			n++
		}
	}
	return n
}

// Borrow records a slot that a peer has lent to this entry. It reports false if the loan's deadline has passed or its
// id is in use.
func (h *Holder) Borrow(now time.Time, l Loan) bool {
	if _, ok := h.borrowed[l.ID]; ok || !now.Before(l.Deadline) {
		return false
	}
	h.borrowed[l.ID] = &borrowed{Loan: l}
	h.use(l.Target).borrowed++
	return true
}

// TakeBorrowed takes a borrowed slot for the one request that it was lent for. It reports false after the deadline.
func (h *Holder) TakeBorrowed(now time.Time, id uint64) bool {
	b := h.borrowed[id]
	if b == nil || b.taken || !now.Before(b.Deadline) {
		return false
	}
	b.taken = true
	return true
}

// ReleaseBorrowed forgets a borrowed slot, taken or not, and returns the loan to send back to its lender.
func (h *Holder) ReleaseBorrowed(id uint64) (Loan, bool) {
	b := h.borrowed[id]
	if b == nil {
		return Loan{}, false
	}
	delete(h.borrowed, id)
	h.targets[b.Target].borrowed--
	return b.Loan, true
}

// Uses appends the state of every target with grants or work to dst, sorted by target, and restarts the peaks.
func (h *Holder) Uses(now time.Time, dst []Use) []Use {
	first, void := len(dst), h.Void(now)
	for name, u := range h.targets {
		use := Use{Target: name, Granted: u.granted, InUse: u.inUse, Lent: u.lent, Borrowed: u.borrowed, Peak: u.peak}
		if void {
			use.Granted = 0
		}
		u.peak = u.inUse
		dst = append(dst, use)
	}
	slices.SortFunc(dst[first:], func(a, b Use) int { return cmp.Compare(a.Target, b.Target) })
	return dst
}
