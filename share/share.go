// Package share divides the slots of a target among entries. Rebalance decides the grants where the traffic plan is
// made; a Holder keeps one entry within its grants and handles loans between entries. The slots that all entries may
// use together never exceed the slots of the target, whichever plan versions the entries have. The package has no I/O,
// no goroutines and no clock of its own.
package share

import (
	"cmp"
	"slices"
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
	// staleAfter is the age from which a demand is not used to take slots away.
	staleAfter = 10 * time.Second
	// base is added to the demand of entries in the targets' region, so that one without demand so far gets a slot where
	// there are enough.
	base = 0.25
	// hysteresis is how far a surplus and a deficit must differ, in slots, before a slot moves. A move pays off from 1;
	// the rest keeps a demand that varies by a quarter slot on either side from moving a slot back and forth.
	hysteresis = 1.5
	// busyHysteresis applies if the giving entry uses all it has. Such a move serves nobody more, and the slot is idle
	// until the move is acknowledged.
	busyHysteresis = 3.0
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
	// Leaving entries get slots for their demand alone and give up what it does not need.
	Leaving bool
	// Demand is the number of slots of the group that the entry could use at once.
	Demand float64
	// DemandAt is the time of that measurement. Without a fresh one the entry keeps what it has.
	DemandAt time.Time
}

// member is one entry during a rebalancing.
type member struct {
	*Entry
	// quota is the fair part of the slots; have is what the entry has or is about to get.
	quota, have float64
	// takes says that slots may be given to the entry or, if its demand is fresh, moved away from it.
	takes, fresh bool
	near         bool
}

// row is a grant with the index of its entry, or -1 if the entry is not listed.
type row struct {
	Grant
	entry int
}

// division is a table that is being changed.
type division struct {
	next    ident.Version
	targets []Target
	// rows and free belong to targets of the same index. Rows are in no order; free never counts a slot that an entry may
	// still be using.
	rows    [][]row
	free    []ident.Slots
	members []member
}

// Rebalance returns the division for the plan version next. Entries is sorted by VM; an entry with grants that is not
// listed keeps them. Slots of targets that are not listed are dropped. The result depends on the arguments alone and
// shares no memory with them.
func Rebalance(cur Table, next ident.Version, entries []Entry, now time.Time) Table {
	d := load(cur, next, entries, now)
	d.shrink()
	d.quotas()
	d.give()
	d.release()
	return d.table(cur)
}

// load drops the grants of dead entries and ends what was acknowledged.
func load(cur Table, next ident.Version, entries []Entry, now time.Time) *division {
	d := &division{
		next: next, targets: cur.Targets, rows: make([][]row, len(cur.Targets)),
		free: make([]ident.Slots, len(cur.Targets)), members: make([]member, len(entries)),
	}
	for i := range entries {
		m, e := &d.members[i], &entries[i]
		m.Entry, m.near = e, e.Place.Region == cur.Region
		m.fresh = now.Sub(e.DemandAt) <= staleAfter
		m.takes = e.Silent == 0
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
		r := row{Grant: g, entry: d.find(g.Entry)}
		if r.entry >= 0 {
			e := d.members[r.entry].Entry
			if e.Silent >= DeadAfter {
				continue
			}
			if e.Acked >= g.Since {
				r.Held, r.Since = 0, 0
			}
		}
		if r.Bound() > 0 {
			d.rows[t] = append(d.rows[t], r)
		}
	}
	return d
}

func (d *division) find(vm ident.VM) int {
	i, ok := slices.BinarySearchFunc(d.members, vm, func(m member, vm ident.VM) int { return cmp.Compare(m.VM, vm) })
	if !ok {
		return -1
	}
	return i
}

// shrink takes slots from targets that have fewer than are granted and from entries that leave, and counts what is free
// then.
func (d *division) shrink() {
	for t := range d.rows {
		for n := d.granted(t); n > d.targets[t].Slots; n-- {
			d.take(slices.MaxFunc(pointers(d.rows[t]), func(a, b *row) int {
				return cmp.Or(cmp.Compare(a.Slots, b.Slots), cmp.Compare(b.Entry, a.Entry))
			}))
		}
		d.free[t] = d.targets[t].Slots
		for _, r := range d.rows[t] {
			d.free[t] -= r.Bound()
			if r.entry >= 0 {
				d.members[r.entry].have += float64(r.Slots)
			}
		}
	}
	for i := range d.members {
		m := &d.members[i]
		for m.Leaving && m.fresh && m.have >= max(0, m.Demand)+1 {
			d.take(d.farthest(m))
			m.have--
		}
	}
}

func pointers(rows []row) []*row {
	ps := make([]*row, len(rows))
	for i := range rows {
		ps[i] = &rows[i]
	}
	return ps
}

// take removes a slot from a grant. The slot stays bound until the entry has acknowledged the version.
func (d *division) take(r *row) {
	r.Held = max(r.Held, r.Slots)
	r.Slots--
	r.Since = d.next
}

// quotas divides the slots by demand among the entries that can use them.
func (d *division) quotas() {
	var slots float64
	for t, rows := range d.rows {
		slots += float64(d.targets[t].Slots)
		for _, r := range rows {
			if r.entry < 0 || !d.members[r.entry].takes {
				slots -= float64(r.Slots)
			}
		}
	}
	var sum float64
	for i := range d.members {
		m := &d.members[i]
		if !m.takes {
			continue
		}
		m.quota = max(0, m.Demand)
		if !m.fresh && !m.DemandAt.IsZero() {
			m.quota = m.have
		}
		if m.Leaving {
			slots -= m.quota
			continue
		}
		if m.near {
			m.quota += base
		}
		sum += m.quota
	}
	for i := range d.members {
		if m := &d.members[i]; sum > 0 && !m.Leaving {
			m.quota *= max(0, slots) / sum
		}
	}
}

