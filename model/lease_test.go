package model

import "testing"

// simpleLease is a minimal LeaseClient in place of lease.State, with injectable faults.
type simpleLease struct {
	process, length int
	// version and term are those of the row that this process holds, until the tick until; version is zero if it holds
	// none.
	version, term, until int
	// watchedVersion is the version of another process's row, first seen at tick watchedSince.
	watchedVersion, watchedSince int
	// pendingTerm is the term of a write whose response was lost, sent at tick pendingSince; zero if there is none.
	pendingTerm, pendingSince int
	// Injected faults: holdsPastExpiry acts as the holder past the expiry, reusesTerm takes over without a higher term,
	// and skipsFence writes plans without a condition on the lease row. With holdsPastExpiry alone every invariant must
	// hold, since the conditional writes reject the plans of an earlier holder.
	holdsPastExpiry, reusesTerm, skipsFence bool
}

func (l *simpleLease) Decide(row LeaseRow, now int) (LeaseRow, bool) {
	if l.pendingTerm != 0 && row.Holder == l.process && row.Term == l.pendingTerm && row.Version != 0 {
		l.WriteConfirmed(row, l.pendingSince)
	}
	if l.version != row.Version {
		l.version, l.until = 0, 0
		if l.watchedVersion != row.Version {
			l.watchedVersion, l.watchedSince = row.Version, now
		}
	}
	_, _, held := l.Fence(now)
	if held || l.version == 0 && row.Version != 0 && now < l.watchedSince+l.length {
		return LeaseRow{}, false
	}
	term := row.Term + 1
	if l.reusesTerm {
		term = max(1, row.Term)
	}
	return LeaseRow{Version: row.Version, Holder: l.process, Term: term}, true
}

func (l *simpleLease) WriteConfirmed(row LeaseRow, sent int) {
	l.version, l.term, l.until = row.Version, row.Term, sent+l.length
	l.watchedVersion, l.watchedSince, l.pendingTerm, l.pendingSince = 0, 0, 0, 0
}

func (l *simpleLease) WriteUnresolved(row LeaseRow, sent int) {
	l.pendingTerm, l.pendingSince = row.Term, sent
}

func (l *simpleLease) WriteConflicted() { l.version, l.until = 0, 0 }

func (l *simpleLease) Fence(now int) (int, int, bool) {
	held := l.version != 0 && (now < l.until || l.holdsPastExpiry)
	if l.skipsFence {
		return 0, l.term, held
	}
	return l.version, l.term, held
}

func (l *simpleLease) Copy() LeaseClient {
	c := *l
	return &c
}

func (l *simpleLease) AppendState(b []byte, _ int) []byte {
	for _, v := range []int{l.version, l.term, l.until, l.watchedVersion, l.watchedSince, l.pendingTerm, l.pendingSince} {
		b = append(b, byte(v))
	}
	return b
}

// newClient returns the state of one process at start-up.
func (l simpleLease) newClient(process int) LeaseClient {
	l.process, l.length = process, 2
	return &l
}

// simpleShifter is a minimal Shifter in place of shift.NextStep.
type simpleShifter struct {
	// jumps is an injected fault: the next plan has the target weight at once.
	jumps bool
}

func (s simpleShifter) Next(cur, goal, _ int) int {
	if s.jumps {
		return goal
	}
	return cur + max(-1, min(1, goal-cur))
}

// simpleFollower is a minimal Follower in place of shift.WeightLimiter.
type simpleFollower struct {
	version, cur, goal int
	// nextMove is the first tick in which the weight may move again.
	nextMove int
	// Injected faults: appliesAnyVersion also adopts older plans, jumps moves to the plan's weight at once, and
	// movesRepeatedly moves more than once in a tick.
	appliesAnyVersion, jumps, movesRepeatedly bool
}

func (f *simpleFollower) Set(version, weight int) bool {
	if version <= f.version && !f.appliesAnyVersion {
		return false
	}
	f.version, f.goal = version, weight
	return true
}

func (f *simpleFollower) Weight(now int) int {
	if f.jumps {
		f.cur = f.goal
	}
	if f.nextMove <= now || f.movesRepeatedly {
		if d := max(-1, min(1, f.goal-f.cur)); d != 0 {
			f.cur, f.nextMove = f.cur+d, now+1
		}
	}
	return f.cur
}

func (f *simpleFollower) Copy() Follower {
	c := *f
	return &c
}

func (f *simpleFollower) AppendState(b []byte, now int) []byte {
	return append(b, byte(f.cur), byte(f.goal), byte(max(0, f.nextMove-now)))
}

func leaseBounds(entries, faults int) LeaseBounds {
	return LeaseBounds{Steerers: 2, Entries: entries, Ticks: 3, Faults: faults, Cap: 1, TargetWeights: []int{2, 3}}
}

// Guards against a plan from a process that lost the lease, an older plan that is applied, and a weight change above
// the cap with any mixture of plan versions. It uses minimal decision functions; TestShippedLease runs the shipped
// ones.
func TestLease(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		lease           simpleLease
		entries, faults int
	}{
		"one entry, lost writes":      {simpleLease{}, 1, 1},
		"two entries":                 {simpleLease{}, 2, 0},
		"two processes act as holder": {simpleLease{holdsPastExpiry: true}, 2, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := Check(NewLeaseSpec(leaseBounds(tt.entries, tt.faults), tt.lease.newClient, simpleShifter{}, &simpleFollower{}))
			t.Log(r)
			if r.Violation != nil || !r.Complete || len(r.Unreached) > 0 {
				t.Error("want a complete search without violation that reaches every goal")
			}
		})
	}
}

// Guards against a specification that can't fail: each injected fault must violate its invariant.
func TestLeaseFindsFaults(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name      string
		lease     simpleLease
		shift     simpleShifter
		follower  simpleFollower
		invariant int
	}{
		{"plan written without a condition on the lease", simpleLease{skipsFence: true}, simpleShifter{}, simpleFollower{}, 0},
		{"term that does not grow", simpleLease{reusesTerm: true}, simpleShifter{}, simpleFollower{}, 1},
		{"plan that jumps to the goal", simpleLease{}, simpleShifter{jumps: true}, simpleFollower{}, 2},
		{"entry that applies any version", simpleLease{}, simpleShifter{}, simpleFollower{appliesAnyVersion: true}, 3},
		{"entry that jumps to the plan", simpleLease{}, simpleShifter{}, simpleFollower{jumps: true}, 4},
		{"entry that moves twice in a tick", simpleLease{}, simpleShifter{}, simpleFollower{movesRepeatedly: true}, 4},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			spec := NewLeaseSpec(leaseBounds(2, 1), tt.lease.newClient, tt.shift, &tt.follower)
			r := Check(spec)
			if r.Violation == nil || r.Violation.Invariant != spec.Invariants[tt.invariant].Name {
				t.Fatalf("want a violation of %q, got %s", spec.Invariants[tt.invariant].Name, r)
			}
			t.Log(r)
		})
	}
}
