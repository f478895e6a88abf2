package share_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/share"
)

var start = time.Unix(1_800_000_000, 0)

func testPlace(domain string) ident.Place {
	return ident.Place{Region: "cluj", Domain: ident.Domain(domain)}
}

func newTable(slots ...ident.Slots) share.Allocation {
	t := share.Allocation{Region: "cluj"}
	for i, n := range slots {
		t.Targets = append(t.Targets, share.Target{
			Name: ident.Target(fmt.Sprintf("desk-%d", i)), Place: testPlace([]string{"cluj-a", "cluj-b"}[i%2]), Slots: n,
		})
	}
	return t
}

func newEntries(demand ...float64) []share.Entry {
	var all []share.Entry
	for i, d := range demand {
		all = append(all, share.Entry{
			VM: ident.VM(fmt.Sprintf("cluj-%d", i)), Place: testPlace([]string{"cluj-a", "cluj-b"}[i%2]), Demand: d, DemandAt: start,
		})
	}
	return all
}

// slotsPerEntry returns the granted slots of each of n entries, and fails the test if the grants of a target exceed its
// slots.
func slotsPerEntry(t *testing.T, tb share.Allocation, n int) []ident.Slots {
	t.Helper()
	got := make([]ident.Slots, n)
	for _, tg := range tb.Targets {
		var sum ident.Slots
		for _, g := range tb.Grants {
			if g.Target == tg.Name {
				sum += g.MaxInUse()
				var i int
				fmt.Sscanf(string(g.Entry), "cluj-%d", &i)
				got[i] += g.Slots
			}
		}
		if sum > tg.Slots {
			t.Errorf("%s: entries may use %d slots of %d", tg.Name, sum, tg.Slots)
		}
	}
	return got
}

// Guards against grants that don't follow the demand, slots that move before the decrease is acknowledged, and lost
// slots.
func TestRebalance(t *testing.T) {
	tests := []struct {
		name   string
		change func(es []share.Entry)
		now    time.Duration
		want   []ident.Slots
		// settled is the allocation after all entries have acknowledged all versions.
		settled []ident.Slots
	}{
		{"equal", func([]share.Entry) {}, 0, []ident.Slots{4, 4}, []ident.Slots{4, 4}},
		{"demand moved", func(es []share.Entry) { es[0].Demand, es[1].Demand = 0, 6 }, 0, []ident.Slots{1, 4}, []ident.Slots{1, 7}},
		{"small change", func(es []share.Entry) { es[0].Demand, es[1].Demand = 3, 4 }, 0, []ident.Slots{4, 4}, []ident.Slots{4, 4}},
		{"busy and uneven", func(es []share.Entry) { es[0].Demand, es[1].Demand = 10, 18 }, 0,
			[]ident.Slots{4, 4}, []ident.Slots{4, 4}},
		{"busy and very uneven", func(es []share.Entry) { es[0].Demand, es[1].Demand = 6, 40 }, 0,
			[]ident.Slots{2, 4}, []ident.Slots{2, 6}},
		{"stale demand", func(es []share.Entry) { es[0].Demand, es[1].Demand = 0, 6 }, 11 * time.Second,
			[]ident.Slots{4, 4}, []ident.Slots{4, 4}},
		{"silent for 59 s", func(es []share.Entry) { es[0].UnreachableFor = 59 * time.Second }, 0, []ident.Slots{4, 4}, []ident.Slots{4, 4}},
		{"silent for 60 s", func(es []share.Entry) { es[0].UnreachableFor = 60 * time.Second }, 0, []ident.Slots{0, 8}, []ident.Slots{0, 8}},
		{"leaving", func(es []share.Entry) { es[0].Leaving = true }, 0, []ident.Slots{2, 4}, []ident.Slots{2, 6}},
		{"leaving and idle", func(es []share.Entry) { es[0].Leaving, es[0].Demand = true, 0 }, 0,
			[]ident.Slots{0, 4}, []ident.Slots{0, 8}},
		{"not listed", func(es []share.Entry) { es[0].VM = "cluj-1"; es[1].VM = "cluj-2" }, 0,
			[]ident.Slots{4, 2, 0}, []ident.Slots{4, 2, 2}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			es := newEntries(2, 2)
			cur := share.Rebalance(newTable(4, 4), 1, es, start)
			tt.change(es)
			es[0].AckedVersion, es[1].AckedVersion = 1, 1
			cur = share.Rebalance(cur, 2, es, start.Add(tt.now))
			if got := slotsPerEntry(t, cur, len(tt.want)); !slices.Equal(got, tt.want) {
				t.Errorf("without acknowledgement got %v, want %v", got, tt.want)
			}
			for v := ident.Version(3); v < 20; v++ {
				es[0].AckedVersion, es[1].AckedVersion = v-1, v-1
				cur = share.Rebalance(cur, v, es, start.Add(tt.now))
			}
			if got := slotsPerEntry(t, cur, len(tt.settled)); !slices.Equal(got, tt.settled) {
				t.Errorf("after all acknowledgements got %v, want %v", got, tt.settled)
			}
		})
	}
}

