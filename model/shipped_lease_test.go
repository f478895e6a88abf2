package model

import (
	"fmt"
	"testing"
	"time"

	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/lease"
	"github.com/currantpier/currantpier/shift"
)

// at returns the time of a tick of 1 s.
func at(tick int) time.Time { return time.Unix(1_800_000_000+int64(tick), 0) }

// shippedLease adapts lease.State to LeaseClient and handles the results of writes as lease.Keeper does.
type shippedLease struct {
	process int
	state   lease.State
}

func newShippedLease(process int) LeaseClient {
	return &shippedLease{process, lease.State{
		Self: vm(process), Incarnation: 1, Duration: time.Second, Margin: 100 * time.Millisecond,
	}}
}

func vm(process int) ident.VM { return ident.VM(rune('a' + process)) }

func (l *shippedLease) row(r LeaseRow) lease.Row {
	if r.Version == 0 {
		return lease.Row{}
	}
	return lease.Row{
		Version: ident.Version(r.Version), Holder: vm(r.Holder), Incarnation: 1, Term: ident.Term(r.Term),
		DurationMs: l.state.Duration.Milliseconds(),
	}
}

func (l *shippedLease) Decide(r LeaseRow, now int) (LeaseRow, bool) {
	a := lease.Decide(l.state, l.row(r), at(now))
	l.state = a.State
	if a.Do == lease.Wait {
		return LeaseRow{}, false
	}
	return LeaseRow{Version: int(a.Op.IfVersion), Holder: l.process, Term: int(a.Row.Term)}, true
}

func (l *shippedLease) WriteConfirmed(r LeaseRow, sent int) {
	l.state = lease.Confirmed(l.state, l.row(r), at(sent))
}

func (l *shippedLease) WriteUnresolved(r LeaseRow, sent int) {
	row := l.row(LeaseRow{Version: 1, Holder: r.Holder, Term: r.Term})
	l.state = lease.Unresolved(l.state, row, at(sent))
}

func (l *shippedLease) WriteConflicted() {
	if l.state.PendingTerm == 0 {
		l.state.Version, l.state.ValidUntil = 0, time.Time{}
	}
}

func (l *shippedLease) Fence(now int) (int, int, bool) {
	term, held := l.state.Held(at(now))
	return int(l.state.Version), int(term), held
}

func (l *shippedLease) Copy() LeaseClient {
	c := *l
	return &c
}

func (l *shippedLease) AppendState(b []byte, _ int) []byte {
	s := l.state
	for _, t := range []time.Time{s.ValidUntil, s.PendingSince, s.ObservedAt} {
		b = append(b, byte(t.Sub(at(0))/(100*time.Millisecond)), boolByte(t.IsZero()))
	}
	return append(b, byte(s.Version), byte(s.Term), byte(s.PendingTerm), byte(s.ObservedVersion))
}

// shippedCap lets a tenth of the traffic move in a step, and one step in a second.
var shippedCap = shift.Cap{PerStep: weightUnit, PerMinute: 60 * weightUnit}

const weightUnit = ident.Whole / 10

func weights(w int) []shift.Weight {
	return []shift.Weight{
		{Region: "r", Share: ident.Whole - ident.PPM(w)*weightUnit},
		{Region: "s", Share: ident.PPM(w) * weightUnit},
	}
}

// weight returns the share of region s in units of weightUnit, rounded up so that every movement counts.
func weight(ws []shift.Weight) int {
	for _, w := range ws {
		if w.Region == "s" {
			return int((w.Share + weightUnit - 1) / weightUnit)
		}
	}
	return 0
}

// shippedShifter adapts shift.NextStep to Shifter.
type shippedShifter struct{}

func (shippedShifter) Next(cur, goal, now int) int {
	head := []shift.Headroom{{Region: "r", Slots: 1000, At: at(now), Local: true},
		{Region: "s", Slots: 1000, At: at(now), Link: 1000, LinkAt: at(now)}}
	m := shift.MeasuredTraffic{Slots: 10, Mbps: 10, At: at(now)}
	step, _ := shift.NextStep(shift.Settings{Cap: shippedCap}, shift.State{Weights: weights(cur)}, weights(goal), head, m, at(now))
	return weight(step.State.Weights)
}

// shippedFollower adapts shift.WeightLimiter to Follower.
type shippedFollower struct{ f shift.WeightLimiter }

func (f *shippedFollower) Set(version, weight int) bool {
	return f.f.Set(ident.Version(version), weights(weight))
}

func (f *shippedFollower) Weight(now int) int { return weight(f.f.Weights(at(now))) }

func (f *shippedFollower) Copy() Follower {
	c := *f
	return &c
}

func (f *shippedFollower) AppendState(b []byte, _ int) []byte { return fmt.Appendf(b, "%v", f.f) }

// Guards against the failures that TestLease names, in packages lease and shift.
func TestShippedLease(t *testing.T) {
	t.Parallel()
	for _, tt := range []struct{ entries, faults int }{{1, 1}, {2, 0}} {
		t.Run(fmt.Sprint(tt.entries, " entries, ", tt.faults, " faults"), func(t *testing.T) {
			t.Parallel()
			f := &shippedFollower{*shift.NewWeightLimiter(shippedCap)}
			b := leaseBounds(tt.entries, tt.faults)
			b.Ticks = 2
			r := Check(NewLeaseSpec(b, newShippedLease, shippedShifter{}, f))
			t.Log(r)
			if r.Violation != nil || !r.Complete || len(r.Unreached) > 0 {
				t.Error("want a complete search without violation that reaches every goal")
			}
		})
	}
}
