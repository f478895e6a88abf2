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
	EndLoan(borrower ident.VM, incarnation ident.Incarnation, id uint64) bool
	Borrow(now time.Time, l share.Loan) bool
	TakeBorrowed(now time.Time, id uint64) bool
	ReleaseBorrowed(id uint64) (share.Loan, bool)
	ExpireLoans(now time.Time) int
}

// slotEntry is one entry with its requests in progress at the target.
type slotEntry struct {
	vm     ident.VM
	holder slotHolder
	// ownInUse is the number of its requests on its own slots, borrowedInUse that on a borrowed one.
	ownInUse, borrowedInUse int
	incarnation             ident.Incarnation
	acked                   ident.Version
	// gone is set after a region failure, silent while the entry's messages and plans don't arrive.
	gone, paused, silent bool
	// silentFor is the time for which the entry has been off the platform's list and has sent nothing.
	silentFor time.Duration
	demand    float64
}

// shareRun is one target with three slots, the grants for it and three entries.
type shareRun struct {
	sim     *simulation
	table   share.Allocation
	version ident.Version
	entries []*slotEntry
	a, b, c *slotEntry
	// demandAt is the time of the newest demand; it stays the same while measuringStopped is set.
	demandAt         time.Time
	measuringStopped bool
	// canPublish is false while no new version can be published.
	canPublish bool
	// peakInUse is the highest number of slots in use at the same time.
	peakInUse int
}

const (
	slotTarget = ident.Target("t1")
	slotCount  = 3
)

var shareProtocol = protocol{name: "slot grants, revocation, loans", checks: []check{withinSlots, loanSurvivesRestart},
	start: startShare}

func startShare(sim *simulation) *scenario {
	place := ident.Place{Region: "east", Domain: "east-a"}
	r := &shareRun{sim: sim, canPublish: true, table: share.Allocation{
		Region: "east", Targets: []share.Target{{Name: slotTarget, Place: place, Slots: slotCount}},
	}}
	for _, vm := range []ident.VM{"a", "b", "c"} {
		r.entries = append(r.entries, &slotEntry{vm: vm, incarnation: 1, holder: wrapHolder(sim, share.NewHolder(vm))})
	}
	r.a, r.b, r.c = r.entries[0], r.entries[1], r.entries[2]
	r.a.demand = 3
	return &scenario{
		steps: []step{
			{"grant", r.publish},
			{"take", func() { r.takeSlots(r.a) }},
			{"revoke", func() { r.a.demand, r.b.demand = 1, 2; r.publish() }},
			{"finish two", func() { r.release(r.a, 2) }},
			{"acknowledge", r.reportAcks},
			{"grant what is free", r.publish},
			{"other takes", func() { r.takeSlots(r.b) }},
			{"finish the rest", func() { r.release(r.a, 3) }},
			{"lend", r.lend},
			{"use the loan", r.useLoan},
			{"lender takes", func() { r.takeSlots(r.a) }},
			{"return", r.returnLoan},
			{"a minute later", func() { r.advance(70 * time.Second) }},
			{"resume", r.resume},
			{"all take", r.takeAll},
		},
		inject: map[fault]func(){
			measurementsStop: func() { r.measuringStopped = true },
			processDies:      r.restart,
			regionFails:      func() { r.a.gone, r.a.ownInUse, r.a.borrowedInUse = true, 0, 0 },
			storeDown:        func() { r.canPublish = false },
			storeSlow:        func() { r.canPublish = sim.randomBool() },
			pausedHolder:     func() { r.a.paused = true },
			operatorConflict: func() {
				r.table.Targets[0].Slots = 0
				r.publish()
				r.table.Targets[0].Slots = slotCount
			},
			silentConnection: func() { r.a.silent = true },
		},
		notApplicable: map[fault]string{answerLost: "grants are used only in the form in which they were read back"},
		finish:        r.finish,
	}
}

// restart replaces the process of entry a. The new process is informed of the crash, so that it waits for the loans of
// the old one; the target cancels the old one's requests.
func (r *shareRun) restart() {
	a := r.a
	a.incarnation++
	a.holder, a.ownInUse, a.borrowedInUse, a.paused, a.acked = wrapHolder(r.sim, share.NewHolder(a.vm)), 0, 0, false, 0
	if r.sim.broken != ignoreOldLoans {
		a.holder.SuspendForOldLoans(r.sim.now)
	}
	r.apply(a)
}

// apply delivers the newest grants to an entry that can receive them.
func (r *shareRun) apply(e *slotEntry) {
	if !e.gone && !e.paused && !e.silent {
		e.holder.Apply(r.sim.now, r.table.Grants, r.version)
		e.holder.RecordLoopRun(r.sim.now)
	}
}