// Guards against grants on distant targets while near ones have free slots, and against nondeterministic results.
func TestRebalancePrefersNearTargets(t *testing.T) {
	es := newEntries(1, 1, 1, 1)
	a := share.Rebalance(newTable(4, 4, 4, 4), 1, es, start)
	b := share.Rebalance(newTable(4, 4, 4, 4), 1, es, start)
	if diff := cmp.Diff(a, b); diff != "" {
		t.Error("two results for the same arguments:", diff)
	}
	places := map[ident.VM]ident.Place{}
	for _, e := range es {
		places[e.VM] = e.Place
	}
	for _, g := range a.Grants {
		for _, tg := range a.Targets {
			if tg.Name == g.Target && tg.Place != places[g.Entry] {
				t.Errorf("%s in %v got a slot of %s in %v", g.Entry, places[g.Entry], tg.Name, tg.Place)
			}
		}
	}
}

// Guards against slots that oscillate with noise in the demand, and against grants that remain on a removed target.
func TestRebalanceIgnoresDemandNoise(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 3))
	es := newEntries(4, 2, 2, 1)
	cur := share.Rebalance(newTable(4, 6, 3, 5), 1, es, start)
	before := slotsPerEntry(t, cur, 4)
	for v := ident.Version(2); v < 200; v++ {
		for i, d := range []float64{4, 2, 2, 1} {
			es[i].Demand, es[i].AckedVersion = d+0.2*(rng.Float64()-0.5), v-1
		}
		cur = share.Rebalance(cur, v, es, start)
	}
	if after := slotsPerEntry(t, cur, 4); !slices.Equal(before, after) {
		t.Errorf("noise of 0.1 slots moved %v to %v", before, after)
	}
	cur.Targets[0].Slots = 0
	for v := ident.Version(200); v < 203; v++ {
		cur = share.Rebalance(cur, v, es, start)
		for _, g := range cur.Grants {
			if g.Target == "desk-0" && g.Slots > 0 {
				t.Errorf("version %d grants %d slots of a target that leaves", v, g.Slots)
			}
		}
		for i := range es {
			es[i].AckedVersion = v
		}
	}
	if n := len(cur.Grants); n == 0 || cur.Grants[0].Target == "desk-0" {
		t.Errorf("grants of the target that left: %v", cur.Grants)
	}
}

