package route_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/route"
	"github.com/currantpier/currantpier/shift"
)

var (
	testStart  = time.Unix(1_800_000_000, 0)
	localPlace = ident.Place{Region: "riga", Domain: "riga-a"}
)

// testTargets returns n targets with 4 slots in each of two failure domains of two regions.
func testTargets(n int) []route.Target {
	var all []route.Target
	for _, r := range []ident.Region{"riga", "tartu"} {
		for _, d := range []string{"a", "b"} {
			for i := range n {
				all = append(all, route.Target{
					Name: ident.Target(fmt.Sprintf("%s-%s-%d", r, d, i)), Service: "workshop", Slots: 4,
					Place: ident.Place{Region: r, Domain: ident.Domain(string(r) + "-" + d)},
				})
			}
		}
	}
	return all
}

func newPicker(n int) *route.Picker {
	p := route.New(rand.NewPCG(1, 2))
	p.SetTargets(testStart, testTargets(n))
	return p
}

// countPicks makes picks without calling Started and counts the chosen targets by key.
func countPicks(p *route.Picker, now time.Time, picks int, key func(route.Target) string, exclude ...route.TargetRef) map[string]int {
	got := map[string]int{}
	for range picks {
		ref, ok := p.Pick(now, localPlace, "workshop", exclude)
		if !ok {
			got["none"]++
			continue
		}
		got[key(ref.Target())]++
	}
	return got
}

func byDomain(t route.Target) string { return string(t.Place.Domain) }
func byName(t route.Target) string   { return string(t.Name) }

// finishRequests starts and ends n requests at a target, one after the other.
func finishRequests(p *route.Picker, now time.Time, name ident.Target, n int, latency time.Duration, res route.Result) {
	for range n {
		ref, _ := p.Lookup(name)
		p.Started(ref)
		p.Finished(now, ref, latency, res)
	}
}

// Guards against choosing a target that is far, full, leaving, slow or failed while a better one is free.
func TestPickPrefersBestTarget(t *testing.T) {
	tests := []struct {
		name  string
		setup func(p *route.Picker)
		key   func(route.Target) string
		want  map[string]int
	}{
		{"local domain first", func(*route.Picker) {}, byDomain, map[string]int{"riga-a": 100}},
		{"local domain although 2 ms slower", func(p *route.Picker) {
			for i, ms := range []time.Duration{22, 22, 20, 20} {
				finishRequests(p, testStart, testTargets(2)[i].Name, 20, ms*time.Millisecond, route.OK)
			}
		}, byDomain, map[string]int{"riga-a": 100}},
		{"then the region", func(p *route.Picker) { p.SetLimit("riga-a-0", 0); p.SetLimit("riga-a-1", 0) },
			byDomain, map[string]int{"riga-b": 100}},
		{"a full region sheds", func(p *route.Picker) {
			for _, tg := range testTargets(2)[:4] {
				p.SetLimit(tg.Name, 0)
			}
		}, byDomain, map[string]int{"none": 100}},
		{"in-flight requests reach the limit", func(p *route.Picker) {
			p.SetLimit("riga-a-0", 1)
			ref, _ := p.Lookup("riga-a-0")
			p.Started(ref)
		}, byName, map[string]int{"riga-a-1": 100}},
		{"all weight on another region", func(p *route.Picker) {
			p.SetWeights("workshop", "riga", []shift.Weight{{Region: "tartu", Share: ident.Whole}})
			for _, tg := range testTargets(2)[:4] {
				p.SetLeaving(testStart, tg.Name, true)
			}
			p.SetLeaving(testStart, "tartu-a-0", true)
			p.SetLeaving(testStart, "tartu-b-0", true)
			p.SetLeaving(testStart, "tartu-b-1", true)
		}, byName, map[string]int{"tartu-a-1": 100}},
		{"a region without targets keeps its share", func(p *route.Picker) {
			p.SetWeights("workshop", "riga", []shift.Weight{{Region: "kaunas", Share: ident.Whole}})
		}, byName, map[string]int{"none": 100}},
		{"slow by own measurement", func(p *route.Picker) {
			finishRequests(p, testStart, "riga-a-0", 20, 40*time.Millisecond, route.OK)
			finishRequests(p, testStart, "riga-a-1", 20, 20*time.Millisecond, route.OK)
		}, byName, map[string]int{"riga-a-1": 100}},
		{"reported load does not outweigh own latency", func(p *route.Picker) {
			finishRequests(p, testStart, "riga-a-0", 20, 40*time.Millisecond, route.OK)
			finishRequests(p, testStart, "riga-a-1", 20, 20*time.Millisecond, route.OK)
			p.SetLimit("riga-b-0", 0)
			p.SetLimit("riga-b-1", 0)
			p.RecordLoad("riga-a-0", 0, testStart)
			p.RecordLoad("riga-a-1", 1e9, testStart)
		}, byName, map[string]int{"riga-a-1": 100}},
		{"reported load decides between equal targets", func(p *route.Picker) { p.RecordLoad("riga-a-0", 0.1, testStart) },
			byName, map[string]int{"riga-a-1": 100}},
		{"unreachable once", func(p *route.Picker) { finishRequests(p, testStart, "riga-a-0", 1, 0, route.Unreachable) },
			byName, map[string]int{"riga-a-1": 100}},
		{"failed twice", func(p *route.Picker) { finishRequests(p, testStart, "riga-a-0", 2, 0, route.Failed) },
			byName, map[string]int{"riga-a-1": 100}},
		{"shed", func(p *route.Picker) { finishRequests(p, testStart, "riga-a-0", 1, 0, route.Shed) },
			byName, map[string]int{"riga-a-1": 100}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := newPicker(2)
			tt.setup(p)
			if got := countPicks(p, testStart, 100, tt.key); fmt.Sprint(got) != fmt.Sprint(tt.want) {
				t.Errorf("got %v, want %v", got, tt.want)
			}
		})
	}
}