// publish computes the next version of the grants, if it can be published, and delivers the newest one.
func (r *shareRun) publish() {
	if !r.measuringStopped {
		r.demandAt = r.sim.now
	}
	if r.canPublish {
		list := make([]share.Entry, len(r.entries))
		for i, e := range r.entries {
			list[i] = share.Entry{
				VM: e.vm, Place: r.table.Targets[0].Place, AckedVersion: e.acked, UnreachableFor: e.silentFor, Demand: e.demand,
				DemandAt: r.demandAt,
			}
		}
		r.version++
		r.table = share.Rebalance(r.table, r.version, list, r.sim.now)
		r.sim.logf("version %d: %+v", r.version, r.table.Grants)
	}
	for _, e := range r.entries {
		r.apply(e)
	}
	r.checkInUse()
}

// reportAcks delivers the acknowledged versions to the lease holder.
func (r *shareRun) reportAcks() {
	for _, e := range r.entries {
		if !e.gone && !e.paused && !e.silent {
			e.acked = e.holder.Acked()
		}
	}
}

// takeSlots makes an entry take all slots that it can get.
func (r *shareRun) takeSlots(e *slotEntry) {
	for !e.gone && !e.paused && e.holder.TryTake(r.sim.now, slotTarget) {
		e.ownInUse++
		r.sim.logf("%s takes a slot", e.vm)
	}
	r.checkInUse()
}

// release ends up to n requests of an entry.
func (r *shareRun) release(e *slotEntry, n int) {
	for ; n > 0 && e.ownInUse > 0 && !e.paused; n-- {
		e.ownInUse--
		e.holder.Release(slotTarget)
	}
}

func (r *shareRun) newLoan() share.Loan {
	return share.Loan{ID: 1, Lender: "a", Borrower: "c", Incarnation: 1, Target: slotTarget,
		Deadline: r.sim.now.Add(25 * time.Second)}
}

// lend requests a slot of entry a for entry c. If the answer is lost, the slot stays reserved at entry a.
func (r *shareRun) lend() {
	a := r.a
	if a.gone || a.paused {
		return
	}
	l := r.newLoan()
	if a.holder.Lend(r.sim.now, l) && !a.silent {
		r.c.holder.Borrow(r.sim.now, l)
	}
}

func (r *shareRun) useLoan() {
	if r.c.holder.TakeBorrowed(r.sim.now, 1) {
		r.c.borrowedInUse = 1
		r.sim.logf("c uses the slot lent by a")
	}
	r.checkInUse()
}

// returnLoan ends the request on the borrowed slot. The message to the lender can get lost.
func (r *shareRun) returnLoan() {
	r.c.borrowedInUse = 0
	if l, ok := r.c.holder.ReleaseBorrowed(1); ok && !r.a.gone && !r.a.paused && !r.a.silent {
		r.a.holder.EndLoan(l.Borrower, l.Incarnation, l.ID)
	}
}

// advance moves the clock in steps of 1 s, with new grants every 5 s. Requests end within 25 s, the longest deadline.
func (r *shareRun) advance(d time.Duration) {
	for end := r.sim.now.Add(d); r.sim.now.Before(end); {
		r.sim.now = r.sim.now.Add(time.Second)
		for _, e := range r.entries {
			if e.gone || e.paused {
				e.silentFor += time.Second
				continue
			}
			e.holder.ExpireLoans(r.sim.now)
			r.apply(e)
		}
		if end.Sub(r.sim.now)%(5*time.Second) == 0 {
			r.reportAcks()
			r.publish()
		}
	}
	if d >= 25*time.Second {
		r.a.ownInUse = min(r.a.ownInUse, r.stillInUse())
	}
}

// stillInUse returns the number of requests of entry a that are still in progress after the longest deadline. Those of a
// paused entry have ended at the target, although its own records still hold them.
func (r *shareRun) stillInUse() int {
	if r.a.paused {
		return 0
	}
	return r.a.ownInUse
}

// resume resumes entry a, which takes new work before it has read the newest plan, and ends its silence.
func (r *shareRun) resume() {
	a := r.a
	if a.paused {
		a.paused, a.silentFor = false, 0
		r.takeSlots(a)
		r.apply(a)
	}
	a.silent = false
}

func (r *shareRun) takeAll() {
	for _, e := range r.entries {
		r.takeSlots(e)
	}
}

// checkInUse checks that no more slots are in use than the target has. A single excess request beside a loan after a
// restart of the lender is reported as loanSurvivesRestart.
func (r *shareRun) checkInUse() {
	n := 0
	for _, e := range r.entries {
		n += e.ownInUse + e.borrowedInUse
	}
	r.peakInUse = max(r.peakInUse, n)
	c := withinSlots
	if n == slotCount+1 && r.c.borrowedInUse == 1 && r.a.incarnation > 1 {
		c = loanSurvivesRestart
	}
	r.sim.ensure(c, n <= slotCount, "%d requests at a target with %d slots", n, slotCount)
}

func (r *shareRun) finish() string {
	r.canPublish, r.measuringStopped = true, false
	r.resume()
	r.reportAcks()
	r.publish()
	r.takeAll()
	return fmt.Sprintf("at most %d of %d slots in use", r.peakInUse, slotCount)
}