// Guards against use beyond the grants of an entry. The steps are applied to one Holder in order.
func TestHolder(t *testing.T) {
	grant := func(n ident.Slots) []share.Grant {
		return []share.Grant{{Target: "desk", Entry: "cluj-1", Slots: n}, {Target: "desk", Entry: "cluj-2", Slots: 9}}
	}
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	loan := func(id uint64, deadline float64) share.Loan {
		return share.Loan{ID: id, Borrower: "cluj-2", Incarnation: 7, Target: "desk", Deadline: at(deadline)}
	}
	h := share.NewHolder("cluj-1")
	take := func(s float64) func() bool { return func() bool { return h.TryTake(at(s), "desk") } }
	acked := func(v ident.Version) func() bool { return func() bool { return h.Acked() == v } }
	steps := []struct {
		name string
		do   func() bool
		want bool
	}{
		{"suspended before the first plan", take(0), false},
		{"expected version", func() bool { h.RequireVersion(5); return h.Apply(at(0), grant(9), 4) }, false},
		{"first plan", func() bool { return h.Apply(at(0), grant(2), 5) }, true},
		{"acknowledged immediately", acked(5), true},
		{"take 1", take(1), true},
		{"take 2", take(1), true},
		{"take 3 of 2", take(1), false},
		{"older plan", func() bool { return h.Apply(at(1), grant(9), 4) }, false},
		{"decrease", func() bool { return h.Apply(at(2), grant(1), 6) }, true},
		{"decrease not complete with 2 in use of 1", acked(5), true},
		{"no new work", take(2), false},
		{"release", func() bool { h.Release("desk"); return h.Acked() == 6 }, true},
		{"still full", take(2), false},
		{"release again", func() bool { h.Release("desk"); return true }, true},
		{"lend", func() bool { return h.Lend(at(2), loan(1, 4)) }, true},
		{"lend the same again", func() bool { return h.Lend(at(2), loan(1, 4)) }, true},
		{"the limit excludes what is lent", func() bool { return h.Limit(at(2), "desk") == 0 }, true},
		{"lend another", func() bool { return h.Lend(at(2), loan(2, 4)) }, false},
		{"lent slot is not used", take(2), false},
		{"plan takes the lent slot", func() bool { return h.Apply(at(3), grant(0), 7) }, true},
		{"decrease not complete while a slot is lent", acked(6), true},
		{"not expired before the deadline plus LoanGrace", func() bool { return h.ExpireLoans(at(4.9)) == 0 && h.Acked() == 6 }, true},
		{"expired", func() bool { return h.ExpireLoans(at(5)) == 1 && h.Acked() == 7 }, true},
		{"returned too late", func() bool { return h.EndLoan("cluj-2", 7, 1) }, false},
		{"increase", func() bool { return h.Apply(at(5), grant(2), 8) }, true},
		{"loan past its deadline", func() bool { return h.Lend(at(5), loan(3, 5)) }, false},
		{"loan too long", func() bool { return h.Lend(at(5), loan(3, 36)) }, false},
		{"lend again", func() bool { return h.Lend(at(5), loan(4, 6)) }, true},
		{"returned by another process", func() bool { return h.EndLoan("cluj-2", 8, 4) }, false},
		{"returned", func() bool { return h.EndLoan("cluj-2", 7, 4) }, true},
		{"returned twice", func() bool { return h.EndLoan("cluj-2", 7, 4) }, false},
		{"both slots are back", func() bool { return h.Free(at(5), "desk") == 2 }, true},
		{"control loop runs", func() bool { h.RecordLoopRun(at(10)); return h.TryTake(at(10), "desk") }, true},
		{"paused for 5 s", take(15.1), false},
		{"no loans when paused", func() bool { return h.Lend(at(15.1), loan(5, 20)) }, false},
		{"suspended although the loop runs again", func() bool { h.RecordLoopRun(at(15.2)); return h.TryTake(at(15.3), "desk") }, false},
		{"older plan does not end the suspension", func() bool { return h.Apply(at(15.3), grant(2), 7) || h.TryTake(at(15.3), "desk") }, false},
		{"plan read again", func() bool { return h.Apply(at(15.4), grant(2), 8) && h.TryTake(at(15.4), "desk") }, true},
		{"borrow", func() bool { return h.Borrow(at(16), loan(9, 18)) }, true},
		{"the limit includes what is borrowed", func() bool { return h.Limit(at(16), "desk") == 3 }, true},
		{"borrow the same twice", func() bool { return h.Borrow(at(16), loan(9, 18)) }, false},
		{"use the borrowed slot", func() bool { return h.TakeBorrowed(at(17), 9) }, true},
		{"use the borrowed slot twice", func() bool { return h.TakeBorrowed(at(17), 9) }, false},
		{"release the borrowed slot", func() bool { l, ok := h.ReleaseBorrowed(9); return ok && l.ID == 9 }, true},
		{"borrow and wait", func() bool { return h.Borrow(at(17), loan(10, 18)) }, true},
		{"use a borrowed slot after the deadline", func() bool { return h.TakeBorrowed(at(18), 10) }, false},
		{"unused loan expires", func() bool { return h.ExpireLoans(at(18)) == 1 }, true},
		{"uses", func() bool {
			return cmp.Equal(h.AppendUsage(at(18), nil), []share.Usage{{Target: "desk", Granted: 2, InUse: 2, Peak: 2}})
		}, true},
	}
	for _, s := range steps {
		if got := s.do(); got != s.want {
			t.Fatalf("%s: got %v, want %v", s.name, got, s.want)
		}
	}
}