// Guards against ignored weights and against an uneven spread over equal targets.
func TestPickShares(t *testing.T) {
	p := newPicker(4)
	p.SetWeights("workshop", "riga", []shift.Weight{{Region: "riga", Share: 700_000}, {Region: "tartu", Share: 300_000}})
	got := countPicks(p, testStart, 10_000, func(t route.Target) string { return string(t.Place.Region) })
	if got["tartu"] < 2800 || got["tartu"] > 3200 {
		t.Errorf("region with 30%% of the weight: picks by region %v", got)
	}
	for name, n := range countPicks(newPicker(4), testStart, 4000, byName) {
		if n < 850 || n > 1150 {
			t.Errorf("%s was chosen %d times of 4000; want about 1000", name, n)
		}
	}
}

// fillTarget leaves a target without a free slot.
func fillTarget(p *route.Picker, name ident.Target) {
	p.SetLimit(name, 1)
	ref, _ := p.Lookup(name)
	p.Started(ref)
}

// Guards against several concurrent trial requests to a failed target, and against a target that stays down for good.
func TestFailedTargetGetsOneTrial(t *testing.T) {
	p := newPicker(1)
	fillTarget(p, "riga-b-0")
	finishRequests(p, testStart, "riga-a-0", 2, 0, route.Failed)
	canPick := func(d time.Duration, exclude ...route.TargetRef) bool {
		_, ok := p.Pick(testStart.Add(d), localPlace, "workshop", exclude)
		return ok
	}
	fullTarget, _ := p.Lookup("riga-b-0")
	if canPick(400*time.Millisecond) || !canPick(600*time.Millisecond) {
		t.Fatal("want no pick in the back-off and one after it")
	}
	if canPick(600*time.Millisecond, fullTarget) || canPick(600*time.Millisecond, route.ExcludeTrials...) {
		t.Error("want no trial by a retry or an order while another target is up")
	}
	p.SetLeaving(testStart, "riga-b-0", true)
	if !canPick(600*time.Millisecond, route.ExcludeTrials...) {
		t.Error("want a trial by an order if nothing else is up")
	}
	ref, _ := p.Lookup("riga-a-0")
	p.Started(ref)
	if canPick(600 * time.Millisecond) {
		t.Error("a second request was sent during the trial")
	}
	p.Finished(testStart.Add(time.Second), ref, 0, route.Failed)
	if canPick(1500*time.Millisecond) || !canPick(2200*time.Millisecond) {
		t.Error("want a doubled back-off after a failed trial")
	}
	p.Started(ref)
	p.Finished(testStart.Add(3*time.Second), ref, time.Millisecond, route.OK)
	inFlight := 0
	for canPick(3 * time.Second) {
		p.Started(ref)
		inFlight++
	}
	if inFlight != 1 {
		t.Errorf("%d requests at once right after the trial; want 1 as the ramp begins", inFlight)
	}
}

