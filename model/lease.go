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
}

// PlanRow is the plan row of the store. Weight is the share of one region.
type PlanRow struct {
	Version int
	Term    int
	Weight  int
}

// Leaser is what one process knows of the lease and decides about it. It stands for lease.State and its functions.
type Leaser interface {
	// Decide sees the row as read at tick now. It returns the row to write, if one is due, with the version of row.
	Decide(row LeaseRow, now int) (LeaseRow, bool)
	// Confirmed says that the write of row, sent at tick sent, gave it row.Version.
	Confirmed(row LeaseRow, sent int)
	// Unresolved says that the answer to the write of row, sent at tick sent, was lost.
	Unresolved(row LeaseRow, sent int)
	// Conflict says that a write found another version.
	Conflict()
	// Fence returns the version that the lease row must have for a plan write (zero: any) and the term to write, if the
	// process may act as the holder.
	Fence(now int) (version, term int, ok bool)
	Copy() Leaser
	// AppendState appends an encoding of the state at tick now.
	AppendState(b []byte, now int) []byte
}

// Shifter decides on the weights of plans. It stands for shift.Next.
type Shifter interface {
	// Next returns the weight of the plan after cur on the way to goal.
	Next(cur, goal, now int) int
}

// Follower decides on the weight that one entry uses. It stands for shift.Follower.
type Follower interface {
	// Set gives it the weight of a plan version and reports whether it applies that version.
	Set(version, weight int) bool
	// Weight returns the weight to use at tick now. It is called any number of times in a tick.
	Weight(now int) int
	Copy() Follower
	// AppendState appends an encoding of the state at tick now.
	AppendState(b []byte, now int) []byte
}

// LeaseBounds limits the specification.
type LeaseBounds struct {
	Steerers, Entries, Ticks, Faults int
	// Cap is the greatest change of a weight in one tick, and Goals the weight that each steerer wants to reach.
	Cap   int
	Goals []int
}

// leaseState is a state of the specification.
type leaseState struct {
	now, faults int
	lease       LeaseRow
	plan        PlanRow
	// published holds each plan by version; version 1 is the first.
	published []PlanRow
	steerers  []steerer
	entries   []entry
	// late lists plan writes and lateLeases lease writes that may still reach the store.
	late       []planWrite
	lateLeases []LeaseRow
	// fenced describes a plan that was published by a process that no longer holds the lease.
	fenced string
	// sameTerm describes a lease that was taken by another process without a higher term.
	sameTerm string
}

// steerer is one process as it sees the store. A pause needs no step of its own.
type steerer struct {
	// lease may be shared with other states; leaser returns a copy that may be changed.
	lease Leaser
	plan  PlanRow
	// want is the lease row that the process is about to write, if wants is set, and sent the tick of that decision.
	// Its Version is the condition.
	want  LeaseRow
	wants bool
	sent  int
}

// planWrite is a write of a plan on the condition of both versions.
type planWrite struct {
	by  int
	row PlanRow
	// lease is zero if any version will do.
	lease, plan int
}

// entry is one entry.
type entry struct {
	// follower may be shared with other states.
	follower Follower
	version  int
	weight   int
	// before is the weight at the start of the present tick.
	before int
	// regressed says that it applied an older plan.
	regressed bool
}