// Guards against the use of slots that a crashed process on the same VM has lent.
func TestHolderInherit(t *testing.T) {
	h := share.NewHolder("cluj-1")
	h.SuspendForOldLoans(start)
	for s := range 33 {
		now := start.Add(time.Duration(s) * time.Second)
		if s == 0 {
			h.Apply(now, []share.Grant{{Target: "desk", Entry: "cluj-1", Slots: 1}}, 1)
		}
		h.RecordLoopRun(now)
		if free := h.Free(now, "desk"); (free == 1) != (s >= 31) {
			t.Errorf("%d slots free after %d s", free, s)
		}
	}
}

// simulation is a randomized simulation of entries and a lease holder.
type simulation struct {
	rng     *rand.Rand
	now     time.Time
	plans   []share.Allocation // by version-1
	entries []*simEntry
}

type simEntry struct {
	share.Entry
	holder *share.Holder
	paused bool
	inUse  []ident.Target
	// borrowed holds the loans that other entries have granted to this one.
	borrowed []share.Loan
}

func (w *simulation) stepEntry(n *simEntry) {
	if n.paused = n.paused != (w.rng.IntN(25) == 0); n.paused {
		return
	}
	n.holder.RecordLoopRun(w.now)
	// A loan ends at its deadline at the latest. Requests from before a pause of DeadAfter or more have ended, too.
	n.borrowed = slices.DeleteFunc(n.borrowed, func(l share.Loan) bool {
		over := !w.now.Before(l.Deadline) || w.rng.IntN(3) == 0
		if over {
			n.holder.ReleaseBorrowed(l.ID)
			if lender := w.find(l.Lender); w.rng.IntN(2) == 0 && !lender.paused {
				lender.holder.EndLoan(l.Borrower, l.Incarnation, l.ID)
			}
		}
		return over
	})
	if newest := len(w.plans); n.holder.Suspended(w.now) {
		if n.UnreachableFor >= share.DeadAfter {
			for _, t := range n.inUse {
				n.holder.Release(t)
			}
			n.inUse = nil
		}
		n.UnreachableFor = 0
		n.holder.Apply(w.now, w.plans[newest-1].Grants, ident.Version(newest))
	} else if v := int(n.holder.Version()); v < newest && w.rng.IntN(3) == 0 {
		v += 1 + w.rng.IntN(newest-v)
		n.holder.Apply(w.now, w.plans[v-1].Grants, ident.Version(v))
	}
	for range 4 {
		t := w.plans[0].Targets[w.rng.IntN(len(w.plans[0].Targets))].Name
		peer := w.entries[w.rng.IntN(len(w.entries))]
		switch l := (share.Loan{ID: w.rng.Uint64(), Lender: peer.VM, Borrower: n.VM, Target: t,
			Deadline: w.now.Add(time.Duration(w.rng.IntN(30)) * time.Second)}); {
		case n.holder.TryTake(w.now, t):
			n.inUse = append(n.inUse, t)
		case peer != n && !peer.paused && peer.holder.Lend(w.now, l) && w.rng.IntN(4) > 0:
			n.holder.Borrow(w.now, l)
			n.borrowed = append(n.borrowed, l)
		case len(n.inUse) > 0:
			n.holder.Release(n.inUse[0])
			n.inUse = n.inUse[1:]
		}
	}
	n.holder.ExpireLoans(w.now)
	if w.rng.IntN(2) == 0 {
		n.AckedVersion = n.holder.Acked()
	}
	n.Demand, n.DemandAt = 10*w.rng.Float64(), w.now
}