// Guards against full load on the cold caches of a new or returning target.
func TestRampUp(t *testing.T) {
	tests := []struct {
		age  time.Duration
		want int
	}{{0, 1}, {9 * time.Second, 2}, {19 * time.Second, 3}, {29 * time.Second, 4}, {31 * time.Second, 4}}
	for name, makeNew := range map[string]func(p *route.Picker){
		"new": func(p *route.Picker) {
			p.SetTargets(testStart, testTargets(1)[1:])
			p.SetTargets(testStart, testTargets(1))
		},
		"announced": func(p *route.Picker) {
			p.SetLeaving(testStart, "riga-a-0", true)
			p.SetLeaving(testStart, "riga-a-0", false)
		},
		"listed as leaving": func(p *route.Picker) {
			all := testTargets(1)
			all[0].Leaving = true
			p.SetTargets(testStart, all)
			p.SetTargets(testStart, testTargets(1))
		},
	} {
		for _, tt := range tests {
			p := newPicker(1)
			makeNew(p)
			p.SetLeaving(testStart, "riga-b-0", true)
			n := 0
			for ; n < 10; n++ {
				ref, ok := p.Pick(testStart.Add(tt.age), localPlace, "workshop", nil)
				if !ok {
					break
				}
				p.Started(ref)
			}
			if n != tt.want {
				t.Errorf("%s: %d requests at once after %v, want %d", name, n, tt.age, tt.want)
			}
		}
	}
}

// Guards against serving a request outside its drawn region, in particular after it has waited.
func TestPickInStaysInRegion(t *testing.T) {
	p := newPicker(1)
	p.SetWeights("workshop", "riga", []shift.Weight{{Region: "riga", Share: 500_000}, {Region: "tartu", Share: 500_000}})
	p.SetLimit("riga-a-0", 0)
	p.SetLimit("riga-b-0", 0)
	drawn := map[ident.Region]int{}
	for range 1000 {
		r, _ := p.DrawRegion("riga", "workshop")
		drawn[r]++
		ref, ok := p.PickInRegion(testStart, localPlace, "workshop", r, nil, 0)
		if ok != (r == "tartu") || ok && ref.Target().Place.Region != r {
			t.Fatalf("drawn %s, chosen %v", r, ok)
		}
	}
	if drawn["riga"] < 450 || drawn["tartu"] < 450 {
		t.Errorf("drawn %v for equal weights", drawn)
	}
}

// Guards against sending requests to a target that is much slower than the others although another slot frees up sooner,
// and against never measuring such a target again.
func TestSlowTarget(t *testing.T) {
	picksAfter := func(after, wait time.Duration) map[string]int {
		p := newPicker(2)
		for _, tg := range testTargets(2)[:4] {
			finishRequests(p, testStart, tg.Name, 50, 20*time.Millisecond, route.OK)
			if tg.Name != "riga-a-0" {
				fillTarget(p, tg.Name)
			}
		}
		p.SetLimit("riga-a-0", 3)
		finishRequests(p, testStart, "riga-a-0", 10, 200*time.Millisecond, route.OK)
		got := map[string]int{}
		for range 3 {
			ref, ok := p.PickInRegion(testStart.Add(after), localPlace, "workshop", "riga", nil, wait)
			if !ok {
				got["none"]++
				continue
			}
			got[byName(ref.Target())]++
			p.Started(ref)
		}
		return got
	}
	tests := []struct {
		after, wait time.Duration
		want        map[string]int
	}{
		{time.Second, 10 * time.Millisecond, map[string]int{"none": 3}},
		{time.Second, time.Second, map[string]int{"riga-a-0": 3}},
		{10 * time.Second, 10 * time.Millisecond, map[string]int{"riga-a-0": 1, "none": 2}},
	}
	for _, tt := range tests {
		if got := picksAfter(tt.after, tt.wait); fmt.Sprint(got) != fmt.Sprint(tt.want) {
			t.Errorf("%v later with a wait of %v: got %v, want %v", tt.after, tt.wait, got, tt.want)
		}
	}
}

