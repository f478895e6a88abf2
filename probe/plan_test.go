package probe

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"github.com/currantpier/currantpier/fleet"
	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/proto"
)

var start = time.Unix(1000, 0)

// snapshot returns targets of a service in the regions a and b, by turns.
func snapshot(n int, service fleet.Service) *fleet.Snapshot {
	s := &fleet.Snapshot{
		Config: &fleet.Config{Services: map[ident.Service]fleet.Service{"s": service}}, RegistryRead: true,
		Targets: map[ident.Service][]fleet.Target{},
	}
	for i := range n {
		t := fleet.Target{Entry: fleet.Entry{ID: ident.Target(fmt.Sprint("t", i)), Service: "s", Place: ident.Place{Region: "a"}}}
		if i%2 == 1 {
			t.Place.Region = "b"
		}
		s.Targets["s"] = append(s.Targets["s"], t)
	}
	return s
}

var probed = fleet.Service{Name: "s", HealthPath: "/health", WarmupRate: 11}

// group returns n VMs of region a.
func group(n int) []proto.VMInfo {
	var list []proto.VMInfo
	for i := range n {
		list = append(list, proto.VMInfo{VM: ident.VM(fmt.Sprint("vm", i)), Place: ident.Place{Region: "a"}})
	}
	return list
}

func ids(targets []fleet.Target) []ident.Target {
	var list []ident.Target
	for _, t := range targets {
		list = append(list, t.ID)
	}
	slices.Sort(list)
	return list
}

// Guards against targets that nobody asks while the registry is unknown, and against health requests of several VMs to one target,
// which take slots and are too many for a cold one.
func TestEachTargetIsAskedByOneVM(t *testing.T) {
	vms := group(4)
	asked := map[ident.Target]int{}
	for _, vm := range vms {
		p := NewPlanner(vm.VM, rand.NewSource(1))
		for _, id := range ids(p.Due(start, snapshot(20, probed), vms, true)) {
			asked[id]++
		}
	}
	for i := range 20 {
		want := 1 - i%2 // those of the other region are asked there
		if id := ident.Target(fmt.Sprint("t", i)); asked[id] != want {
			t.Errorf("%s is asked by %d VMs, want %d", id, asked[id], want)
		}
	}
}

// Guards against health requests that are not needed, and against a target that isn't asked again.
func TestDue(t *testing.T) {
	vms := group(1)
	all := []ident.Target{"t0", "t2"}
	for _, tt := range []struct {
		name    string
		service fleet.Service
		// between is what happens between the first question and the second, which comes after the given time.
		between func(p *Planner, s *fleet.Snapshot)
		after   time.Duration
		first   []ident.Target
		second  []ident.Target
	}{
		{name: "registry not read", service: probed, first: all, after: askInterval - time.Millisecond},
		{name: "answer awaited", service: probed, first: all, after: askInterval},
		{name: "one answered", service: probed, first: all, after: askInterval, second: all[:1],
			between: func(p *Planner, _ *fleet.Snapshot) { p.Done("t0") }},
		{name: "answered, too early", service: probed, first: all, after: askInterval - time.Millisecond,
			between: func(p *Planner, _ *fleet.Snapshot) { p.Done("t0") }},
		{name: "cold by now", service: probed, first: all, after: askInterval,
			between: func(p *Planner, s *fleet.Snapshot) {
				p.Done("t0")
				s.Targets["s"][0].ColdUntil = start.Add(askInterval + time.Second)
			}},
		{name: "warm again", service: probed, first: all, after: askInterval, second: all[:1],
			between: func(p *Planner, s *fleet.Snapshot) {
				p.Done("t0")
				s.Targets["s"][0].ColdUntil = start.Add(askInterval)
			}},
		{name: "no health path", service: fleet.Service{WarmupRate: 11}},
		{name: "no cold targets in the service", service: fleet.Service{HealthPath: "/health"}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			p, s := NewPlanner("vm0", rand.NewSource(1)), snapshot(4, tt.service)
			if got := ids(p.Due(start, s, vms, true)); !slices.Equal(got, tt.first) {
				t.Errorf("asked %v, want %v", got, tt.first)
			}
			if tt.between != nil {
				tt.between(p, s)
			}
			if tt.after == 0 {
				return
			}
			if got := ids(p.Due(start.Add(tt.after), s, vms, true)); !slices.Equal(got, tt.second) {
				t.Errorf("asked %v after %v, want %v", got, tt.after, tt.second)
			}
		})
	}
}

