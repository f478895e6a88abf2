// Package share allocates the slots of targets to entries. Rebalance computes the grants of a traffic plan on the lease
// holder; a Holder enforces them on one entry and manages loans between entries. The slots that all entries together
// may use never exceed the slots of the target, whichever plan versions the entries have. The package performs no I/O,
// starts no goroutines and takes the time as an argument.
package share

import (
	"cmp"
	"slices"
	"time"

	"github.com/currantpier/currantpier/ident"
)

const (
	// MaxLoopInterval is the maximum interval between two runs of the control loop; a longer one suspends the grants.
	MaxLoopInterval = 5 * time.Second
	// DeadAfter is how long an entry must be unlisted and unreachable (Entry.UnreachableFor) before its slots are reassigned.
	DeadAfter = 60 * time.Second
	// LoanGrace is the time after the deadline of a loan at which the lender may reuse the slot. It covers the clock
	// difference between two VMs and the time that a cancellation takes to reach the target.
	LoanGrace = time.Second
	// MaxLoanDuration is the maximum duration of a loan. MaxLoanDuration plus LoanGrace is less than DeadAfter, so that no loan outlives the
	// grants of a failed lender.
	MaxLoanDuration = 30 * time.Second
	// maxDemandAge is the age above which a reported demand is not used to take slots from the entry.
	maxDemandAge = 10 * time.Second
	// localBaseDemand is added to the demand, in slots, of entries in the targets' region, so that an entry without demand
	// gets a slot if there are enough.
	localBaseDemand = 0.25
	// moveHysteresisSlots is the minimum sum of the giver's surplus and the receiver's deficit for moving a slot. A move
	// is useful above 1; the rest prevents oscillation if the demand varies by a quarter slot on either side.
	moveHysteresisSlots = 1.5
	// busyMoveHysteresisSlots replaces moveHysteresisSlots if the giver uses all its slots. Such a move doesn't increase
	// the work done, and the slot is idle until the move is acknowledged.
	busyMoveHysteresisSlots = 3.0
)

// Grant is the allocation of slots of one target to one entry.
type Grant struct {
	Target ident.Target `json:"target"`
	Entry  ident.VM     `json:"entry"`
	// Slots is the number that the entry may use under this plan version.
	Slots ident.Slots `json:"slots"`
	// ReservedSlots is the number that the entry may still be using under an older version, until it has acknowledged ReservedSince. It is
	// zero unless it exceeds Slots.
	ReservedSlots ident.Slots `json:"held,omitempty"`
	// ReservedSince is the version whose acknowledgement clears ReservedSlots.
	ReservedSince ident.Version `json:"since,omitempty"`
}

// MaxInUse returns the maximum number of slots that the entry may be using, whichever version it has.
func (g Grant) MaxInUse() ident.Slots { return max(g.Slots, g.ReservedSlots) }

// Target is a target whose slots are allocated.
type Target struct {
	Name  ident.Target
	Place ident.Place
	// Slots is zero for a target that is being removed.
	Slots ident.Slots
}

// Allocation is the allocation of the slots of a group of targets, usually those of one service in one region.
type Allocation struct {
	// Region is the region of the targets.
	Region ident.Region
	// Targets is sorted by name.
	Targets []Target
	// Grants is sorted by target and entry. The sum of MaxInUse over the grants of a target never exceeds its slots, except
	// after its slots were reduced, until entries have acknowledged the decrease.
	Grants []Grant
}

// Entry is the state of an entry as known to the lease holder.
type Entry struct {
	VM    ident.VM
	Place ident.Place
	// AckedVersion is the newest plan version for which the entry has completed all decreases.
	AckedVersion ident.Version
	// UnreachableFor is how long the entry has been both missing from the platform's list and unreachable; zero if it is listed or
	// reachable.
	UnreachableFor time.Duration
	// Leaving is true for an entry that is being removed. It keeps only the slots that its demand needs.
	Leaving bool
	// Demand is the number of slots of the group that the entry could use simultaneously.
	Demand float64
	// DemandAt is the time of that measurement. An entry whose measurement is stale keeps its slots.
	DemandAt time.Time
}