// Guards against a retry at the same target, and in the same failure domain while another one has a free slot.
func TestRetryAvoidsExcludedDomain(t *testing.T) {
	p := newPicker(2)
	excluded, _ := p.Lookup("riga-a-0")
	if got := countPicks(p, testStart, 100, byDomain, excluded); got["riga-b"] != 100 {
		t.Errorf("retry went to %v, want the other failure domain", got)
	}
	p.SetLimit("riga-b-0", 0)
	p.SetLimit("riga-b-1", 0)
	if got := countPicks(p, testStart, 100, byName, excluded); got["riga-a-1"] != 100 {
		t.Errorf("retry went to %v, want the other target of the domain", got)
	}
}

// Guards against choices that rest on outdated latencies and loads.
func TestOldMeasurementsAreIgnored(t *testing.T) {
	p := newPicker(2)
	finishRequests(p, testStart, "riga-a-0", 50, 100*time.Millisecond, route.OK)
	p.RecordLoad("riga-a-1", 1, testStart)
	if got := countPicks(p, testStart.Add(31*time.Second), 1000, byName); got["riga-a-0"] < 400 || got["riga-a-1"] < 400 {
		t.Errorf("outdated latency or load decides the choice: %v", got)
	}
}

// Guards against heap allocations in Pick.
func TestPickDoesNotAllocate(t *testing.T) {
	p := newPicker(30)
	ref, _ := p.Lookup("riga-a-0")
	exclude := []route.TargetRef{ref}
	if n := testing.AllocsPerRun(1000, func() { p.Pick(testStart, localPlace, "workshop", exclude) }); n != 0 {
		t.Errorf("%v allocations per Pick", n)
	}
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{30, 500} {
		for _, state := range []string{"idle", "busy", "local-full"} {
			b.Run(fmt.Sprintf("targets=%d/%s", n, state), func(b *testing.B) {
				p := newPicker(n / 2)
				for _, tg := range testTargets(n / 2) {
					if state == "busy" {
						finishRequests(p, testStart, tg.Name, 3, 20*time.Millisecond, route.OK)
						p.RecordLoad(tg.Name, 0.5, testStart)
					}
					if state == "local-full" && tg.Place == localPlace {
						p.SetLimit(tg.Name, 0)
					}
				}
				b.ReportAllocs()
				for b.Loop() {
					p.Pick(testStart.Add(time.Second), localPlace, "workshop", nil)
				}
			})
		}
	}
}

// Guards against requests that wait up to 10 s for a faster target that does not exist. This happened when the latency of
// all targets of a region (a single one is enough) rose above the region's mean at the same time.
func TestAllSlow(t *testing.T) {
	for _, n := range []int{1, 3} {
		p := route.New(rand.NewPCG(1, 2))
		var targets []route.Target
		for i := range n {
			targets = append(targets, route.Target{
				Name: ident.Target(fmt.Sprint("t", i)), Service: "desk", Slots: 4,
				Place: ident.Place{Region: "riga", Domain: "riga-a"},
			})
		}
		p.SetTargets(testStart, targets)
		from := ident.Place{Region: "riga", Domain: "riga-a"}
		for i := range 200 {
			for _, tg := range targets {
				latency := time.Millisecond
				if i > 190 {
					latency = 200 * time.Millisecond
				}
				ref, _ := p.Lookup(tg.Name)
				p.Started(ref)
				p.Finished(testStart.Add(time.Duration(i)*time.Second), ref, latency, route.OK)
			}
		}
		// A target of which this entry has no slots must not count as a faster one. Otherwise requests wait for 10 s, as they did
		// in TestPlannedStopCutsNothing.
		targets = append(targets, route.Target{Name: "other", Service: "desk", Slots: 4, Place: from})
		p.SetTargets(testStart.Add(200*time.Second), targets)
		p.SetLimit("other", 0)
		if _, ok := p.PickInRegion(testStart.Add(200*time.Second), from, "desk", "riga", nil, 0); !ok {
			t.Errorf("%d targets that all became slow: none is chosen", n)
		}
		for i := range n {
			ref, _ := p.Lookup(ident.Target(fmt.Sprint("t", i)))
			p.Started(ref)
			p.Finished(testStart.Add(200*time.Second), ref, time.Millisecond, route.Unreachable)
		}
		if _, ok := p.PickInRegion(testStart.Add(300*time.Second), from, "desk", "riga", route.ExcludeTrials, 0); !ok {
			t.Errorf("%d targets that all failed and are due for a trial: none is chosen", n)
		}
	}
}
