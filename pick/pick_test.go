package pick

import (
	"fmt"
	"math"
	"net/http"
	"testing"
	"time"

	"github.com/currantpier/currantpier/fleet"
	"github.com/currantpier/currantpier/ident"
)

var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

var here = ident.Place{Region: "a", Domain: "a1"}

// snapshot returns a fleet with n targets in each of the regions a, b and c and the given warm-up rate.
func snapshot(n int, rate float64) *fleet.Snapshot {
	s := &fleet.Snapshot{
		Config:  &fleet.Config{Services: map[ident.Service]fleet.Service{"s": {Name: "s", WarmupRate: rate, Warmup: 3 * time.Second}}},
		Targets: map[ident.Service][]fleet.Target{},
	}
	for _, r := range []string{"a", "b", "c"} {
		for i := range n {
			s.Targets["s"] = append(s.Targets["s"], fleet.Target{Entry: fleet.Entry{
				ID: ident.Target(fmt.Sprint(r, i)), Service: "s", Slots: 4,
				Place: ident.Place{Region: ident.Region(r), Domain: ident.Domain(r + "1")},
			}})
		}
	}
	return s
}

var route = &fleet.Route{Name: "r", Services: []fleet.WeightedService{{Service: "s", Weight: 1}}, LatencyTarget: 300 * time.Millisecond, Affinity: true}

func request(now time.Time, key string) Request {
	return Request{Route: route, Service: "s", Object: NewObject("r", []byte(key)), Deadline: now.Add(2 * time.Second)}
}

// Guards against VMs that send requests for one object to different targets, which makes every cache cold.
func TestVMsChooseSameTarget(t *testing.T) {
	for key := range 50 {
		a := request(start, fmt.Sprint(key))
		var first ident.Target
		for vm := range 8 {
			p := New(ident.VM(fmt.Sprint(vm)), here)
			p.SetTargets(start, snapshot(5, 10))
			c, _ := p.Choose(start, a)
			if vm == 0 {
				first = c.Target.ID
			}
			if c.Target.ID != first || c.Target.Place.Region != "a" {
				t.Fatalf("object %d: VM %d chose %s, VM 0 %s", key, vm, c.Target.ID, first)
			}
		}
	}
}

// Guards against objects that change their target when another target is removed.
func TestObjectsStayWhenTargetIsRemoved(t *testing.T) {
	p := New("vm", here)
	before := map[int]ident.Target{}
	s := snapshot(6, 10)
	p.SetTargets(start, s)
	for key := range 200 {
		c, _ := p.Choose(start, request(start, fmt.Sprint(key)))
		before[key] = c.Target.ID
	}
	removed := s.Targets["s"][2].ID
	s.Targets["s"] = append(s.Targets["s"][:2:2], s.Targets["s"][3:]...)
	p.SetTargets(start, s)
	for key := range 200 {
		c, _ := p.Choose(start, request(start, fmt.Sprint(key)))
		if before[key] != removed && before[key] != c.Target.ID {
			t.Errorf("object %d moved from %s, which was not removed, to %s", key, before[key], c.Target.ID)
		}
		if c.Target.ID == removed {
			t.Errorf("object %d is sent to a removed target", key)
		}
	}
}

