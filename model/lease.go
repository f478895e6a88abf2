package model

import (
	"fmt"
	"slices"
)

// The specification of lease and plan publication. Several steering processes compete for a lease row; the holder
// publishes plans under a condition on the lease row and on the plan row; entries move their weights towards the newest
// plan that they have seen. Time is in ticks.

// LeaseRow is the lease row of the store.
type LeaseRow struct {
	// Version is zero if there is no row.
	Version int
	// Holder is the number of the process, from 0.
	Holder int
	Term   int
	// Expiry is the first tick at which another process may take the lease.
	Expiry int
}

// PlanRow is the plan row of the store. Weight is the share of one region.
type PlanRow struct {
	Version int
	Term    int
	Weight  int
}

// Leaser decides on the lease. It stands for package lease.
type Leaser interface {
	// Wants returns the row that process me should write over row at tick now, if it should write one.
	Wants(row LeaseRow, me, now int) (LeaseRow, bool)
	// Holds reports whether me may act as the holder, given the newest row it has seen.
	Holds(row LeaseRow, me, now int) bool
	// Fence returns the version that the lease row must have for a plan write by a process that has seen row, and
	// whether there is such a condition.
	Fence(row LeaseRow) (version int, ok bool)
}

// Shifter decides on weights. It stands for package shift.
type Shifter interface {
	// Next returns the weight of the plan after cur on the way to goal.
	Next(cur, goal int) int
	// Follow returns the weight that an entry uses in the next tick, given the one it uses and that of its plan.
	Follow(own, plan int) int
	// Newer reports whether an entry with plan version held applies version seen.
	Newer(held, seen int) bool
}

// LeaseBounds limits the specification.
type LeaseBounds struct {
	Steerers, Entries, Ticks, Faults int
	// Term is the life of a lease in ticks, Cap the greatest change of a weight in one tick, and Goals the weight that
	// each steerer wants to reach.
	Term, Cap int
	Goals     []int
}

// leaseState is a state of the specification.
type leaseState struct {
	now, faults int
	lease       LeaseRow
	plan        PlanRow
	// published holds each plan by version; version 1 is the first.
	published []PlanRow
	steerers  []steerer
	entries   []follower
	// late lists plan writes that may still reach the store.
	late []planWrite
	// fenced describes a plan that was published by a process that no longer holds the lease.
	fenced string
}

// steerer is one process as it sees the store. A pause needs no step of its own.
type steerer struct {
	lease LeaseRow
	plan  PlanRow
}

// planWrite is a write of a plan on the condition of its version and, if fenced, that of the lease.
type planWrite struct {
	by          int
	row         PlanRow
	lease, plan int
	fenced      bool
}

// follower is one entry.
type follower struct {
	version int
	weight  int
	// before is the weight at the start of the present tick.
	before int
	// moved says that the entry has moved in the present tick.
	moved bool
	// regressed says that it applied an older plan.
	regressed bool
}

// NewLeaseSpec returns the specification of lease and plan publication over the given decisions.
func NewLeaseSpec(b LeaseBounds, l Leaser, sh Shifter) Spec {
	first := PlanRow{Version: 1}
	start := &leaseState{plan: first, published: []PlanRow{first}}
	for range b.Steerers {
		start.steerers = append(start.steerers, steerer{plan: first})
	}
	for range b.Entries {
		start.entries = append(start.entries, follower{version: 1})
	}
	return Spec{
		Name:  "lease and plan publication",
		Start: start,
		Steps: func(s State) []Step {
			return (&leaseSteps{bounds: b, leaser: l, shifter: sh, from: s.(*leaseState)}).all()
		},
		Invariants: leaseInvariants(b),
		Goals:      leaseGoals(b),
	}
}