// entryState is the state of one entry during Rebalance.
type entryState struct {
	*Entry
	// quota is the fair share of the slots; assigned counts those that the entry has or will get in a later version.
	quota, assigned float64
	// eligible is true if the entry may receive slots. If demandFresh is also true, slots may be moved away from it.
	eligible, demandFresh bool
	local                 bool
}

// indexedGrant is a grant with the index of its entry in distribution.entries, or -1 if the entry is not listed.
type indexedGrant struct {
	Grant
	entryIndex int
}

// distribution is the state of one call of Rebalance.
type distribution struct {
	version ident.Version
	targets []Target
	// grants and free are indexed like targets. The grants of a target are unsorted. free excludes each slot that an entry
	// may still be using; it is negative while a target has fewer slots than that.
	grants  [][]indexedGrant
	free    []ident.Slots
	entries []entryState
}

// Rebalance returns the allocation for the plan version next. entries is sorted by VM; an entry that is not listed
// keeps its grants. Grants of targets that are not listed are dropped. The result depends only on the arguments and
// shares no memory with them.
func Rebalance(cur Allocation, next ident.Version, entries []Entry, now time.Time) Allocation {
	d := newDistribution(cur, next, entries, now)
	d.revokeExcess()
	d.computeQuotas()
	d.assignUnused()
	d.moveSurplus()
	return d.result(cur)
}

// newDistribution copies the grants, without those of failed entries, and clears ReservedSlots where it was acknowledged.
func newDistribution(cur Allocation, next ident.Version, entries []Entry, now time.Time) *distribution {
	d := &distribution{
		version: next, targets: cur.Targets, grants: make([][]indexedGrant, len(cur.Targets)),
		free: make([]ident.Slots, len(cur.Targets)), entries: make([]entryState, len(entries)),
	}
	for i := range entries {
		m, e := &d.entries[i], &entries[i]
		m.Entry, m.local = e, e.Place.Region == cur.Region
		m.demandFresh = now.Sub(e.DemandAt) <= maxDemandAge
		m.eligible = e.UnreachableFor == 0
	}
	t := 0
	for _, g := range cur.Grants {
		for t < len(d.targets) && d.targets[t].Name < g.Target {
			t++
		}
		if t == len(d.targets) {
			break
		}
		if d.targets[t].Name != g.Target {
			continue
		}
		r := indexedGrant{Grant: g, entryIndex: d.entryIndex(g.Entry)}
		if r.entryIndex >= 0 {
			e := d.entries[r.entryIndex].Entry
			if e.UnreachableFor >= DeadAfter {
				continue
			}
			if e.AckedVersion >= g.ReservedSince {
				r.ReservedSlots, r.ReservedSince = 0, 0
			}
		}
		if r.MaxInUse() > 0 {
			d.grants[t] = append(d.grants[t], r)
		}
	}
	return d
}

func (d *distribution) entryIndex(vm ident.VM) int {
	i, ok := slices.BinarySearchFunc(d.entries, vm, func(m entryState, vm ident.VM) int { return cmp.Compare(m.VM, vm) })
	if !ok {
		return -1
	}
	return i
}

// revokeExcess revokes grants beyond the slots of a target and those that leaving entries don't need, and computes the
// free slots.
func (d *distribution) revokeExcess() {
	for t := range d.grants {
		for n := d.grantedSlots(t); n > d.targets[t].Slots; n-- {
			d.revoke(slices.MaxFunc(pointers(d.grants[t]), func(a, b *indexedGrant) int {
				return cmp.Or(cmp.Compare(a.Slots, b.Slots), cmp.Compare(b.Entry, a.Entry))
			}))
		}
		d.free[t] = d.targets[t].Slots
		for _, r := range d.grants[t] {
			d.free[t] -= r.MaxInUse()
			if r.entryIndex >= 0 {
				d.entries[r.entryIndex].assigned += float64(r.Slots)
			}
		}
	}
	for i := range d.entries {
		m := &d.entries[i]
		for m.Leaving && m.demandFresh && m.assigned >= max(0, m.Demand)+1 {
			d.revoke(d.farthestGrant(m))
			m.assigned--
		}
	}
}