func (w *simulation) find(vm ident.VM) *simEntry {
	return w.entries[slices.IndexFunc(w.entries, func(n *simEntry) bool { return n.VM == vm })]
}

func (w *simulation) publish() {
	var es []share.Entry
	for _, n := range w.entries {
		if n.paused {
			n.UnreachableFor += time.Second
		}
		es = append(es, n.Entry)
	}
	next := ident.Version(len(w.plans) + 1)
	w.plans = append(w.plans, share.Rebalance(w.plans[len(w.plans)-1], next, es, w.now))
}

// checkSlots fails the test if the entries together use, or may use, more slots of a target than it has.
func (w *simulation) checkSlots(t *testing.T, seed uint64) {
	allowed, inUse := map[ident.Target]ident.Slots{}, map[ident.Target]ident.Slots{}
	for _, n := range w.entries {
		if n.paused && n.UnreachableFor >= share.DeadAfter {
			continue
		}
		for _, u := range n.holder.AppendUsage(w.now, nil) {
			allowed[u.Target] += max(u.Granted, u.InUse+u.Lent)
			inUse[u.Target] += u.InUse
		}
		for _, l := range n.borrowed {
			if w.now.Before(l.Deadline) {
				inUse[l.Target]++
			}
		}
	}
	for _, tg := range w.plans[0].Targets {
		if allowed[tg.Name] > tg.Slots || inUse[tg.Name] > tg.Slots {
			t.Fatalf("seed %d, %v: %s has %d slots; %d usable, %d in use", seed, w.now.Sub(start), tg.Name, tg.Slots,
				allowed[tg.Name], inUse[tg.Name])
		}
	}
}

// Guards against more requests at a target than it has slots, when entries skip plan versions, pause, fail, resume,
// lend slots and lose messages.
func TestTargetSlotsNeverExceeded(t *testing.T) {
	changedPlans := 0
	for seed := range uint64(30) {
		w := &simulation{rng: rand.New(rand.NewPCG(seed, 4)), now: start}
		for _, e := range newEntries(1, 1, 1, 1, 1) {
			w.entries = append(w.entries, &simEntry{Entry: e, holder: share.NewHolder(e.VM)})
		}
		w.plans = []share.Allocation{share.Rebalance(newTable(3, 4, 6, 3), 1, newEntries(1, 1, 1, 1, 1), start)}
		for range 400 {
			w.now = w.now.Add(time.Second)
			for _, n := range w.entries {
				w.stepEntry(n)
				w.checkSlots(t, seed)
			}
			w.publish()
			if !cmp.Equal(w.plans[len(w.plans)-1].Grants, w.plans[len(w.plans)-2].Grants) {
				changedPlans++
			}
		}
	}
	if changedPlans < 1000 {
		t.Errorf("only %d plans changed a grant; too few to test the limit", changedPlans)
	}
}

// Example grants the slots of one target, and moves one after the demand has changed and the decrease is acknowledged.
func Example() {
	now := time.Unix(0, 0)
	t := share.Allocation{Region: "cluj", Targets: []share.Target{{Name: "desk-1", Place: ident.Place{Region: "cluj"}, Slots: 4}}}
	es := []share.Entry{{VM: "cluj-1", Demand: 1, DemandAt: now}, {VM: "cluj-2", Demand: 1, DemandAt: now}}
	t = share.Rebalance(t, 1, es, now)
	h := share.NewHolder("cluj-1")
	h.Apply(now, t.Grants, 1)
	h.TryTake(now, "desk-1")
	h.TryTake(now, "desk-1")

	es[0].Demand, es[1].Demand, es[0].AckedVersion = 1, 5, h.Acked()
	t = share.Rebalance(t, 2, es, now)
	h.Apply(now, t.Grants, 2)
	fmt.Println("acknowledged with two in use:", h.Acked(), t.Grants[1].Slots)

	h.Release("desk-1")
	es[0].AckedVersion = h.Acked()
	t = share.Rebalance(t, 3, es, now)
	fmt.Println("acknowledged with one in use:", h.Acked(), t.Grants[1].Slots)
	// Output:
	// acknowledged with two in use: 1 2
	// acknowledged with one in use: 2 3
}
