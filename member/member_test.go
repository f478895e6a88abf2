package member_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/member"
	"github.com/currantpier/currantpier/store"
)

var epoch = time.Unix(1_000_000, 0)

func at(sec int) time.Time { return epoch.Add(time.Duration(sec) * time.Second) }

// incAt is the incarnation of a process that was started at the given second.
func incAt(sec int) ident.Incarnation { return ident.Incarnation(at(sec).UnixNano()) }

// vms returns a list of VMs with the given names; a name that ends in '!' is leaving.
func vms(names ...string) []store.VMInfo {
	var list []store.VMInfo
	for _, n := range names {
		vm := store.VMInfo{Name: n, Role: store.RoleEntry, State: store.Live, Address: "127.0.0.1:1"}
		if n[len(n)-1] == '!' {
			vm.Name, vm.State = n[:len(n)-1], store.Leaving
		}
		list = append(list, vm)
	}
	return list
}

// event is a list, or the result of a probe of b, at a second.
type event struct {
	sec  int
	list []store.VMInfo
	ok   bool
	inc  ident.Incarnation
}

func list(sec int, names ...string) event { return event{sec: sec, list: vms(names...)} }
func ok(sec int) event                    { return event{sec: sec, ok: true, inc: incAt(-900)} }
func fail(secs ...int) []event {
	var es []event
	for _, s := range secs {
		es = append(es, event{sec: s})
	}
	return es
}

func viewAfter(events []event) *member.View {
	v := member.NewView("a", 1)
	for _, e := range events {
		if e.list != nil {
			v.ApplyList(at(e.sec), e.list)
		} else {
			v.RecordProbe(at(e.sec), "b", e.ok, e.inc)
		}
	}
	return v
}

// Checks each rule of precedence between list and probes. Guards against work for a VM that leaves, slots or journals
// taken from a live VM, and a dead VM that keeps both.
func TestStates(t *testing.T) {
	start := []event{list(0, "a", "b", "c"), ok(0)}
	dead := fail(1, 2, 3, 11)
	tests := []struct {
		name   string
		events []event
		sec    int
		want   member.State
		vacant bool
	}{
		{"listed and answered", nil, 1, member.Alive, false},
		{"two probes failed", fail(1, 2), 2, member.Alive, false},
		{"three probes failed", fail(1, 2, 3), 3, member.Suspected, false},
		{"probes fail for long while listed", fail(1, 2, 3, 500), 500, member.Suspected, false},
		{"an answer ends suspicion", append(fail(1, 2, 3), ok(4)), 4, member.Alive, false},
		{"failures with an answer between", append(append(fail(1, 2), ok(3)), fail(4, 5)...), 5, member.Alive, false},
		{"leaving wins over an answer", []event{list(1, "a", "b!"), ok(2)}, 2, member.Leaving, false},
		{"leaving wins over failures", append(fail(1, 2, 3, 20), list(21, "a", "b!")), 21, member.Leaving, false},
		{"missing and not yet probed", []event{list(1, "a")}, 1, member.Alive, false},
		{"missing and one probe failed", append(fail(2), list(3, "a")), 3, member.Suspected, false},
		{"missing and answers", []event{list(1, "a"), ok(60)}, 60, member.Alive, false},
		{"missing for 60 s and answers", []event{list(1, "a"), ok(61)}, 61, member.Leaving, false},
		{"missing for 60 s, answered, and one probe failed", append([]event{list(1, "a"), ok(61)}, fail(62)...), 62, member.Leaving, false},
		{"leaving and then missing", []event{list(1, "a", "b!"), list(2, "a")}, 2, member.Leaving, false},
		{"missing and probes fail for 10 s", append(dead, list(11, "a")), 11, member.Dead, false},
		{"missing and probes fail for less", append(fail(1, 2, 3, 10), list(11, "a")), 11, member.Suspected, false},
		{"the probing process was paused after three failures", append(fail(1, 2, 3), list(4, "a")), 50, member.Suspected, false},
		{"two failures 10 s apart", append(fail(1, 11), list(12, "a")), 12, member.Suspected, false},
		{"leaving, then missing and probes fail", append(append(dead, list(11, "a", "b!")), list(12, "a")), 12, member.Dead, false},
		{"dead and back in the list", append(dead, list(11, "a"), list(12, "a", "b")), 12, member.Suspected, false},
		{"dead and answers", append(dead, list(11, "a"), ok(12)), 12, member.Alive, false},
		{"missing for almost 60 s and dead", append(dead, list(11, "a")), 70, member.Dead, false},
		{"missing for 60 s and dead", append(dead, list(11, "a")), 71, member.Dead, true},
		{"missing for long, answered less than 60 s ago", append([]event{list(1, "a"), ok(30)}, fail(31, 32, 41)...), 89, member.Dead, false},
		{"a list without entry VMs is ignored", []event{{sec: 1, list: []store.VMInfo{{Name: "t", Role: store.RoleUpstream}}}}, 90, member.Alive, false},
		{"record removed", append(dead, list(11, "a"), list(611, "a")), 611, member.Unknown, true},
	}
	for _, tt := range tests {
		v := viewAfter(slices.Concat(start, tt.events))
		if got := v.State("b", at(tt.sec)); got != tt.want {
			t.Errorf("%s: %v, want %v", tt.name, got, tt.want)
		}
		if got := v.SlotsReclaimable("b", at(tt.sec)); got != tt.vacant {
			t.Errorf("%s: vacant = %v", tt.name, got)
		}
		alive := tt.want == member.Alive || tt.want == member.Suspected
		if got := slices.ContainsFunc(v.Alive(at(tt.sec)), func(m member.Member) bool { return m.VM == "b" }); got != alive {
			t.Errorf("%s: in Alive = %v", tt.name, got)
		}
	}
}