func leaseInvariants(b LeaseBounds) []Invariant {
	on := func(name string, broken func(s *leaseState) string) Invariant {
		return Invariant{name, func(s State) string { return broken(s.(*leaseState)) }}
	}
	return []Invariant{
		on("only the holder of the lease publishes", func(s *leaseState) string { return s.fenced }),
		on("terms of plans never decrease", func(s *leaseState) string {
			if !slices.IsSortedFunc(s.published, func(p, q PlanRow) int { return p.Term - q.Term }) {
				return fmt.Sprintf("published %v", s.published)
			}
			return ""
		}),
		on("two plans in sequence differ by at most the cap", func(s *leaseState) string {
			for i := 1; i < len(s.published); i++ {
				if distance(s.published[i].Weight, s.published[i-1].Weight) > b.Cap {
					return fmt.Sprintf("published %v", s.published)
				}
			}
			return ""
		}),
		on("an entry never applies an older plan", func(s *leaseState) string {
			if i := slices.IndexFunc(s.entries, func(e follower) bool { return e.regressed }); i >= 0 {
				return fmt.Sprintf("entry %d went back to version %d", i, s.entries[i].version)
			}
			return ""
		}),
		// The sum over all entries then stays under the cap too, since each has a part of the traffic.
		on("an entry moves at most the cap in a tick", func(s *leaseState) string {
			if i := slices.IndexFunc(s.entries, func(e follower) bool { return distance(e.weight, e.before) > b.Cap }); i >= 0 {
				return fmt.Sprintf("entry %d moved from %d to %d", i, s.entries[i].before, s.entries[i].weight)
			}
			return ""
		}),
	}
}

func leaseGoals(b LeaseBounds) []Goal {
	on := func(name string, reached func(s *leaseState) bool) Goal {
		return Goal{name, func(s State) bool { return reached(s.(*leaseState)) }}
	}
	goals := []Goal{
		on("the lease changes hands", func(s *leaseState) bool { return s.lease.Term >= 2 }),
		on("both holders publish", func(s *leaseState) bool {
			return s.plan.Term >= 2 && s.published[1].Term == 1
		}),
		on("an entry skips a plan", func(s *leaseState) bool {
			return slices.ContainsFunc(s.entries, func(e follower) bool { return e.version >= 3 && e.weight == 0 })
		}),
	}
	if b.Entries > 1 {
		goals = append(goals, on("entries use different plans", func(s *leaseState) bool {
			return distance(s.entries[0].weight, s.entries[1].weight) > b.Cap
		}))
	}
	return goals
}

func distance(a, b int) int { return max(a-b, b-a) }

// AppendKey implements State.
func (s *leaseState) AppendKey(b []byte) []byte {
	num := func(values ...int) {
		for _, v := range values {
			b = append(b, byte(v))
		}
	}
	lease := func(r LeaseRow) { num(r.Version, r.Holder, r.Term, r.Expiry) }
	plan := func(r PlanRow) { num(r.Version, r.Term, r.Weight) }
	num(s.now, s.faults, len(s.published), len(s.late), len(s.fenced))
	lease(s.lease)
	for _, p := range s.published {
		plan(p)
	}
	for _, t := range s.steerers {
		lease(t.lease)
		plan(t.plan)
	}
	// The order of the entries makes no difference.
	entries := make([]string, len(s.entries))
	for i, e := range s.entries {
		entries[i] = string([]byte{byte(e.version), byte(e.weight), byte(e.before), flag(e.moved), flag(e.regressed)})
	}
	slices.Sort(entries)
	for _, e := range entries {
		b = append(b, e...)
	}
	for _, w := range s.late {
		num(w.by, w.lease, w.plan)
		b = append(b, flag(w.fenced))
		plan(w.row)
	}
	return b
}

func (s *leaseState) copy() *leaseState {
	c := *s
	c.published, c.late = slices.Clone(s.published), slices.Clone(s.late)
	c.steerers, c.entries = slices.Clone(s.steerers), slices.Clone(s.entries)
	return &c
}