// neediest returns the entry that is furthest below its quota, or nil. Near entries go first among equals.
func (d *division) neediest() *member {
	var best *member
	for i := range d.members {
		m := &d.members[i]
		if !m.takes || m.quota <= m.have {
			continue
		}
		if best == nil {
			best = m
			continue
		}
		more := m.quota - m.have - (best.quota - best.have)
		if more > 0 || more == 0 && m.near && !best.near {
			best = m
		}
	}
	return best
}

// give grants the free slots, and decides who waits for those that are not given up yet. An entry that waits for a slot
// of its own gets it back at once.
func (d *division) give() {
	var free, bound ident.Slots
	for t := range d.rows {
		free += max(0, d.free[t])
		bound += max(0, d.targets[t].Slots-d.granted(t)-max(0, d.free[t]))
	}
	for free+bound > 0 {
		m := d.neediest()
		if m == nil {
			return
		}
		m.have++
		switch {
		case d.restore(m):
			bound--
		case free > 0:
			d.grant(m)
			free--
		default:
			bound--
		}
	}
}

// restore gives an entry back a slot that it has not given up yet.
func (d *division) restore(m *member) bool {
	for t := range d.rows {
		if r := d.row(t, m.VM); r != nil && r.Slots < r.Held && d.granted(t) < d.targets[t].Slots {
			r.Slots++
			return true
		}
	}
	return false
}

func (d *division) granted(t int) ident.Slots {
	var sum ident.Slots
	for _, r := range d.rows[t] {
		sum += r.Slots
	}
	return sum
}

// grant gives an entry a slot of the nearest target with a free one. Among equals it takes the target of which the
// entry has the fewest slots, then the one with the most free.
func (d *division) grant(m *member) {
	best := -1
	var bestRow *row
	for t := range d.targets {
		if d.free[t] <= 0 {
			continue
		}
		r := d.row(t, m.VM)
		if best < 0 || cmp.Or(
			cmp.Compare(m.Place.To(d.targets[t].Place), m.Place.To(d.targets[best].Place)),
			cmp.Compare(r.slots(), bestRow.slots()),
			cmp.Compare(d.free[best], d.free[t])) < 0 {
			best, bestRow = t, r
		}
	}
	before := ident.Slots(0)
	if bestRow == nil {
		d.rows[best] = append(d.rows[best], row{
			Grant: Grant{Target: d.targets[best].Name, Entry: m.VM}, entry: d.find(m.VM),
		})
		bestRow = &d.rows[best][len(d.rows[best])-1]
	} else {
		before = bestRow.Bound()
	}
	bestRow.Slots++
	d.free[best] -= bestRow.Bound() - before
}

func (d *division) row(t int, vm ident.VM) *row {
	for i := range d.rows[t] {
		if d.rows[t][i].Entry == vm {
			return &d.rows[t][i]
		}
	}
	return nil
}

func (r *row) slots() ident.Slots {
	if r == nil {
		return 0
	}
	return r.Slots
}

// release takes slots from the entries furthest above their quota for those furthest below it. They are granted in a
// later version, when they have been given up.
func (d *division) release() {
	for {
		to, from := d.neediest(), d.richest()
		if to == nil || from == nil {
			return
		}
		margin := hysteresis
		if from.Demand > from.have-1 {
			margin = busyHysteresis
		}
		if from.have-from.quota+to.quota-to.have < margin {
			return
		}
		r := d.farthest(from)
		if r == nil {
			return
		}
		d.take(r)
		from.have--
		to.have++
	}
}

// richest returns the entry that is furthest above its quota, or nil.
func (d *division) richest() *member {
	var best *member
	for i := range d.members {
		m := &d.members[i]
		if !m.takes || !m.fresh || m.have < 1 || m.have <= m.quota {
			continue
		}
		if best == nil || m.have-m.quota >= best.have-best.quota {
			best = m
		}
	}
	return best
}

// farthest returns the grant of an entry on its farthest target; among equals the one with the most slots.
func (d *division) farthest(m *member) *row {
	var best *row
	var far ident.Distance
	for t := range d.targets {
		r := d.row(t, m.VM)
		if r.slots() == 0 {
			continue
		}
		dist := m.Place.To(d.targets[t].Place)
		if best == nil || cmp.Or(cmp.Compare(dist, far), cmp.Compare(r.Slots, best.Slots)) > 0 {
			best, far = r, dist
		}
	}
	return best
}

// table returns the result, without grants that have ended.
func (d *division) table(cur Table) Table {
	out := Table{Region: cur.Region, Targets: slices.Clone(cur.Targets)}
	n := 0
	for _, rows := range d.rows {
		n += len(rows)
	}
	out.Grants = make([]Grant, 0, n)
	for _, rows := range d.rows {
		slices.SortFunc(rows, func(a, b row) int { return cmp.Compare(a.Entry, b.Entry) })
		for _, r := range rows {
			if r.Held <= r.Slots {
				r.Held, r.Since = 0, 0
			}
			out.Grants = append(out.Grants, r.Grant)
		}
	}
	return out
}