// Guards against requests to targets that are excluded by the request, its route or earlier outcomes.
func TestExcludedTargets(t *testing.T) {
	first := func(p *Picker, a Request) ident.Target {
		c, _ := p.Choose(start, a)
		return c.Target.ID
	}
	tests := []struct {
		name string
		make func(p *Picker, a *Request, id ident.Target)
		want Reason
	}{
		{"tried", func(_ *Picker, a *Request, id ident.Target) { a.Excluded = append(a.Excluded, id) }, Chosen},
		{"unreachable", func(p *Picker, a *Request, id ident.Target) { finish(p, *a, id, Unreachable) }, Chosen},
		{"another target at its address", func(p *Picker, a *Request, id ident.Target) { finish(p, *a, id, Misdirected) }, Chosen},
		{"broken twice", func(p *Picker, a *Request, id ident.Target) {
			finish(p, *a, id, Invalid)
			finish(p, *a, id, Invalid)
		}, Chosen},
		{"region not allowed", func(_ *Picker, a *Request, _ ident.Target) {
			r := *route
			r.Regions = []ident.Region{"b"}
			a.Route = &r
		}, Chosen},
		{"no region allowed", func(_ *Picker, a *Request, _ ident.Target) {
			r := *route
			r.Regions = []ident.Region{"nowhere"}
			a.Route = &r
		}, NoTarget},
		{"region not allowed for the customer", func(_ *Picker, a *Request, _ ident.Target) { a.Regions = []ident.Region{"b"} }, Chosen},
		{"no region allowed by both", func(_ *Picker, a *Request, _ ident.Target) {
			r := *route
			r.Regions, a.Regions = []ident.Region{"a"}, []ident.Region{"b"}
			a.Route = &r
		}, NoTarget},
		{"unknown service", func(_ *Picker, a *Request, _ ident.Target) { a.Service = "none" }, NoTarget},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := New("vm", here)
			p.SetTargets(start, snapshot(3, 10))
			a := request(start, "k")
			id := first(p, a)
			tt.make(p, &a, id)
			c, reason := p.Choose(start, a)
			if reason != tt.want {
				t.Errorf("reason %v, want %v", reason, tt.want)
			}
			if c.Target.ID == id {
				t.Errorf("chose %s again", id)
			}
			if !a.Route.Allows(c.Target.Place.Region) && reason == Chosen {
				t.Errorf("chose region %s", c.Target.Place.Region)
			}
		})
	}
}

// Guards against refusing requests that only another region than the VM's own may serve, because of the limit on moves between
// regions, and against requests that leave the own region, where they are at home, without need.
func TestHomeOfRestrictedRequests(t *testing.T) {
	for _, tt := range []struct {
		route, customer []ident.Region
		want            ident.Region
	}{
		{[]ident.Region{"b"}, nil, "b"}, {nil, []ident.Region{"b"}, "b"},
		{[]ident.Region{"a", "b"}, []ident.Region{"b", "c"}, "b"},
		{[]ident.Region{"b", "a"}, nil, "a"}, {nil, []ident.Region{"b", "a"}, "a"},
	} {
		p, targets, r := New("vm", here), snapshot(3, 10), *route
		// Half of the objects have their home elsewhere, since the own region has one target of seven.
		targets.Targets["s"] = targets.Targets["s"][2:]
		p.SetTargets(start, targets)
		r.Regions = tt.route
		for i := range 500 {
			now := start.Add(time.Duration(i) * time.Millisecond)
			a := request(now, fmt.Sprint(i%50))
			a.Route, a.Regions = &r, tt.customer
			c, reason := p.Choose(now, a)
			if reason != Chosen || c.Target.Place.Region != tt.want {
				t.Fatalf("%v, request %d: %v, region %q", tt, i, reason, c.Target.Place.Region)
			}
			p.RecordStart(now, a, c)
			p.RecordEnd(now, a, c, Outcome{Result: Served, Duration: time.Millisecond})
		}
	}
}

func finish(p *Picker, a Request, id ident.Target, r Result) {
	c := Choice{Target: p.byID[id].Target}
	p.RecordStart(start, a, c)
	p.RecordEnd(start, a, c, Outcome{Result: r})
}

// Guards against refusing requests while suspect targets, which may have recovered, are left.
func TestSuspectTargetsAreTriedLast(t *testing.T) {
	p := New("vm", here)
	p.SetTargets(start, snapshot(1, 10))
	for id := range p.byID {
		finish(p, request(start, "k"), id, Unreachable)
	}
	if _, reason := p.Choose(start, request(start, "k")); reason != Chosen {
		t.Errorf("reason %v: one of the targets must be tried if all are suspect", reason)
	}
}