// Guards against a journal that is sealed while its process lives, and one that is never sealed.
func TestDead(t *testing.T) {
	const old, now, next = -1000, -900, 2
	start := []event{list(-100, "a", "b"), list(0, "a", "b"), ok(0)}
	deadEvents := append(fail(1, 2, 3, 11), list(11, "a"))
	tests := []struct {
		name   string
		events []event
		vm     ident.VM
		inc    ident.Incarnation
		want   bool
	}{
		{"present process", nil, "b", incAt(now), false},
		{"earlier process", nil, "b", incAt(old), true},
		{"later process that has not answered yet", nil, "b", incAt(next), false},
		{"restarted", []event{{sec: 3, ok: true, inc: incAt(next)}}, "b", incAt(now), true},
		{"a late answer of the earlier process", []event{{sec: 3, ok: true, inc: incAt(next)}, ok(4)}, "b", incAt(now), true},
		{"an answer without incarnation", []event{{sec: 3, ok: true}}, "b", incAt(now), false},
		{"suspected", fail(1, 2, 3, 500), "b", incAt(now), false},
		{"dead VM", deadEvents, "b", incAt(now), true},
		{"dead VM that answers again", append(slices.Clone(deadEvents), ok(12)), "b", incAt(now), false},
		{"VM that was never listed, old process", nil, "z", incAt(-60), true},
		{"VM that was never listed, new process", nil, "z", incAt(-59), false},
		{"VM that was never listed, impossible time", nil, "z", 1 << 63, false},
		{"VM that is not listed yet but has answered", []event{list(100, "a"), list(200, "a")}, "b", incAt(now), false},
	}
	for _, tt := range tests {
		v := viewAfter(slices.Concat(start, tt.events))
		if got := v.ProcessDead(tt.vm, tt.inc, at(20)); got != tt.want {
			t.Errorf("%s: %v", tt.name, got)
		}
	}
	if v := viewAfter([]event{list(0, "a")}); v.ProcessDead("z", incAt(-900), at(5)) || v.SlotsReclaimable("z", at(5)) {
		t.Error("a process that has just started finds a VM dead after one list")
	}
	if v := viewAfter(nil); v.ProcessDead("z", incAt(-900), at(5)) {
		t.Error("a process without a list finds a VM dead")
	}
}

