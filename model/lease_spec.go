package model

import (
	"fmt"
	"slices"
)

// This file specifies the lease and the publication of plans. Several steering processes compete for a lease row. The
// holder publishes plans by writes that are conditional on the versions of the lease row and of the plan row. Entry
// processes move their weights towards the newest plan that they have received. Time is in ticks.

// LeaseRow is the lease row of the store.
type LeaseRow struct {
	// Version is zero if there is no row.
	Version int
	// Holder is the number of the process, from 0.
	Holder int
	Term   int
}

// PlanRow is the plan row of the store. Weight is the share of one region.
type PlanRow struct {
	Version int
	Term    int
	Weight  int
}

// LeaseClient is the lease state of one process and its decisions. It stands for lease.State and its functions.
type LeaseClient interface {
	// Decide passes in the row as read at tick now. If a write is due, it returns the row to write, whose Version is
	// the condition of the write.
	Decide(row LeaseRow, now int) (LeaseRow, bool)
	// WriteConfirmed records that the write of row, sent at tick sent, took effect and gave the row row.Version.
	WriteConfirmed(row LeaseRow, sent int)
	// WriteUnresolved records that the response to the write of row, sent at tick sent, was lost.
	WriteUnresolved(row LeaseRow, sent int)
	// WriteConflicted records that a write failed because the row has another version.
	WriteConflicted()
	// Fence reports whether the process may act as the holder. If so, it returns the term to write into a plan and the
	// version that the lease row must have for that write; version zero means no condition.
	Fence(now int) (version, term int, ok bool)
	Copy() LeaseClient
	// AppendState appends an encoding of the state at tick now.
	AppendState(b []byte, now int) []byte
}

// Shifter computes the weights of successive plans. It stands for shift.NextStep.
type Shifter interface {
	// Next returns the weight of the plan that follows weight cur on the way to goal.
	Next(cur, goal, now int) int
}

// Follower computes the weight that one entry process uses. It stands for shift.WeightLimiter.
type Follower interface {
	// Set passes in the weight of a plan version and reports whether the Follower adopts that version.
	Set(version, weight int) bool
	// Weight returns the weight to use at tick now. It may be called any number of times in a tick.
	Weight(now int) int
	Copy() Follower
	// AppendState appends an encoding of the state at tick now.
	AppendState(b []byte, now int) []byte
}

// LeaseBounds bounds the states of the specification.
type LeaseBounds struct {
	Steerers, Entries, Ticks, Faults int
	// Cap is the greatest change of a weight in one tick. TargetWeights holds the weight that each steering process
	// aims at.
	Cap           int
	TargetWeights []int
}

// leaseState is a state of the specification.
type leaseState struct {
	tick, faults int
	lease        LeaseRow
	plan         PlanRow
	// published lists all plans in the order of their versions; the first has version 1.
	published []PlanRow
	steerers  []steerer
	entries   []entry
	// latePlanWrites and lateLeaseWrites list the writes that may still take effect in the store.
	latePlanWrites  []planWrite
	lateLeaseWrites []LeaseRow
	// staleHolderPlan describes a plan that was published by a process that no longer held the lease; empty if there is
	// none.
	staleHolderPlan string
	// termNotRaised describes a takeover of the lease by another process without a higher term; empty if there is none.
	termNotRaised string
}

// steerer is the state of one steering process. A pause of the process needs no transition of its own, since other
// transitions may come between any two of its transitions.
type steerer struct {
	// lease may be shared with other states; leaseForUpdate replaces it by a copy that may be changed.
	lease LeaseClient
	plan  PlanRow
	// pendingWrite is the lease row that the process is about to write, if hasPendingWrite is set; its Version is the
	// condition. decidedAt is the tick of that decision.
	pendingWrite    LeaseRow
	hasPendingWrite bool
	decidedAt       int
}

// planWrite is a plan write that is conditional on the versions of the lease row and of the plan row.
type planWrite struct {
	process int
	row     PlanRow
	// leaseVersion is zero if the write does not depend on the lease row.
	leaseVersion, planVersion int
}

// entry is the state of one entry process.
type entry struct {
	// follower may be shared with other states.
	follower Follower
	version  int
	weight   int
	// tickStartWeight is the weight at the start of the current tick.
	tickStartWeight int
	// appliedOlderPlan is set if the last plan applied is older than the one before it.
	appliedOlderPlan bool
}