// Guards against VMs that together exceed the warm-up rate of a cold target, also while each half of the VMs considers the
// other half failed. The bound is the platform's: 1.5 times the rate plus 5 requests in any second.
func TestColdRateLimitAcrossVMs(t *testing.T) {
	for _, tt := range []struct {
		name        string
		vms         int
		partitioned bool
		rate        float64
	}{
		{"12 VMs", 12, false, 11}, {"12 VMs in two halves", 12, true, 11},
		{"85 VMs", 85, false, 2.9}, {"85 VMs in two halves", 85, true, 2.9},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := snapshot(1, tt.rate)
			for i := range s.Targets["s"] {
				s.Targets["s"][i].ColdUntil = at(time.Minute)
			}
			var pickers []*Picker
			var names []ident.VM
			for i := range tt.vms {
				names = append(names, ident.VM(fmt.Sprint("vm", i)))
			}
			for i, vm := range names {
				p := New(vm, here)
				p.SetTargets(start, s)
				view := names
				if tt.partitioned {
					half := len(names) / 2
					view = names[:half]
					if i >= half {
						view = names[half:]
					}
				}
				p.SetVMs(view, true)
				pickers = append(pickers, p)
			}
			sent := map[ident.Target][]time.Duration{}
			for now := time.Duration(0); now < 4*time.Second; now += 10 * time.Millisecond {
				for _, p := range pickers {
					a := request(at(now), "k")
					if c, reason := p.Choose(at(now), a); reason == Chosen {
						p.RecordStart(at(now), a, c)
						sent[c.Target.ID] = append(sent[c.Target.ID], now)
					}
				}
			}
			for id, times := range sent {
				for i := range times {
					n := 0
					for j := i; j < len(times) && times[j] < times[i]+time.Second; j++ {
						n++
					}
					if most := tt.rate*1.5 + 5; float64(n) > most {
						t.Fatalf("%s got %d requests in a second, bound %.1f", id, n, most)
					}
				}
				if len(times) == 0 {
					t.Errorf("%s got no request", id)
				}
			}
		})
	}
}

// Guards against a split whose shares differ from the weights by more than the platform's bound of 0.1 when some objects are
// much more popular than others.
func TestSplitKeepsWeights(t *testing.T) {
	for _, weights := range [][]int{{90, 10}, {50, 50}, {60, 30, 10}} {
		r := &fleet.Route{Name: "split"}
		for i, w := range weights {
			r.Services = append(r.Services, fleet.WeightedService{Service: ident.Service(fmt.Sprint(i)), Weight: w})
		}
		p := New("vm", here)
		got := map[ident.Service]float64{}
		const n = 1000
		for i := range n {
			key := fmt.Sprint(i % 24)
			if i%3 == 0 {
				key = "popular"
			}
			got[p.Service(start, r, NewObject("split", []byte(key)))] += 1.0 / n
		}
		for i, w := range weights {
			if d := got[ident.Service(fmt.Sprint(i))] - float64(w)/100; math.Abs(d) > 0.1 {
				t.Errorf("weights %v: part %d is off by %.3f", weights, i, d)
			}
		}
	}
}

// Guards against bursts that spread every object over all targets, so that no cache holds it (sag-pier trouble-1: 0.38 of the
// worth instead of 0.55). A request prefers the target that knows its object while the expected wait is a few times the extra
// service time of an unknown object, but not beyond.
func TestPrefersKnownTargetUpToWait(t *testing.T) {
	for _, tt := range []struct {
		waiting int
		stays   bool
	}{{0, true}, {8, true}, {16, true}, {200, false}} {
		p := New("vm", here)
		one := snapshot(3, 10)
		one.Targets["s"] = one.Targets["s"][:3] // a single region
		p.SetTargets(start, one)
		a := request(start, "k")
		a.Deadline = at(time.Hour)
		first, _ := p.Choose(start, a)
		p.RecordStart(start, a, first)
		p.RecordEnd(start, a, first, Outcome{Result: Served, Load: &Load{Running: 4, Waiting: tt.waiting, Slots: 4}})
		got, _ := p.Choose(start, a)
		if stays := got.Target.ID == first.Target.ID; stays != tt.stays {
			t.Errorf("%d requests waiting: stays = %v, want %v", tt.waiting, stays, tt.stays)
		}
	}
}