// Guards against members that lookups can't use: out of order, or without an address.
func TestAliveOrder(t *testing.T) {
	v := member.NewView("b", 1)
	v.ApplyList(at(0), vms("c", "a", "b"))
	v.RecordProbe(at(0), "x", true, incAt(0))
	v.ApplyList(at(1), vms("b", "d", "c", "a"))
	var got []ident.VM
	for _, m := range v.Alive(at(1)) {
		got = append(got, m.VM)
	}
	if !slices.Equal(got, []ident.VM{"a", "b", "c", "d"}) {
		t.Errorf("Alive = %v", got)
	}
	if s := v.State("x", at(1)); s != member.Alive || !v.ProcessDead("x", incAt(-900), at(1)) || len(v.All(at(1))) != 5 {
		t.Errorf("a VM that has answered and was never listed is %v", s)
	}
}

// Guards against a process that considers itself dead or suspected, and one that is not leaving after it was removed
// from the list.
func TestSelf(t *testing.T) {
	v := member.NewView("a", 1)
	v.RecordProbe(at(0), "a", true, incAt(0))
	v.ApplyList(at(0), vms("a", "b"))
	for s := 1; s < 20; s++ {
		v.RecordProbe(at(s), "a", false, 0)
	}
	if s := v.State("a", at(20)); s != member.Alive || !v.ProcessDead("a", incAt(-1), at(20)) || v.ProcessDead("a", incAt(0), at(20)) {
		t.Errorf("listed: %v", s)
	}
	v.ApplyList(at(20), vms("b"))
	if got := [2]member.State{v.State("a", at(79)), v.State("a", at(80))}; got != [2]member.State{member.Alive, member.Leaving} {
		t.Errorf("missing from the list: %v", got)
	}
	if age, ok := v.ListAge(at(25)); age != 5*time.Second || !ok {
		t.Errorf("list age %v, %v", age, ok)
	}
}

// Guards against a choice of peers that depends on more than seed and second, that omits VMs, or that does not prefer
// VMs in doubt.
func TestPeers(t *testing.T) {
	names := make([]string, 12)
	for i := range names {
		names[i] = fmt.Sprint("vm-", i)
	}
	round := func(seed uint64) (order []ident.VM) {
		v := member.NewView("vm-0", seed)
		v.ApplyList(at(0), vms(names...))
		for s := range 4 {
			first := v.ProbeTargets(at(s))
			if again := v.ProbeTargets(at(s).Add(999 * time.Millisecond)); !slices.Equal(first, again) {
				t.Errorf("two calls in one second returned %v and %v", first, again)
			}
			order = append(order, first...)
		}
		return order
	}
	one := round(1)
	if !slices.Equal(one, round(1)) || slices.Equal(one, round(2)) {
		t.Error("the choice does not depend on the seed alone")
	}
	seen := slices.Clone(one)
	slices.Sort(seen)
	if seen = slices.Compact(seen); len(one) != 12 || len(seen) != 11 || slices.Contains(seen, "vm-0") {
		t.Errorf("4 s do not cover the 11 others: %v", one)
	}
	v := member.NewView("vm-0", 1)
	v.ApplyList(at(0), vms(names...))
	v.RecordProbe(at(0), "vm-5", false, 0)
	for _, dead := range []ident.VM{"vm-8", "vm-9", "vm-10"} {
		for _, sec := range []int{-10, -5, 0} {
			v.RecordProbe(at(sec), dead, false, 0)
		}
	}
	v.ApplyList(at(0), vms(names[:8]...)) // vm-8 to vm-10 are dead now, vm-11 is only missing
	for s := 1; s < 30; s++ {
		p := v.ProbeTargets(at(s))
		if len(p) != 3 || !slices.Contains(p, "vm-5") || !slices.Contains(p, "vm-11") {
			t.Errorf("second %d: %v, want vm-5, which failed, and vm-11, which is missing", s, p)
		}
	}
}