// NewLeaseSpec returns the specification of the lease and plan publication with the given decision functions. The
// function newClient returns the lease state of a process at start-up, and f is the state of an entry process at
// start-up.
func NewLeaseSpec(b LeaseBounds, newClient func(process int) LeaseClient, sh Shifter, f Follower) Spec {
	first := PlanRow{Version: 1}
	start := &leaseState{plan: first, published: []PlanRow{first}}
	for process := range b.Steerers {
		start.steerers = append(start.steerers, steerer{lease: newClient(process), plan: first})
	}
	f = f.Copy()
	f.Set(first.Version, first.Weight)
	for range b.Entries {
		start.entries = append(start.entries, entry{follower: f, version: 1})
	}
	return Spec{
		Name:    "lease and plan publication",
		Initial: start,
		Transitions: func(s State) []Transition {
			return (&leaseTransitions{bounds: b, shifter: sh, state: s.(*leaseState)}).all()
		},
		Invariants: leaseInvariants(b),
		Goals:      leaseGoals(b),
	}
}

func leaseInvariants(b LeaseBounds) []Invariant {
	invariant := func(name string, violation func(s *leaseState) string) Invariant {
		return Invariant{name, func(s State) string { return violation(s.(*leaseState)) }}
	}
	return []Invariant{
		invariant("only the holder of the lease publishes", func(s *leaseState) string { return s.staleHolderPlan }),
		invariant("a new holder has a higher term", func(s *leaseState) string { return s.termNotRaised }),
		invariant("two plans in sequence differ by at most the cap", func(s *leaseState) string {
			for i := 1; i < len(s.published); i++ {
				if absDiff(s.published[i].Weight, s.published[i-1].Weight) > b.Cap {
					return fmt.Sprintf("published %v", s.published)
				}
			}
			return ""
		}),
		invariant("an entry never applies an older plan", func(s *leaseState) string {
			if i := slices.IndexFunc(s.entries, func(e entry) bool { return e.appliedOlderPlan }); i >= 0 {
				return fmt.Sprintf("entry %d went back to version %d", i, s.entries[i].version)
			}
			return ""
		}),
		// Each entry process carries a part of the traffic, so the change summed over all of them stays within the cap
		// as well.
		invariant("an entry moves at most the cap in a tick", func(s *leaseState) string {
			if i := slices.IndexFunc(s.entries, func(e entry) bool { return absDiff(e.weight, e.tickStartWeight) > b.Cap }); i >= 0 {
				return fmt.Sprintf("entry %d moved from %d to %d", i, s.entries[i].tickStartWeight, s.entries[i].weight)
			}
			return ""
		}),
	}
}

func leaseGoals(b LeaseBounds) []Goal {
	goal := func(name string, reached func(s *leaseState) bool) Goal {
		return Goal{name, func(s State) bool { return reached(s.(*leaseState)) }}
	}
	goals := []Goal{
		goal("the lease is acquired with a second term", func(s *leaseState) bool { return s.lease.Term >= 2 }),
		goal("plans of two terms are published", func(s *leaseState) bool {
			return s.plan.Term >= 2 && s.published[1].Term == 1
		}),
		goal("an entry skips a plan", func(s *leaseState) bool {
			return slices.ContainsFunc(s.entries, func(e entry) bool { return e.version >= 3 && e.weight == 0 })
		}),
	}
	if b.Entries > 1 {
		goals = append(goals, goal("entries use different plans", func(s *leaseState) bool {
			return absDiff(s.entries[0].weight, s.entries[1].weight) > b.Cap
		}))
	}
	return goals
}

func absDiff(a, b int) int { return max(a-b, b-a) }

