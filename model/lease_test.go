package model

import "testing"

// localLease stands for package lease until that package is merged.
type localLease struct {
	term int
	// The faults, each a one-line break. A process that holds on past the expiry must do no harm.
	holdsOn, oldTerm, noFence bool
}

func (l localLease) Wants(row LeaseRow, me, now int) (LeaseRow, bool) {
	free := row.Version == 0 || now >= row.Expiry
	if row.Version != 0 && row.Holder == me && now < row.Expiry || !free {
		return LeaseRow{}, false
	}
	term := row.Term + 1
	if l.oldTerm {
		term = 2 - row.Term
	}
	return LeaseRow{Holder: me, Term: term, Expiry: now + l.term}, true
}

func (l localLease) Holds(row LeaseRow, me, now int) bool {
	return row.Version != 0 && row.Holder == me && (now < row.Expiry || l.holdsOn)
}

func (l localLease) Fence(row LeaseRow) (int, bool) { return row.Version, !l.noFence }

// localShift stands for package shift until that package is merged.
type localShift struct {
	cap int
	// The faults, each a one-line break.
	jump, followPlan, anyVersion bool
}

func (s localShift) Next(cur, goal int) int {
	if s.jump {
		return goal
	}
	return cur + max(-s.cap, min(s.cap, goal-cur))
}

func (s localShift) Follow(own, plan int) int {
	if s.followPlan {
		return plan
	}
	return own + max(-s.cap, min(s.cap, plan-own))
}

func (s localShift) Newer(held, seen int) bool { return seen > held || s.anyVersion }

func leaseBounds() LeaseBounds {
	b := LeaseBounds{Steerers: 2, Entries: 2, Ticks: 3, Faults: 1, Term: 2, Cap: 1, Goals: []int{2, 3}}
	if raceDetector {
		b.Entries = 1
	}
	return b
}

// Guards against a plan of a process that lost the lease, an older plan that is applied, and a shift beyond the cap for
// any mixture of versions. The decisions are local ones until packages lease and shift are merged.
func TestLease(t *testing.T) {
	t.Parallel()
	tests := map[string]localLease{
		"expiry is respected":         {term: 2},
		"two believe they are holder": {term: 2, holdsOn: true},
	}
	for name, l := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := Check(NewLeaseSpec(leaseBounds(), l, localShift{cap: 1}))
			t.Log(r)
			if r.Violation != nil || !r.Complete || len(r.Missed) > 0 {
				t.Error("want a complete search without violation that reaches every goal")
			}
		})
	}
}

// Guards against a specification that can't fail: each fault must yield a counter-example to the invariant it breaks.
func TestLeaseFindsFaults(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name      string
		lease     localLease
		shift     localShift
		invariant int
	}{
		{"plan written without a condition on the lease", localLease{term: 2, noFence: true}, localShift{cap: 1}, 0},
		{"term that does not grow", localLease{term: 2, oldTerm: true}, localShift{cap: 1}, 1},
		{"plan that jumps to the goal", localLease{term: 2}, localShift{cap: 1, jump: true}, 2},
		{"entry that applies any version", localLease{term: 2}, localShift{cap: 1, anyVersion: true}, 3},
		{"entry that jumps to the plan", localLease{term: 2}, localShift{cap: 1, followPlan: true}, 4},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			spec := NewLeaseSpec(leaseBounds(), tt.lease, tt.shift)
			r := Check(spec)
			if r.Violation == nil || r.Violation.Invariant != spec.Invariants[tt.invariant].Name {
				t.Fatalf("want a violation of %q, got %s", spec.Invariants[tt.invariant].Name, r)
			}
			t.Log(r)
		})
	}
}
