package faults

import (
	"fmt"
	"time"

	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/share"
)

// slotHolder is the part of share.Holder that an entry uses.
type slotHolder interface {
	SuspendForOldLoans(started time.Time)
	Apply(now time.Time, grants []share.Grant, version ident.Version) bool
	RecordLoopRun(now time.Time)
	TryTake(now time.Time, target ident.Target) bool
	Release(target ident.Target)
	Acked() ident.Version
	Lend(now time.Time, l share.Loan) bool
	EndLoan(borrower ident.VM, inc ident.Incarnation, id uint64) bool
	Borrow(now time.Time, l share.Loan) bool
	TakeBorrowed(now time.Time, id uint64) bool
	ReleaseBorrowed(id uint64) (share.Loan, bool)
	ExpireLoans(now time.Time) int
}

// slotEntry is one entry with what the target sees of it.
type slotEntry struct {
	vm     ident.VM
	holder slotHolder
	// using counts its requests at the target on own slots, loan that on a borrowed one.
	using, loan          int
	inc                  ident.Incarnation
	acked                ident.Version
	gone, paused, silent bool
	// silentFor is how long it has been gone from the platform's list and unheard of.
	silentFor time.Duration
	demand    float64
}

// shareRun is one target with three slots, its grants, and three entries.
type shareRun struct {
	w        *world
	table    share.Allocation
	version  ident.Version
	entries  []*slotEntry
	a, b, c  *slotEntry
	demandAt time.Time
	frozen   bool
	// publishes is false while no new version can be published.
	publishes bool
	peak      int
}

const (
	slotTarget = ident.Target("t1")
	slotCount  = 3
)

var shareProtocol = protocol{name: "slot grants, revocation, loans", checks: []check{slotsHold, loanOutlives}, start: startShare}

func startShare(w *world) *scenario {
	place := ident.Place{Region: "east", Domain: "east-a"}
	r := &shareRun{w: w, publishes: true, table: share.Allocation{
		Region: "east", Targets: []share.Target{{Name: slotTarget, Place: place, Slots: slotCount}},
	}}
	for _, vm := range []ident.VM{"a", "b", "c"} {
		r.entries = append(r.entries, &slotEntry{vm: vm, inc: 1, holder: breakHolder(w, share.NewHolder(vm))})
	}
	r.a, r.b, r.c = r.entries[0], r.entries[1], r.entries[2]
	r.a.demand = 3
	return &scenario{
		steps: []step{
			{"grant", r.publish},
			{"take", func() { r.take(r.a) }},
			{"revoke", func() { r.a.demand, r.b.demand = 1, 2; r.publish() }},
			{"finish two", func() { r.release(r.a, 2) }},
			{"acknowledge", r.report},
			{"grant what is free", r.publish},
			{"other takes", func() { r.take(r.b) }},
			{"finish the rest", func() { r.release(r.a, 3) }},
			{"lend", r.lend},
			{"use the loan", r.useLoan},
			{"lender takes", func() { r.take(r.a) }},
			{"return", r.giveBack},
			{"a minute later", func() { r.pass(70 * time.Second) }},
			{"resume", r.resume},
			{"all take", r.allTake},
		},
		inject: map[fault]func(){
			measurementsStop: func() { r.frozen = true },
			processDies:      r.restart,
			regionFails:      func() { r.a.gone, r.a.using, r.a.loan = true, 0, 0 },
			storeDown:        func() { r.publishes = false },
			storeSlow:        func() { r.publishes = w.coin() },
			pausedHolder:     func() { r.a.paused = true },
			operators: func() {
				r.table.Targets[0].Slots = 0
				r.publish()
				r.table.Targets[0].Slots = slotCount
			},
			silentConnection: func() { r.a.silent = true },
		},
		noInput: map[fault]string{answerLost: "grants are used only in the form in which they were read back"},
		finish:  r.finish,
	}
}

// restart ends the process of entry a and starts another one, which knows that its predecessor crashed. The target
// cancels what the old one had sent.
func (r *shareRun) restart() {
	a := r.a
	a.inc++
	a.holder, a.using, a.loan, a.paused, a.acked = breakHolder(r.w, share.NewHolder(a.vm)), 0, 0, false, 0
	if r.w.wrong != forgetLoans {
		a.holder.SuspendForOldLoans(r.w.now)
	}
	r.apply(a)
}

func (r *shareRun) apply(e *slotEntry) {
	if !e.gone && !e.paused && !e.silent {
		e.holder.Apply(r.w.now, r.table.Grants, r.version)
		e.holder.RecordLoopRun(r.w.now)
	}
}