// AppendKey implements State.
func (s *leaseState) AppendKey(b []byte) []byte {
	num := func(values ...int) {
		for _, v := range values {
			b = append(b, byte(v))
		}
	}
	lease := func(r LeaseRow) { num(r.Version, r.Holder, r.Term) }
	plan := func(r PlanRow) { num(r.Version, r.Term, r.Weight) }
	num(s.tick, s.faults, len(s.published), len(s.latePlanWrites), len(s.lateLeaseWrites),
		len(s.staleHolderPlan)+len(s.termNotRaised))
	lease(s.lease)
	for _, p := range s.published {
		plan(p)
	}
	for _, t := range s.steerers {
		b = append(t.lease.AppendState(b, s.tick), boolByte(t.hasPendingWrite))
		lease(t.pendingWrite)
		num(t.decidedAt)
		plan(t.plan)
	}
	for _, r := range s.lateLeaseWrites {
		lease(r)
	}
	// States that differ only in the order of the entries get the same key.
	entries := make([]string, len(s.entries))
	for i, e := range s.entries {
		key := []byte{byte(e.version), byte(e.weight), byte(e.tickStartWeight), boolByte(e.appliedOlderPlan)}
		entries[i] = string(e.follower.AppendState(key, s.tick))
	}
	slices.Sort(entries)
	for _, e := range entries {
		b = append(b, e...)
	}
	for _, w := range s.latePlanWrites {
		num(w.process, w.leaseVersion, w.planVersion)
		plan(w.row)
	}
	return b
}

func (s *leaseState) copy() *leaseState {
	c := *s
	c.published, c.latePlanWrites, c.lateLeaseWrites =
		slices.Clone(s.published), slices.Clone(s.latePlanWrites), slices.Clone(s.lateLeaseWrites)
	c.steerers, c.entries = slices.Clone(s.steerers), slices.Clone(s.entries)
	return &c
}

// leaseForUpdate returns the lease state of process i for a call that changes it.
func (s *leaseState) leaseForUpdate(i int) LeaseClient {
	s.steerers[i].lease = s.steerers[i].lease.Copy()
	return s.steerers[i].lease
}

// writeLease performs a lease write in the store. It reports whether the condition held.
func (s *leaseState) writeLease(row LeaseRow) bool {
	if row.Version != s.lease.Version {
		return false
	}
	if s.lease.Version > 0 && row.Holder != s.lease.Holder && row.Term <= s.lease.Term {
		s.termNotRaised = fmt.Sprintf("%v was followed by %v", s.lease, row)
	}
	s.lease = row
	s.lease.Version++
	return true
}

// writePlan performs a plan write in the store.
func (s *leaseState) writePlan(w planWrite) {
	if w.leaseVersion != 0 && w.leaseVersion != s.lease.Version || w.planVersion != s.plan.Version {
		return
	}
	if s.lease.Holder != w.process || s.lease.Term != w.row.Term {
		s.staleHolderPlan = fmt.Sprintf("process %d published %v under the lease %v", w.process, w.row, s.lease)
	}
	s.plan = w.row
	s.plan.Version++
	s.published = append(s.published, s.plan)
}

// leaseTransitions collects the transitions from one state.
type leaseTransitions struct {
	bounds      LeaseBounds
	shifter     Shifter
	state       *leaseState
	transitions []Transition
}

// fault adds a transition that counts as a fault, unless the limit on faults is reached.
func (b *leaseTransitions) fault(name string, change func(s *leaseState)) {
	if b.state.faults < b.bounds.Faults {
		b.add(name, func(s *leaseState) {
			s.faults++
			change(s)
		})
	}
}

func (b *leaseTransitions) add(name string, change func(s *leaseState)) {
	s := b.state.copy()
	change(s)
	b.transitions = append(b.transitions, Transition{name, s})
}

func (b *leaseTransitions) all() []Transition {
	s := b.state
	if s.tick < b.bounds.Ticks {
		b.add("a tick passes", func(s *leaseState) {
			s.tick++
			for i := range s.entries {
				s.entries[i].tickStartWeight = s.entries[i].weight
			}
		})
	}
	for i := range s.latePlanWrites {
		b.add("a delayed plan write takes effect", func(s *leaseState) {
			w := s.latePlanWrites[i]
			s.latePlanWrites = slices.Delete(s.latePlanWrites, i, i+1)
			s.writePlan(w)
		})
	}
	for i := range s.lateLeaseWrites {
		b.add("a delayed lease write takes effect", func(s *leaseState) {
			row := s.lateLeaseWrites[i]
			s.lateLeaseWrites = slices.Delete(s.lateLeaseWrites, i, i+1)
			s.writeLease(row)
		})
	}
	for i := range s.steerers {
		b.addLeaseTransitions(i)
		b.addPlanTransitions(i)
	}
	for i := range s.entries {
		b.addEntryTransitions(i)
	}
	return b.transitions
}

