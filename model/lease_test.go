package model

import "testing"

// localLease stands for lease.State until package lease is merged here.
type localLease struct {
	me, length int
	// version and term are those of the row that this process holds, until the tick until; version is zero if none.
	version, term, until int
	// watched is the version of another process's row, first seen at since.
	watched, since int
	// pending is the term of a write with a lost answer, sent at pendingSince; zero if there is none.
	pending, pendingSince int
	// The faults, each a one-line break. A process that holds on past the expiry must do no harm.
	holdsOn, oldTerm, noFence bool
}

func (l *localLease) Decide(row LeaseRow, now int) (LeaseRow, bool) {
	if l.pending != 0 && row.Holder == l.me && row.Term == l.pending && row.Version != 0 {
		l.Confirmed(row, l.pendingSince)
	}
	if l.version != row.Version {
		l.version, l.until = 0, 0
		if l.watched != row.Version {
			l.watched, l.since = row.Version, now
		}
	}
	_, _, held := l.Fence(now)
	if held || l.version == 0 && row.Version != 0 && now < l.since+l.length {
		return LeaseRow{}, false
	}
	term := row.Term + 1
	if l.oldTerm {
		term = max(1, row.Term)
	}
	return LeaseRow{Version: row.Version, Holder: l.me, Term: term}, true
}

func (l *localLease) Confirmed(row LeaseRow, sent int) {
	l.version, l.term, l.until = row.Version, row.Term, sent+l.length
	l.watched, l.since, l.pending, l.pendingSince = 0, 0, 0, 0
}

func (l *localLease) Unresolved(row LeaseRow, sent int) { l.pending, l.pendingSince = row.Term, sent }

func (l *localLease) Conflict() { l.version, l.until = 0, 0 }

func (l *localLease) Fence(now int) (int, int, bool) {
	held := l.version != 0 && (now < l.until || l.holdsOn)
	if l.noFence {
		return 0, l.term, held
	}
	return l.version, l.term, held
}

func (l *localLease) Copy() Leaser {
	c := *l
	return &c
}

func (l *localLease) AppendState(b []byte, _ int) []byte {
	for _, v := range []int{l.version, l.term, l.until, l.watched, l.since, l.pending, l.pendingSince} {
		b = append(b, byte(v))
	}
	return b
}

// start returns a function that makes the state of one process at start-up.
func (l localLease) start(me int) Leaser {
	l.me, l.length = me, 2
	return &l
}

// localShift stands for shift.Next until package shift is merged here.
type localShift struct {
	// jump is a fault.
	jump bool
}

func (s localShift) Next(cur, goal, _ int) int {
	if s.jump {
		return goal
	}
	return cur + max(-1, min(1, goal-cur))
}

// localFollower stands for shift.Follower until package shift is merged here.
type localFollower struct {
	version, cur, goal int
	// moved is the tick after that of the last movement; zero if there was none.
	moved int
	// The faults, each a one-line break.
	anyVersion, jump, noGap bool
}

func (f *localFollower) Set(version, weight int) bool {
	if version <= f.version && !f.anyVersion {
		return false
	}
	f.version, f.goal = version, weight
	return true
}

func (f *localFollower) Weight(now int) int {
	if f.jump {
		f.cur = f.goal
	}
	if f.moved <= now || f.noGap {
		if d := max(-1, min(1, f.goal-f.cur)); d != 0 {
			f.cur, f.moved = f.cur+d, now+1
		}
	}
	return f.cur
}

func (f *localFollower) Copy() Follower {
	c := *f
	return &c
}

func (f *localFollower) AppendState(b []byte, now int) []byte {
	return append(b, byte(f.cur), byte(f.goal), byte(max(0, f.moved-now)))
}

func leaseBounds(entries, faults int) LeaseBounds {
	return LeaseBounds{Steerers: 2, Entries: entries, Ticks: 3, Faults: faults, Cap: 1, Goals: []int{2, 3}}
}

// Guards against a plan of a process that lost the lease, an older plan that is applied, and a shift beyond the cap for
// any mixture of versions. The decisions are local ones until packages lease and shift are merged.
func TestLease(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		lease           localLease
		entries, faults int
	}{
		"one entry, lost writes":      {localLease{}, 1, 1},
		"two entries":                 {localLease{}, 2, 0},
		"two believe they are holder": {localLease{holdsOn: true}, 2, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := Check(NewLeaseSpec(leaseBounds(tt.entries, tt.faults), tt.lease.start, localShift{}, &localFollower{}))
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
		follower  localFollower
		invariant int
	}{
		{"plan written without a condition on the lease", localLease{noFence: true}, localShift{}, localFollower{}, 0},
		{"term that does not grow", localLease{oldTerm: true}, localShift{}, localFollower{}, 1},
		{"plan that jumps to the goal", localLease{}, localShift{jump: true}, localFollower{}, 2},
		{"entry that applies any version", localLease{}, localShift{}, localFollower{anyVersion: true}, 3},
		{"entry that jumps to the plan", localLease{}, localShift{}, localFollower{jump: true}, 4},
		{"entry that moves twice in a tick", localLease{}, localShift{}, localFollower{noGap: true}, 4},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			spec := NewLeaseSpec(leaseBounds(2, 1), tt.lease.start, tt.shift, &tt.follower)
			r := Check(spec)
			if r.Violation == nil || r.Violation.Invariant != spec.Invariants[tt.invariant].Name {
				t.Fatalf("want a violation of %q, got %s", spec.Invariants[tt.invariant].Name, r)
			}
			t.Log(r)
		})
	}
}