// Guards against a target that is assumed to be cold and isn't asked, so that it gets the requests of a cold one for too long or, once
// it has started again, those of a warm one; and against health requests to others while the registry is read.
func TestAssumedColdTargetIsAsked(t *testing.T) {
	p, s := NewPlanner("vm0", rand.NewSource(1)), snapshot(4, probed)
	s.Targets["s"][2].ColdUntil, s.Targets["s"][2].ColdAssumed, s.AssumedCold = start.Add(time.Second), true, 1
	for _, tt := range []struct {
		after time.Duration
		want  []ident.Target
	}{{0, []ident.Target{"t2"}}, {askInterval - time.Millisecond, nil}, {askInterval, []ident.Target{"t2"}}, {time.Second, nil}} {
		if got := ids(p.Due(start.Add(tt.after), s, group(1), false)); !slices.Equal(got, tt.want) {
			t.Errorf("asked %v after %v, want %v", got, tt.after, tt.want)
		}
		p.Done("t2")
	}
}

// Guards against an assumption about targets that have no warm-up, and against a message for each refused connection.
func TestAssumption(t *testing.T) {
	warm := fleet.Target{Entry: fleet.Entry{ID: "t0", Service: "s", StartedUnixMS: 7}}
	soonWarm, cold, restarted, other := warm, warm, warm, warm
	restarted.StartedUnixMS, other.ID = 8, "t1"
	soonWarm.ColdUntil, cold.ColdUntil = start.Add(time.Second), start.Add(2*time.Second)
	assumed := cold
	assumed.ColdAssumed = true
	want := fleet.ColdReport{ID: "t0", StartedUnixMS: 7, Left: 3 * time.Second, Assumed: true, Refused: true}
	svc := fleet.Service{WarmupRate: 11, Warmup: 3 * time.Second}
	for _, tt := range []struct {
		name   string
		svc    fleet.Service
		target fleet.Target
		// chosen is the target as it was when the request was sent.
		chosen fleet.Target
		ok     bool
	}{
		{"warm", svc, warm, warm, true},
		{"soon warm", svc, soonWarm, soonWarm, true},
		{"cold for long, assumed", svc, assumed, assumed, false},
		{"cold for long, stated", svc, cold, cold, true},
		{"assumed since it was chosen", svc, assumed, warm, false},
		{"warm since it was chosen", svc, warm, cold, true},
		{"started again since it was chosen", svc, restarted, warm, false},
		{"left since it was chosen", svc, other, warm, false},
		{"no warm-up", fleet.Service{WarmupRate: 11}, warm, warm, false},
		{"no limit while cold", fleet.Service{Warmup: 3 * time.Second}, warm, warm, false},
	} {
		s := snapshot(1, tt.svc)
		s.Targets["s"][0] = tt.target
		got, ok := assumption(start, s, &tt.chosen)
		if ok != tt.ok || ok && got != want {
			t.Errorf("%s: %+v, %v", tt.name, got, ok)
		}
	}
}

// Guards against the requests of a warm target to one that has become cold while a health request waits for a slot there, in a region
// that hears nothing else of it; and against a message in each check.
func TestOverdueAnswer(t *testing.T) {
	p, s := NewPlanner("vm0", rand.NewSource(1)), snapshot(1, probed)
	target := &s.Targets["s"][0]
	p.Due(start, s, group(1), true)
	want := fleet.ColdReport{ID: "t0", Left: overdueWarmup, Assumed: true}
	for _, tt := range []struct {
		after    time.Duration
		reported bool
	}{{overdueAfter, false}, {overdueAfter + 1, true}, {overdueAfter + overdueWarmup/4, false}, {overdueAfter + overdueWarmup, true}} {
		now := start.Add(tt.after)
		got := p.Overdue(now, s)
		if (len(got) == 1) != tt.reported || tt.reported && got[0] != want {
			t.Errorf("after %v: %+v, want a report: %v", tt.after, got, tt.reported)
		}
		if tt.reported {
			target.ColdUntil, target.ColdAssumed = now.Add(overdueWarmup), true
		}
	}
	if !p.Done("t0") || p.Done("t0") {
		t.Error("the answer is not overdue once")
	}
}

// Guards against health requests in each calm second, and against none while the registry can't be read.
func TestUntilStale(t *testing.T) {
	for age, want := range map[time.Duration]time.Duration{
		0: staleAfter, staleAfter - time.Millisecond: time.Millisecond, staleAfter: 0, time.Minute: staleAfter - time.Minute,
	} {
		if got := untilStale(start, start.Add(-age)); got != want {
			t.Errorf("a registry of %v: %v, want %v", age, got, want)
		}
	}
}