func pointers(grants []indexedGrant) []*indexedGrant {
	ptrs := make([]*indexedGrant, len(grants))
	for i := range grants {
		ptrs[i] = &grants[i]
	}
	return ptrs
}

// revoke removes one slot from a grant. The slot stays reserved (ReservedSlots) until the entry has acknowledged the version.
func (d *distribution) revoke(r *indexedGrant) {
	r.ReservedSlots = max(r.ReservedSlots, r.Slots)
	r.Slots--
	r.ReservedSince = d.version
}

// computeQuotas computes the quotas of the eligible entries. A stale demand is replaced by the slots that the entry
// has. The quota of a leaving entry is its demand; the remaining slots are divided among the others by demand.
func (d *distribution) computeQuotas() {
	var slots float64
	for t, grants := range d.grants {
		slots += float64(d.targets[t].Slots)
		for _, r := range grants {
			if r.entryIndex < 0 || !d.entries[r.entryIndex].eligible {
				slots -= float64(r.Slots)
			}
		}
	}
	var sum float64
	for i := range d.entries {
		m := &d.entries[i]
		if !m.eligible {
			continue
		}
		m.quota = max(0, m.Demand)
		if !m.demandFresh && !m.DemandAt.IsZero() {
			m.quota = m.assigned
		}
		if m.Leaving {
			slots -= m.quota
			continue
		}
		if m.local {
			m.quota += localBaseDemand
		}
		sum += m.quota
	}
	for i := range d.entries {
		if m := &d.entries[i]; sum > 0 && !m.Leaving {
			m.quota *= max(0, slots) / sum
		}
	}
}

// largestDeficit returns the entry that is furthest below its quota, or nil. Entries in the targets' region win ties.
func (d *distribution) largestDeficit() *entryState {
	var best *entryState
	for i := range d.entries {
		m := &d.entries[i]
		if !m.eligible || m.quota <= m.assigned {
			continue
		}
		if best == nil {
			best = m
			continue
		}
		difference := m.quota - m.assigned - (best.quota - best.assigned)
		if difference > 0 || difference == 0 && m.local && !best.local {
			best = m
		}
	}
	return best
}

// assignUnused assigns the free slots, and those that other entries have yet to give up: they count for the receiver
// now and are granted in a later version. A slot that an entry was to give up itself is restored to it immediately.
func (d *distribution) assignUnused() {
	var free, pending ident.Slots
	for t := range d.grants {
		free += max(0, d.free[t])
		pending += max(0, d.targets[t].Slots-d.grantedSlots(t)-max(0, d.free[t]))
	}
	for free+pending > 0 {
		m := d.largestDeficit()
		if m == nil {
			return
		}
		m.assigned++
		switch {
		case d.restoreRevoked(m):
			pending--
		case free > 0:
			d.grantNearest(m)
			free--
		default:
			pending--
		}
	}
}

// restoreRevoked returns to an entry a slot that was revoked but not yet given up, and reports whether there was one.
func (d *distribution) restoreRevoked(m *entryState) bool {
	for t := range d.grants {
		if r := d.grantOf(t, m.VM); r != nil && r.Slots < r.ReservedSlots && d.grantedSlots(t) < d.targets[t].Slots {
			r.Slots++
			return true
		}
	}
	return false
}

func (d *distribution) grantedSlots(t int) ident.Slots {
	var sum ident.Slots
	for _, r := range d.grants[t] {
		sum += r.Slots
	}
	return sum
}