// sim probes as the daemons do: the peers of each second, against the true state of 12 VMs.
type sim struct {
	view *member.View
	// down are the VMs that don't answer from the second crash on; missing are those that are no longer in the list
	// from lag seconds later on.
	down, missing []string
	crash, lag    int
}

func (s *sim) probeSecond(sec int) {
	var names []string
	for i := range 12 {
		n := fmt.Sprintf("vm-%02d", i)
		if sec < s.crash+s.lag || !slices.Contains(s.missing, n) {
			names = append(names, n)
		}
	}
	s.view.ApplyList(at(sec), vms(names...))
	for _, vm := range s.view.ProbeTargets(at(sec)) {
		s.view.RecordProbe(at(sec), vm, sec < s.crash || !slices.Contains(s.down, string(vm)), incAt(-900))
	}
}

// Guards against a state that stays wrong for longer than the list's lag and 10 s. One more second is allowed, since a
// VM among four in doubt is probed every two seconds. The lists lag both less and more than the probes need.
func TestTimeOfWrongStateIsBounded(t *testing.T) {
	region := []string{"vm-04", "vm-05", "vm-06", "vm-07"}
	tests := []struct {
		name          string
		down, missing []string
		want          member.State
	}{
		{"one VM died", region[:1], region[:1], member.Dead},
		{"a failure domain died", region[:2], region[:2], member.Dead},
		{"a region died", region, region, member.Dead},
		{"unreachable but listed", region[:1], nil, member.Suspected},
	}
	for _, tt := range tests {
		for _, lag := range []int{0, 1, 5, 30} {
			for crash := 20; crash < 24; crash++ {
				s := sim{view: member.NewView("vm-00", 1), down: tt.down, missing: tt.missing, crash: crash, lag: lag}
				last := crash
				for sec := range 100 {
					s.probeSecond(sec)
					for i := range 12 {
						n := fmt.Sprintf("vm-%02d", i)
						want := member.Alive
						if sec >= crash && slices.Contains(tt.down, n) {
							want = tt.want
						}
						if got := s.view.State(ident.VM(n), at(sec)); got != want && sec >= crash && want != member.Alive {
							last = sec
						} else if got != want {
							t.Errorf("%s, lag %d: %s is %v at %d", tt.name, lag, n, got, sec)
						}
					}
				}
				if wrong := last + 1 - crash; wrong > lag+10+1 {
					t.Errorf("%s, lag %d: wrong state for %d s", tt.name, lag, wrong)
				}
			}
		}
	}
}

// Guards against a VM that is wrongly missing from the list and loses its journal or slots although it answers.
func TestLiveVMIsNeverDead(t *testing.T) {
	s := sim{view: member.NewView("vm-00", 1), missing: []string{"vm-03", "vm-04", "vm-05"}, crash: 10}
	for sec := range 300 {
		s.probeSecond(sec)
		for _, n := range s.missing {
			if vm := ident.VM(n); s.view.ProcessDead(vm, incAt(-900), at(sec)) || s.view.SlotsReclaimable(vm, at(sec)) {
				t.Fatalf("%s is dead at %d", n, sec)
			}
		}
	}
}

func bench(b *testing.B, run func(v *member.View, list []store.VMInfo)) {
	for _, n := range []int{400, 1600, 3200} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			names := make([]string, n)
			for i := range names {
				names[i] = fmt.Sprintf("vm-%04d", i)
			}
			v, list := member.NewView("vm-0000", 1), vms(names...)
			v.ApplyList(epoch, list)
			b.ReportAllocs()
			for b.Loop() {
				run(v, list)
			}
		})
	}
}

func BenchmarkAlive(b *testing.B) {
	var dst []member.Member
	bench(b, func(v *member.View, _ []store.VMInfo) { dst = v.AppendAlive(dst[:0], epoch) })
}

func BenchmarkPlatform(b *testing.B) {
	bench(b, func(v *member.View, list []store.VMInfo) { v.ApplyList(epoch, list) })
}

func BenchmarkPeers(b *testing.B) {
	sec := 0
	bench(b, func(v *member.View, _ []store.VMInfo) { sec++; v.ProbeTargets(at(sec)) })
}