// BenchmarkChoose measures Choose with the targets of one service in three regions.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{28, 540} {
		b.Run(fmt.Sprint(n, " targets"), func(b *testing.B) {
			m := newModel(n, currentPicker)
			p := m.vms[0]
			for i := range b.N {
				a := Request{Route: modelRoute, Service: "s", Deadline: at(time.Second), Object: Object(i | 1)}
				if _, reason := p.Choose(at(0), a); reason != Chosen {
					b.Fatal(reason)
				}
			}
		})
	}
	for name, object := range map[string]Object{"400 targets with pace": 1, "400 targets with pace, no object": 0} {
		b.Run(name, func(b *testing.B) {
			p := newModel(400, currentPicker).vms[0]
			for i, t := range p.pools["s"].targets {
				t.recordPace(at(0), &Load{Pace: 100 + 150*(i%7/6)})
			}
			b.ReportAllocs()
			for i := range b.N {
				a := Request{Route: modelRoute, Service: "s", Deadline: at(time.Second), Object: Object(i|1) * object}
				if _, reason := p.Choose(at(0), a); reason != Chosen {
					b.Fatal(reason)
				}
			}
		})
	}
}

// Guards against objects that leave a target for another region because a part of its answers is lost or wrong: each of them is
// unknown there, and with many such targets every cache goes cold. A target that fails most requests must still lose them.
func TestPartlyFailingTargetKeepsItsObjects(t *testing.T) {
	for _, tt := range []struct {
		failedOf10 int
		stays      bool
	}{{0, true}, {2, true}, {7, false}} {
		p := New("vm", here)
		p.SetTargets(start, snapshot(5, 10))
		a := request(start, "k")
		first, _ := p.Choose(start, a)
		for i := range 100 {
			o := Outcome{Result: Served, Status: http.StatusOK}
			if i%10 < tt.failedOf10 {
				o = Outcome{Result: ServerError, Status: http.StatusInternalServerError}
			}
			p.RecordStart(start, a, first)
			p.RecordEnd(start, a, first, o)
		}
		got, _ := p.Choose(start, a)
		if stays := got.Target.ID == first.Target.ID; stays != tt.stays {
			t.Errorf("%d of 10 requests fail: stays = %v, want %v", tt.failedOf10, stays, tt.stays)
		}
	}
}

// Guards against a target that stays the first choice although its responses exceed the size limit. One such response makes
// the target suspect, one broken response doesn't.
func TestFloodHoldsATargetBack(t *testing.T) {
	for result, held := range map[Result]bool{Invalid: false, ResponseTooLarge: true} {
		p := New("vm", here)
		p.SetTargets(start, snapshot(5, 10))
		a := request(start, "k")
		first, _ := p.Choose(start, a)
		p.RecordStart(start, a, first)
		p.RecordEnd(start, a, first, Outcome{Result: result})
		targets, _ := p.Dump(start)
		for _, x := range targets {
			if x.Suspect != (held && x.ID == first.Target.ID) {
				t.Errorf("result %d at %s: %s is suspect: %v", result, first.Target.ID, x.ID, x.Suspect)
			}
		}
	}
}

// Guards against a target that gets no requests for a whole warm-up, of a service that states no rate for cold targets: its refused
// connection limits nothing beyond the suspension.
func TestRefusedConnectionWithoutWarmupRate(t *testing.T) {
	for rate, want := range map[float64]bool{0: false, 11: true} {
		s := snapshot(1, rate)
		s.Targets["s"] = s.Targets["s"][:1]
		p := New("vm0", here)
		p.SetTargets(start, s)
		a := request(start, "k")
		c, _ := p.Choose(start, a)
		p.RecordStart(start, a, c)
		p.RecordEnd(start, a, c, Outcome{Result: Unreachable, Refused: true})
		later := at(2 * time.Second)
		c, reason := p.Choose(later, request(later, "k"))
		if cold := later.Before(c.Target.ColdUntil); reason != Chosen || cold != want {
			t.Errorf("rate %v: %v, cold %v, want it chosen, cold %v", rate, reason, cold, want)
		}
	}
}