// grantNearest grants an entry a slot of the nearest target with a free one. Ties go to the target of which the entry
// has the fewest slots, then to the one with the most free slots.
func (d *distribution) grantNearest(m *entryState) {
	best := -1
	var bestGrant *indexedGrant
	for t := range d.targets {
		if d.free[t] <= 0 {
			continue
		}
		r := d.grantOf(t, m.VM)
		if best < 0 || cmp.Or(
			cmp.Compare(m.Place.To(d.targets[t].Place), m.Place.To(d.targets[best].Place)),
			cmp.Compare(r.slotsOrZero(), bestGrant.slotsOrZero()),
			cmp.Compare(d.free[best], d.free[t])) < 0 {
			best, bestGrant = t, r
		}
	}
	before := ident.Slots(0)
	if bestGrant == nil {
		d.grants[best] = append(d.grants[best], indexedGrant{
			Grant: Grant{Target: d.targets[best].Name, Entry: m.VM}, entryIndex: d.entryIndex(m.VM),
		})
		bestGrant = &d.grants[best][len(d.grants[best])-1]
	} else {
		before = bestGrant.MaxInUse()
	}
	bestGrant.Slots++
	d.free[best] -= bestGrant.MaxInUse() - before
}

func (d *distribution) grantOf(t int, vm ident.VM) *indexedGrant {
	for i := range d.grants[t] {
		if d.grants[t][i].Entry == vm {
			return &d.grants[t][i]
		}
	}
	return nil
}

func (r *indexedGrant) slotsOrZero() ident.Slots {
	if r == nil {
		return 0
	}
	return r.Slots
}

// moveSurplus revokes slots of the entries furthest above their quota in favor of those furthest below it. They are
// granted in a later version, after the decrease was acknowledged.
func (d *distribution) moveSurplus() {
	for {
		to, from := d.largestDeficit(), d.largestSurplus()
		if to == nil || from == nil {
			return
		}
		margin := moveHysteresisSlots
		if from.Demand > from.assigned-1 {
			margin = busyMoveHysteresisSlots
		}
		if from.assigned-from.quota+to.quota-to.assigned < margin {
			return
		}
		r := d.farthestGrant(from)
		if r == nil {
			return
		}
		d.revoke(r)
		from.assigned--
		to.assigned++
	}
}

// largestSurplus returns the entry that is furthest above its quota, or nil. Entries without a fresh demand are
// excluded.
func (d *distribution) largestSurplus() *entryState {
	var best *entryState
	for i := range d.entries {
		m := &d.entries[i]
		if !m.eligible || !m.demandFresh || m.assigned < 1 || m.assigned <= m.quota {
			continue
		}
		if best == nil || m.assigned-m.quota >= best.assigned-best.quota {
			best = m
		}
	}
	return best
}

// farthestGrant returns the grant of an entry on its farthest target, or nil. Ties go to the grant with the most slots.
func (d *distribution) farthestGrant(m *entryState) *indexedGrant {
	var best *indexedGrant
	var bestDistance ident.Distance
	for t := range d.targets {
		r := d.grantOf(t, m.VM)
		if r.slotsOrZero() == 0 {
			continue
		}
		distance := m.Place.To(d.targets[t].Place)
		if best == nil || cmp.Or(cmp.Compare(distance, bestDistance), cmp.Compare(r.Slots, best.Slots)) > 0 {
			best, bestDistance = r, distance
		}
	}
	return best
}

// result returns the new table, sorted. It clears ReservedSlots where it doesn't exceed Slots.
func (d *distribution) result(cur Allocation) Allocation {
	out := Allocation{Region: cur.Region, Targets: slices.Clone(cur.Targets)}
	n := 0
	for _, grants := range d.grants {
		n += len(grants)
	}
	out.Grants = make([]Grant, 0, n)
	for _, grants := range d.grants {
		slices.SortFunc(grants, func(a, b indexedGrant) int { return cmp.Compare(a.Entry, b.Entry) })
		for _, r := range grants {
			if r.ReservedSlots <= r.Slots {
				r.ReservedSlots, r.ReservedSince = 0, 0
			}
			out.Grants = append(out.Grants, r.Grant)
		}
	}
	return out
}
