package drain_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/currantpier/currantpier/drain"
	"github.com/currantpier/currantpier/ident"
)

var start = time.Unix(1000, 0)

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// Guards against a process that rejects requests while callers may have cached lookup answers with its address, aborts
// requests before the timeout, exits before its records are written, or never exits.
func TestStop(t *testing.T) {
	type step struct {
		at         float64
		signals    int
		inFlight   int
		handedOver bool
		want       drain.Phase
		wake       float64 // 0: none
	}
	tests := []struct {
		name   string
		steps  []step
		forced bool
	}{
		{"complete", []step{
			{0, 0, 3, true, drain.Serving, 0},
			{10, 1, 3, true, drain.Announced, 16},
			{15.9, 0, 0, true, drain.Announced, 16},
			{16, 0, 2, true, drain.Finishing, 70},
			{30, 0, 0, false, drain.HandingOver, 70},
			{31, 0, 1, false, drain.HandingOver, 70},
			{32, 0, 0, true, drain.Exit, 0},
			{33, 1, 0, false, drain.Exit, 0},
		}, false},
		{"idle process waits for lookup caches to expire", []step{
			{10, 1, 0, true, drain.Announced, 16}, {16, 0, 0, true, drain.Exit, 0},
		}, false},
		{"second signal while announced", []step{{10, 1, 3, false, drain.Announced, 16}, {11, 1, 3, false, drain.Exit, 0}}, true},
		{"second signal while finishing", []step{{10, 1, 3, false, drain.Announced, 16}, {17, 0, 3, false, drain.Finishing, 70},
			{18, 1, 3, false, drain.Exit, 0}}, true},
		{"timeout with a request in progress", []step{{10, 1, 1, false, drain.Announced, 16}, {69.9, 0, 1, false, drain.Finishing, 70},
			{70, 0, 1, false, drain.Exit, 0}}, true},
		{"timeout while handing over", []step{{10, 1, 0, false, drain.Announced, 16}, {16, 0, 0, false, drain.HandingOver, 70},
			{70, 0, 0, false, drain.Exit, 0}}, true},
		{"handed over at the timeout", []step{{10, 1, 0, false, drain.Announced, 16}, {70, 0, 0, true, drain.Exit, 0}}, false},
	}
	for _, tt := range tests {
		s := drain.NewStop(5*time.Second, 0)
		for i, st := range tt.steps {
			for range st.signals {
				s.HandleSignal(at(st.at))
			}
			got := s.Advance(at(st.at), st.inFlight, st.handedOver)
			wake := time.Time{}
			if st.wake > 0 {
				wake = at(st.wake)
			}
			if got != st.want || !s.NextDeadline().Equal(wake) {
				t.Errorf("%s, step %d: %v until %v, want %v until %v", tt.name, i, got, s.NextDeadline(), st.want, wake)
			}
			if got.InLookup() != (got == drain.Serving) || got.TakesWork() != (got == drain.Serving || got == drain.Announced) {
				t.Errorf("%v: in lookup %v, takes work %v", got, got.InLookup(), got.TakesWork())
			}
		}
		if s.Forced() != tt.forced {
			t.Errorf("%s: cut %v", tt.name, s.Forced())
		}
	}
	s := drain.NewStop(30*time.Second, 10*time.Second)
	s.HandleSignal(start)
	if got := s.NextDeadline(); !got.Equal(at(10)) {
		t.Errorf("timeout below the TTL: wake %v", got)
	}
}

// Guards against a stop without an end, and against one that leaves no time for the responses to requests in progress.
func TestStopTimes(t *testing.T) {
	s := drain.NewStop(time.Second, 5*time.Second)
	if !s.AbortTime().IsZero() || !s.ExitTime().IsZero() {
		t.Errorf("before the signal: %v and %v", s.AbortTime(), s.ExitTime())
	}
	s.HandleSignal(start)
	s.Advance(at(3), 0, true)
	if !s.AbortTime().Equal(at(4.8)) || !s.ExitTime().Equal(at(5)) {
		t.Errorf("abort at %v, exit at %v", s.AbortTime(), s.ExitTime())
	}
	short := drain.NewStop(time.Second, 100*time.Millisecond)
	short.HandleSignal(start)
	if !short.AbortTime().Equal(at(0.05)) {
		t.Errorf("abort of a short stop at %v", short.AbortTime())
	}
}

// Guards against a target that is reported as drained while requests are or may be in progress, and against entries
// that miss the StopNewWork limit and are not listed.
func TestTarget(t *testing.T) {
	tg := drain.NewTargetDrain("workshop-3", start, []ident.VM{"c", "a", "b"})
	expect := func(step string, now float64, inFlight int, late []ident.VM, drained float64, done bool) {
		t.Helper()
		d, ok := tg.Done()
		got := tg.Unconfirmed(at(now))
		if tg.InFlight() != inFlight || !slices.Equal(got, late) || ok != done || d != time.Duration(drained*1e9) {
			t.Errorf("%s: %d in flight, late %v, done %v %v", step, tg.InFlight(), got, d, ok)
		}
	}
	expect("new", 2.9, 0, nil, 0, false)
	expect("no entry confirmed", 3, 0, []ident.VM{"a", "b", "c"}, 0, false)
	tg.Report(at(1), "a", true, 2)
	tg.Report(at(1), "b", false, 0)
	tg.Report(at(1), "c", true, 0)
	expect("one entry still sends", 3, 2, []ident.VM{"b"}, 0, false)
	tg.Report(at(4), "b", true, 0)
	expect("all stopped", 4, 2, nil, 0, false)
	tg.Report(at(5), "a", true, 0)
	expect("idle", 5, 0, nil, 5, true)
	tg.Report(at(6), "a", true, 0)
	expect("repeated report keeps the time", 6, 0, nil, 5, true)
	tg.Report(at(7), "extra", true, 1)
	expect("report of an unexpected entry", 7, 1, nil, 0, false)
	tg.RemoveEntry(at(9), "extra")
	expect("unexpected entry failed", 9, 0, nil, 9, true)
	if _, ok := drain.NewTargetDrain("x", start, nil).Done(); !ok {
		t.Error("a target without entries is not done")
	}
}

func ExampleStop() {
	now := time.Unix(0, 0)
	stop := drain.NewStop(5*time.Second, time.Minute)
	stop.HandleSignal(now)
	fmt.Println(stop.Advance(now, 2, false))
	fmt.Println(stop.Advance(now.Add(6*time.Second), 2, false))
	fmt.Println(stop.Advance(now.Add(8*time.Second), 0, false))
	fmt.Println(stop.Advance(now.Add(9*time.Second), 0, true), stop.Forced())
	// Output:
	// announced
	// finishing
	// handing-over
	// exit false
}

func ExampleTarget() {
	noticed := time.Unix(0, 0)
	target := drain.NewTargetDrain("workshop-3", noticed, []ident.VM{"riga-1", "riga-2"})
	target.Report(noticed.Add(time.Second), "riga-1", true, 1)
	fmt.Println("late:", target.Unconfirmed(noticed.Add(drain.StopNewWork)))
	target.Report(noticed.Add(4*time.Second), "riga-2", true, 0)
	target.Report(noticed.Add(9*time.Second), "riga-1", true, 0)
	fmt.Println(target.Done())
	// Output:
	// late: [riga-2]
	// 9s true
}