// addLeaseTransitions adds the transitions by which process i acquires and renews the lease.
func (b *leaseTransitions) addLeaseTransitions(i int) {
	t := b.state.steerers[i]
	if !t.hasPendingWrite {
		b.add(fmt.Sprintf("process %d reads the lease and the plan", i), func(s *leaseState) {
			row, ok := s.leaseForUpdate(i).Decide(s.lease, s.tick)
			s.steerers[i].pendingWrite, s.steerers[i].hasPendingWrite, s.steerers[i].decidedAt, s.steerers[i].plan =
				row, ok, 0, s.plan
			if ok {
				s.steerers[i].decidedAt = s.tick
			}
		})
		return
	}
	write := func(s *leaseState) bool {
		s.steerers[i].pendingWrite, s.steerers[i].hasPendingWrite, s.steerers[i].decidedAt = LeaseRow{}, false, 0
		return s.writeLease(t.pendingWrite)
	}
	b.add(fmt.Sprintf("process %d writes the lease with term %d", i, t.pendingWrite.Term), func(s *leaseState) {
		if !write(s) {
			s.leaseForUpdate(i).WriteConflicted()
			return
		}
		s.leaseForUpdate(i).WriteConfirmed(s.lease, t.decidedAt)
	})
	b.fault(fmt.Sprintf("process %d writes the lease with term %d, and the response is lost", i, t.pendingWrite.Term),
		func(s *leaseState) {
			write(s)
			s.leaseForUpdate(i).WriteUnresolved(t.pendingWrite, t.decidedAt)
		})
	b.fault(fmt.Sprintf("process %d sends a lease write with term %d, which may take effect later", i, t.pendingWrite.Term),
		func(s *leaseState) {
			s.steerers[i].pendingWrite, s.steerers[i].hasPendingWrite, s.steerers[i].decidedAt = LeaseRow{}, false, 0
			s.lateLeaseWrites = append(s.lateLeaseWrites, t.pendingWrite)
			s.leaseForUpdate(i).WriteUnresolved(t.pendingWrite, t.decidedAt)
		})
}

// addPlanTransitions adds the transitions by which process i publishes plans as the holder of the lease.
func (b *leaseTransitions) addPlanTransitions(i int) {
	t := b.state.steerers[i]
	version, term, ok := t.lease.Fence(b.state.tick)
	next := PlanRow{Version: t.plan.Version, Term: term,
		Weight: b.shifter.Next(t.plan.Weight, b.bounds.TargetWeights[i], b.state.tick)}
	if !ok || next.Weight == t.plan.Weight {
		return
	}
	w := planWrite{process: i, row: next, leaseVersion: version, planVersion: t.plan.Version}
	b.add(fmt.Sprintf("process %d writes a plan with weight %d", i, next.Weight), func(s *leaseState) {
		s.writePlan(w)
		s.steerers[i].plan = s.plan
	})
	b.fault(fmt.Sprintf("process %d sends a plan with weight %d, which may take effect later", i, next.Weight),
		func(s *leaseState) { s.latePlanWrites = append(s.latePlanWrites, w) })
}

// addEntryTransitions adds the transitions of entry i. It may receive any plan that was ever published, since plans are
// relayed without an order.
func (b *leaseTransitions) addEntryTransitions(i int) {
	e := b.state.entries[i]
	for _, p := range b.state.published {
		f := e.follower.Copy()
		if p.Version != e.version && f.Set(p.Version, p.Weight) {
			b.add(fmt.Sprintf("entry %d applies plan %d", i, p.Version), func(s *leaseState) {
				s.entries[i].follower, s.entries[i].version = f, p.Version
				s.entries[i].appliedOlderPlan = p.Version < e.version
			})
		}
	}
	f := e.follower.Copy()
	if w := f.Weight(b.state.tick); w != e.weight {
		b.add(fmt.Sprintf("entry %d moves to weight %d", i, w), func(s *leaseState) {
			s.entries[i].follower, s.entries[i].weight = f, w
		})
	}
}