// NewLeaseSpec returns the specification of lease and plan publication over the given decisions. Leaser returns the state
// of process me at start-up, and f is an entry's state at start-up.
func NewLeaseSpec(b LeaseBounds, leaser func(me int) Leaser, sh Shifter, f Follower) Spec {
	first := PlanRow{Version: 1}
	start := &leaseState{plan: first, published: []PlanRow{first}}
	for me := range b.Steerers {
		start.steerers = append(start.steerers, steerer{lease: leaser(me), plan: first})
	}
	f = f.Copy()
	f.Set(first.Version, first.Weight)
	for range b.Entries {
		start.entries = append(start.entries, entry{follower: f, version: 1})
	}
	return Spec{
		Name:  "lease and plan publication",
		Start: start,
		Steps: func(s State) []Step {
			return (&leaseSteps{bounds: b, shifter: sh, from: s.(*leaseState)}).all()
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
		on("a new holder has a higher term", func(s *leaseState) string { return s.sameTerm }),
		on("two plans in sequence differ by at most the cap", func(s *leaseState) string {
			for i := 1; i < len(s.published); i++ {
				if distance(s.published[i].Weight, s.published[i-1].Weight) > b.Cap {
					return fmt.Sprintf("published %v", s.published)
				}
			}
			return ""
		}),
		on("an entry never applies an older plan", func(s *leaseState) string {
			if i := slices.IndexFunc(s.entries, func(e entry) bool { return e.regressed }); i >= 0 {
				return fmt.Sprintf("entry %d went back to version %d", i, s.entries[i].version)
			}
			return ""
		}),
		// The sum over all entries then stays under the cap too, since each has a part of the traffic.
		on("an entry moves at most the cap in a tick", func(s *leaseState) string {
			if i := slices.IndexFunc(s.entries, func(e entry) bool { return distance(e.weight, e.before) > b.Cap }); i >= 0 {
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
			return slices.ContainsFunc(s.entries, func(e entry) bool { return e.version >= 3 && e.weight == 0 })
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
	lease := func(r LeaseRow) { num(r.Version, r.Holder, r.Term) }
	plan := func(r PlanRow) { num(r.Version, r.Term, r.Weight) }
	num(s.now, s.faults, len(s.published), len(s.late), len(s.lateLeases), len(s.fenced)+len(s.sameTerm))
	lease(s.lease)
	for _, p := range s.published {
		plan(p)
	}
	for _, t := range s.steerers {
		b = append(t.lease.AppendState(b, s.now), flag(t.wants))
		lease(t.want)
		num(t.sent)
		plan(t.plan)
	}
	for _, r := range s.lateLeases {
		lease(r)
	}
	// The order of the entries makes no difference.
	entries := make([]string, len(s.entries))
	for i, e := range s.entries {
		key := []byte{byte(e.version), byte(e.weight), byte(e.before), flag(e.regressed)}
		entries[i] = string(e.follower.AppendState(key, s.now))
	}
	slices.Sort(entries)
	for _, e := range entries {
		b = append(b, e...)
	}
	for _, w := range s.late {
		num(w.by, w.lease, w.plan)
		plan(w.row)
	}
	return b
}

func (s *leaseState) copy() *leaseState {
	c := *s
	c.published, c.late, c.lateLeases = slices.Clone(s.published), slices.Clone(s.late), slices.Clone(s.lateLeases)
	c.steerers, c.entries = slices.Clone(s.steerers), slices.Clone(s.entries)
	return &c
}

// leaser returns the lease state of process i for a call that changes it.
func (s *leaseState) leaser(i int) Leaser {
	s.steerers[i].lease = s.steerers[i].lease.Copy()
	return s.steerers[i].lease
}

// take carries out a lease write in the store. It reports whether the condition held.
func (s *leaseState) take(row LeaseRow) bool {
	if row.Version != s.lease.Version {
		return false
	}
	if s.lease.Version > 0 && row.Holder != s.lease.Holder && row.Term <= s.lease.Term {
		s.sameTerm = fmt.Sprintf("%v was followed by %v", s.lease, row)
	}
	s.lease = row
	s.lease.Version++
	return true
}

// publish carries out a plan write in the store.
func (s *leaseState) publish(w planWrite) {
	if w.lease != 0 && w.lease != s.lease.Version || w.plan != s.plan.Version {
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
	shifter Shifter
	from    *leaseState
	steps   []Step
}

// fault adds a step that counts as a fault, if there may be one more.
func (b *leaseSteps) fault(name string, change func(s *leaseState)) {
	if b.from.faults < b.bounds.Faults {
		b.add(name, func(s *leaseState) {
			s.faults++
			change(s)
		})
	}
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
				s.entries[i].before = s.entries[i].weight
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
	for i := range s.lateLeases {
		b.add("a late lease write reaches the store", func(s *leaseState) {
			row := s.lateLeases[i]
			s.lateLeases = slices.Delete(s.lateLeases, i, i+1)
			s.take(row)
		})
	}
	for i := range s.steerers {
		b.steerer(i)
		b.publisher(i)
	}
	for i := range s.entries {
		b.entry(i)
	}
	return b.steps
}

// steerer adds the steps by which process i keeps the lease.
func (b *leaseSteps) steerer(i int) {
	t := b.from.steerers[i]
	if !t.wants {
		b.add(fmt.Sprintf("process %d reads the lease and the plan", i), func(s *leaseState) {
			row, ok := s.leaser(i).Decide(s.lease, s.now)
			s.steerers[i].want, s.steerers[i].wants, s.steerers[i].sent, s.steerers[i].plan = row, ok, 0, s.plan
			if ok {
				s.steerers[i].sent = s.now
			}
		})
		return
	}
	write := func(s *leaseState) bool {
		s.steerers[i].want, s.steerers[i].wants, s.steerers[i].sent = LeaseRow{}, false, 0
		return s.take(t.want)
	}
	b.add(fmt.Sprintf("process %d writes the lease with term %d", i, t.want.Term), func(s *leaseState) {
		if !write(s) {
			s.leaser(i).Conflict()
			return
		}
		s.leaser(i).Confirmed(s.lease, t.sent)
	})
	b.fault(fmt.Sprintf("process %d writes the lease with term %d, and the answer is lost", i, t.want.Term),
		func(s *leaseState) {
			write(s)
			s.leaser(i).Unresolved(t.want, t.sent)
		})
	b.fault(fmt.Sprintf("process %d sends the lease with term %d, which may take effect later", i, t.want.Term),
		func(s *leaseState) {
			s.steerers[i].want, s.steerers[i].wants, s.steerers[i].sent = LeaseRow{}, false, 0
			s.lateLeases = append(s.lateLeases, t.want)
			s.leaser(i).Unresolved(t.want, t.sent)
		})
}

// publisher adds the steps by which process i publishes plans as the holder of the lease.
func (b *leaseSteps) publisher(i int) {
	t := b.from.steerers[i]
	version, term, ok := t.lease.Fence(b.from.now)
	next := PlanRow{Version: t.plan.Version, Term: term, Weight: b.shifter.Next(t.plan.Weight, b.bounds.Goals[i], b.from.now)}
	if !ok || next.Weight == t.plan.Weight {
		return
	}
	w := planWrite{by: i, row: next, lease: version, plan: t.plan.Version}
	b.add(fmt.Sprintf("process %d publishes weight %d", i, next.Weight), func(s *leaseState) {
		s.publish(w)
		s.steerers[i].plan = s.plan
	})
	b.fault(fmt.Sprintf("process %d sends weight %d, which may take effect later", i, next.Weight),
		func(s *leaseState) { s.late = append(s.late, w) })
}

// entry adds the steps of entry i. It may receive any plan that was ever published, since the relays are not ordered.
func (b *leaseSteps) entry(i int) {
	e := b.from.entries[i]
	for _, p := range b.from.published {
		f := e.follower.Copy()
		if p.Version != e.version && f.Set(p.Version, p.Weight) {
			b.add(fmt.Sprintf("entry %d applies plan %d", i, p.Version), func(s *leaseState) {
				s.entries[i].follower, s.entries[i].version = f, p.Version
				s.entries[i].regressed = p.Version < e.version
			})
		}
	}
	f := e.follower.Copy()
	if w := f.Weight(b.from.now); w != e.weight {
		b.add(fmt.Sprintf("entry %d moves to weight %d", i, w), func(s *leaseState) {
			s.entries[i].follower, s.entries[i].weight = f, w
		})
	}
}