// publish makes the next version of the grants and delivers it.
func (r *shareRun) publish() {
	if !r.frozen {
		r.demandAt = r.w.now
	}
	if r.publishes {
		list := make([]share.Entry, len(r.entries))
		for i, e := range r.entries {
			list[i] = share.Entry{
				VM: e.vm, Place: r.table.Targets[0].Place, AckedVersion: e.acked, UnreachableFor: e.silentFor, Demand: e.demand,
				DemandAt: r.demandAt,
			}
		}
		r.version++
		r.table = share.Rebalance(r.table, r.version, list, r.w.now)
		r.w.note("version %d: %+v", r.version, r.table.Grants)
	}
	for _, e := range r.entries {
		r.apply(e)
	}
	r.sum()
}

// report brings the acknowledgements to the lease holder.
func (r *shareRun) report() {
	for _, e := range r.entries {
		if !e.gone && !e.paused && !e.silent {
			e.acked = e.holder.Acked()
		}
	}
}

func (r *shareRun) take(e *slotEntry) {
	for !e.gone && !e.paused && e.holder.TryTake(r.w.now, slotTarget) {
		e.using++
		r.w.note("%s takes a slot", e.vm)
	}
	r.sum()
}

func (r *shareRun) release(e *slotEntry, n int) {
	for ; n > 0 && e.using > 0 && !e.paused; n-- {
		e.using--
		e.holder.Release(slotTarget)
	}
}

func (r *shareRun) loan() share.Loan {
	return share.Loan{ID: 1, Lender: "a", Borrower: "c", Incarnation: 1, Target: slotTarget,
		Deadline: r.w.now.Add(25 * time.Second)}
}

// lend asks entry a for a slot for entry c. An answer that is lost leaves the slot set aside.
func (r *shareRun) lend() {
	a := r.a
	if a.gone || a.paused {
		return
	}
	l := r.loan()
	if a.holder.Lend(r.w.now, l) && !a.silent {
		r.c.holder.Borrow(r.w.now, l)
	}
}

func (r *shareRun) useLoan() {
	if r.c.holder.TakeBorrowed(r.w.now, 1) {
		r.c.loan = 1
		r.w.note("c uses the slot that a has lent")
	}
	r.sum()
}

// giveBack ends the request on the borrowed slot. The message to the lender can get lost.
func (r *shareRun) giveBack() {
	r.c.loan = 0
	if l, ok := r.c.holder.ReleaseBorrowed(1); ok && !r.a.gone && !r.a.paused && !r.a.silent {
		r.a.holder.EndLoan(l.Borrower, l.Incarnation, l.ID)
	}
}

// pass lets time pass. Requests end within 25 s, since that is the longest deadline.
func (r *shareRun) pass(d time.Duration) {
	for end := r.w.now.Add(d); r.w.now.Before(end); {
		r.w.now = r.w.now.Add(time.Second)
		for _, e := range r.entries {
			if e.gone || e.paused {
				e.silentFor += time.Second
				continue
			}
			e.holder.ExpireLoans(r.w.now)
			r.apply(e)
		}
		if end.Sub(r.w.now)%(5*time.Second) == 0 {
			r.report()
			r.publish()
		}
	}
	if d >= 25*time.Second {
		r.a.using = min(r.a.using, r.ended())
	}
}

// ended takes note that the requests of a paused entry have ended at the target, though not in its records.
func (r *shareRun) ended() int {
	if r.a.paused {
		return 0
	}
	return r.a.using
}

// resume lets a paused process take new work before it has read the newest plan.
func (r *shareRun) resume() {
	a := r.a
	if a.paused {
		a.paused, a.silentFor = false, 0
		r.take(a)
		r.apply(a)
	}
	a.silent = false
}

func (r *shareRun) allTake() {
	for _, e := range r.entries {
		r.take(e)
	}
}

func (r *shareRun) sum() {
	n := 0
	for _, e := range r.entries {
		n += e.using + e.loan
	}
	r.peak = max(r.peak, n)
	c := slotsHold
	if n == slotCount+1 && r.c.loan == 1 && r.a.inc > 1 {
		c = loanOutlives
	}
	r.w.ensure(c, n <= slotCount, "%d requests at a target with %d slots", n, slotCount)
}

func (r *shareRun) finish() string {
	r.publishes, r.frozen = true, false
	r.resume()
	r.report()
	r.publish()
	r.allTake()
	return fmt.Sprintf("at most %d of %d slots in use", r.peak, slotCount)
}