// publish carries out a plan write in the store.
func (s *leaseState) publish(w planWrite) {
	if w.fenced && w.lease != s.lease.Version || w.plan != s.plan.Version {
		return
	}
	if s.lease.Holder != w.by || s.lease.Term != w.row.Term {
		s.fenced = fmt.Sprintf("process %d published %v under the lease %v", w.by, w.row, s.lease)
	}
	s.plan = w.row
	s.plan.Version++
	s.published = append(s.published, s.plan)
}

// leaseSteps collects the steps from one state.
type leaseSteps struct {
	bounds  LeaseBounds
	leaser  Leaser
	shifter Shifter
	from    *leaseState
	steps   []Step
}

func (b *leaseSteps) add(name string, change func(s *leaseState)) {
	s := b.from.copy()
	change(s)
	b.steps = append(b.steps, Step{name, s})
}

func (b *leaseSteps) all() []Step {
	s := b.from
	if s.now < b.bounds.Ticks {
		b.add("a tick passes", func(s *leaseState) {
			s.now++
			for i := range s.entries {
				s.entries[i].before, s.entries[i].moved = s.entries[i].weight, false
			}
		})
	}
	for i := range s.late {
		b.add("a late plan write reaches the store", func(s *leaseState) {
			w := s.late[i]
			s.late = slices.Delete(s.late, i, i+1)
			s.publish(w)
		})
	}
	for i := range s.steerers {
		b.steerer(i)
	}
	for i := range s.entries {
		b.entry(i)
	}
	return b.steps
}

func (b *leaseSteps) steerer(i int) {
	s, t := b.from, b.from.steerers[i]
	if t.lease != s.lease || t.plan != s.plan {
		b.add(fmt.Sprintf("process %d reads the lease and the plan", i), func(s *leaseState) {
			s.steerers[i] = steerer{s.lease, s.plan}
		})
	}
	if row, ok := b.leaser.Wants(t.lease, i, s.now); ok {
		b.add(fmt.Sprintf("process %d writes the lease %v", i, row), func(s *leaseState) {
			if t.lease.Version != s.lease.Version {
				return
			}
			row.Version = s.lease.Version + 1
			s.lease = row
			s.steerers[i].lease = row
		})
	}
	if !b.leaser.Holds(t.lease, i, s.now) {
		return
	}
	next := PlanRow{Version: t.plan.Version, Term: t.lease.Term, Weight: b.shifter.Next(t.plan.Weight, b.bounds.Goals[i])}
	w := planWrite{by: i, row: next, plan: t.plan.Version}
	w.lease, w.fenced = b.leaser.Fence(t.lease)
	if next.Weight == t.plan.Weight {
		return
	}
	b.add(fmt.Sprintf("process %d publishes weight %d", i, next.Weight), func(s *leaseState) {
		s.publish(w)
		s.steerers[i].plan = s.plan
	})
	if s.faults < b.bounds.Faults {
		b.add(fmt.Sprintf("process %d sends weight %d, without an answer", i, next.Weight), func(s *leaseState) {
			s.faults++
			s.late = append(s.late, w)
		})
	}
}

// entry adds the steps of entry i. It may receive any plan that was ever published, since the relays are not ordered.
func (b *leaseSteps) entry(i int) {
	s, e := b.from, b.from.entries[i]
	for _, p := range s.published {
		if p.Version != e.version && b.shifter.Newer(e.version, p.Version) {
			b.add(fmt.Sprintf("entry %d applies plan %d", i, p.Version), func(s *leaseState) {
				s.entries[i].regressed = p.Version < e.version
				s.entries[i].version = p.Version
			})
		}
	}
	goal := s.published[e.version-1].Weight
	if next := b.shifter.Follow(e.weight, goal); !e.moved && next != e.weight {
		b.add(fmt.Sprintf("entry %d moves to weight %d", i, next), func(s *leaseState) {
			s.entries[i].weight, s.entries[i].moved = next, true
		})
	}
}
