package plan_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	gocmp "github.com/google/go-cmp/cmp"

	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/kinds"
	"github.com/currantpier/currantpier/lists"
	"github.com/currantpier/currantpier/plan"
	"github.com/currantpier/currantpier/shift"
	"github.com/currantpier/currantpier/store"
)

var start = time.Unix(1_800_000_000, 0)

// newInput returns a deployment in which each site has the given number of targets with 4 slots each, and each entry
// has demand for each site of its region.
func newInput(sites, targets, regions, entries int) plan.Input {
	in := plan.Input{Term: 1, Rules: shift.Settings{Cap: shift.Cap{PerStep: 50_000, PerMinute: 200_000}}}
	place := func(i int) ident.Place {
		r, d := i%regions, i/regions%2
		return ident.Place{Region: ident.Region(fmt.Sprintf("r%02d", r)), Domain: ident.Domain(fmt.Sprintf("r%02d-%d", r, d))}
	}
	rng := rand.New(rand.NewPCG(1, 6))
	for i := range entries {
		in.Entries = append(in.Entries, plan.Entry{VM: ident.VM(fmt.Sprintf("entry-%04d", i)), Place: place(i)})
	}
	for i := range sites {
		svc := ident.Service(fmt.Sprintf("svc-%02d", i/regions))
		for k := range targets {
			in.VMs = append(in.VMs, store.VMInfo{
				Name: fmt.Sprintf("%s-%s-%d", svc, place(i).Region, k), Role: store.RoleUpstream, State: store.Live,
				Place: place(i%regions + k%2*regions), Service: svc, Slots: 4, Address: "127.0.0.1:1",
			})
		}
		for e := i % regions; e < entries; e += regions {
			in.Demand = append(in.Demand, plan.Demand{
				Service: svc, Region: place(i).Region, Entry: in.Entries[e].VM, Slots: rng.Float64() * 0.1, Mbps: 0.1,
			})
		}
	}
	for a := range regions {
		for b := range regions {
			in.Links = append(in.Links, plan.Link{From: place(a).Region, To: place(b).Region, Limit: 280})
		}
	}
	sortDemand(&in)
	setReportTimes(&in, start)
	return in
}

func sortDemand(in *plan.Input) {
	slices.SortFunc(in.Demand, func(a, b plan.Demand) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Region, b.Region), cmp.Compare(a.Entry, b.Entry))
	})
}

// setReportTimes sets the time of all reports and link measurements to now.
func setReportTimes(in *plan.Input, now time.Time) {
	for i := range in.Entries {
		in.Entries[i].Reported = now
	}
	for i := range in.Links {
		in.Links[i].At = now
	}
}

// computePerSecond computes and validates one plan for each second. All entries acknowledge every version immediately.
func computePerSecond(t *testing.T, in plan.Input, p plan.TrafficPlan, from time.Time, seconds int) plan.TrafficPlan {
	t.Helper()
	for i := range seconds {
		now := from.Add(time.Duration(i) * time.Second)
		setReportTimes(&in, now)
		for k := range in.Entries {
			in.Entries[k].Acked = p.Version
		}
		next, _ := plan.Compute(in, p, now)
		if err := plan.Validate(next); err != nil {
			t.Fatalf("after %d s: %v", i, err)
		}
		if err := plan.CheckSuccessor(p, next); err != nil {
			t.Fatal(err)
		}
		p = next
	}
	return p
}

func routeWeights(t *testing.T, p plan.TrafficPlan, svc ident.Service, origin ident.Region) []plan.Weight {
	t.Helper()
	for _, r := range p.Routes {
		if r.Service == svc && r.Origin == origin {
			return r.Weights
		}
	}
	t.Fatalf("no route of %s from %s", svc, origin)
	return nil
}

// Guards against routes that differ from the configured moves, drains and available targets, and against shifts that
// exceed the cap.
func TestComputeRoutes(t *testing.T) {
	local := []plan.Weight{{Region: "r00", Share: ident.Whole}}
	spread := []plan.Weight{{Region: "r01", Share: 500_000}, {Region: "r02", Share: 500_000}}
	tests := []struct {
		name   string
		change func(in *plan.Input)
		// firstReason is the reason of the first computation after the change. The weights are those after one more
		// computation and 10 min later.
		firstReason         shift.Reason
		after1s, after10min []plan.Weight
	}{
		{"no change", func(*plan.Input) {}, shift.AtGoal, local, local},
		{"move", func(in *plan.Input) {
			in.Config.Moves = []lists.Move{{Service: "svc-00", From: "r00", To: "r01", Share: 250_000}}
		}, shift.Stepped, []plan.Weight{{Region: "r00", Share: 950_000}, {Region: "r01", Share: 50_000}},
			[]plan.Weight{{Region: "r00", Share: 750_000}, {Region: "r01", Share: 250_000}}},
		{"move to a region without targets", func(in *plan.Input) {
			in.Config.Moves = []lists.Move{{Service: "svc-00", From: "r00", To: "r77", Share: 250_000}}
		}, shift.AtGoal, local, local},
		{"drain of a region", func(in *plan.Input) {
			in.Config.Drains = []lists.Drain{{Scope: lists.ScopeRegion, Name: "r00"}}
		}, shift.Stepped, []plan.Weight{{Region: "r00", Share: 950_000}, {Region: "r01", Share: 25_000}, {Region: "r02", Share: 25_000}},
			spread},
		{"drain of a domain", func(in *plan.Input) {
			in.Config.Drains = []lists.Drain{{Scope: lists.ScopeDomain, Name: "r00-0"}}
		}, shift.AtGoal, local, local},
		{"targets of a region gone", func(in *plan.Input) {
			in.VMs = slices.DeleteFunc(slices.Clone(in.VMs), func(v store.VMInfo) bool { return v.Place.Region == "r00" })
		}, shift.Stepped, []plan.Weight{{Region: "r00", Share: 950_000}, {Region: "r01", Share: 25_000}, {Region: "r02", Share: 25_000}},
			spread},
		{"empty platform list", func(in *plan.Input) { in.VMs = nil }, shift.AtGoal, local, local},
		{"no headroom elsewhere", func(in *plan.Input) {
			in.Config.Drains = []lists.Drain{{Scope: lists.ScopeRegion, Name: "r00"}}
			for i := range in.Demand {
				if in.Demand[i].Region != "r00" {
					in.Demand[i].Slots = 10
				}
			}
		}, shift.HoldHeadroom, local, local},
		{"no headroom on the links", func(in *plan.Input) {
			in.Config.Drains = []lists.Drain{{Scope: lists.ScopeRegion, Name: "r00"}}
			for i := range in.Links {
				in.Links[i].Used = 280
			}
		}, shift.HoldLink, local, local},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			in := newInput(6, 4, 3, 12)
			p := computePerSecond(t, in, plan.TrafficPlan{}, start, 3)
			tt.change(&in)
			now := start.Add(3 * time.Second)
			setReportTimes(&in, now)
			_, why := plan.Compute(in, p, now)
			first := shift.AtGoal
			for _, r := range why.Routes {
				if r.Service == "svc-00" && r.Origin == "r00" {
					first = r.Reason
				}
			}
			if first != tt.firstReason {
				t.Errorf("first reason %v, want %v", first, tt.firstReason)
			}
			p = computePerSecond(t, in, p, now, 1)
			if got := routeWeights(t, p, "svc-00", "r00"); !slices.Equal(got, tt.after1s) {
				t.Errorf("weights after one computation: %v, want %v", got, tt.after1s)
			}
			p = computePerSecond(t, in, p, now.Add(time.Second), 600)
			if got := routeWeights(t, p, "svc-00", "r00"); !slices.Equal(got, tt.after10min) {
				t.Errorf("weights after 10 min: %v, want %v", got, tt.after10min)
			}
		})
	}
}

// Guards against a shift that advances while reports are stale of a live entry in the origin, in the destination, or in
// a third region that sends traffic to the destination.
func TestComputeHoldsWithoutReports(t *testing.T) {
	tests := []struct {
		entry  int
		silent bool
		// remote is true if r02 already sends part of its traffic to r01.
		remote bool
		want   shift.Reason
	}{
		{0, false, false, shift.HoldStale}, {1, false, false, shift.HoldStale}, {2, false, false, shift.Stepped},
		{1, true, false, shift.Stepped}, {2, false, true, shift.HoldStale},
	}
	for _, tt := range tests {
		in := newInput(6, 4, 3, 12)
		if tt.remote {
			in.Config.Moves = []lists.Move{{Service: "svc-00", From: "r02", To: "r01", Share: 250_000}}
		}
		p := computePerSecond(t, in, plan.TrafficPlan{}, start, 3)
		in.Config.Moves = append(in.Config.Moves, lists.Move{Service: "svc-00", From: "r00", To: "r01", Share: 250_000})
		setReportTimes(&in, start.Add(3*time.Second))
		in.Entries[tt.entry].Reported = start.Add(-8 * time.Second)
		if tt.silent {
			in.Entries[tt.entry].Silent = time.Second
		}
		_, why := plan.Compute(in, p, start.Add(3*time.Second))
		if len(why.Routes) != 1 || why.Routes[0].Reason != tt.want {
			t.Errorf("%+v: got %v", tt, why.Routes)
		}
	}
}

// Guards against a further step while a live entry of the origin has not applied the last one: after a restart, it
// would apply both steps at once.
func TestComputeWaitsForAcknowledgements(t *testing.T) {
	in := newInput(6, 4, 3, 12)
	p := computePerSecond(t, in, plan.TrafficPlan{}, start, 3)
	in.Config.Moves = []lists.Move{{Service: "svc-00", From: "r00", To: "r01", Share: 250_000}}
	now := start.Add(3 * time.Second)
	p = computePerSecond(t, in, p, now, 1)
	stepped := p.Version
	behind := slices.IndexFunc(in.Entries, func(e plan.Entry) bool { return e.Place.Region == "r00" })
	for _, tt := range []struct {
		name  string
		acked ident.Version
		// silent is nonzero if the entry that is behind has failed.
		silent time.Duration
		want   shift.Reason
	}{
		{"behind", stepped - 1, 0, shift.HoldUnacked}, {"failed", stepped - 1, time.Second, shift.Stepped},
		{"applied", stepped, 0, shift.Stepped},
	} {
		later := now.Add(2 * time.Minute)
		setReportTimes(&in, later)
		for i := range in.Entries {
			in.Entries[i].Acked = stepped
		}
		in.Entries[behind].Acked, in.Entries[behind].Silent = tt.acked, tt.silent
		_, why := plan.Compute(in, p, later)
		if len(why.Routes) != 1 || why.Routes[0].Reason != tt.want {
			t.Errorf("%s: got %v, want %v", tt.name, why.Routes, tt.want)
		}
	}
}

// Guards against several shifts that together exceed the headroom of one region.
func TestComputeDividesHeadroom(t *testing.T) {
	in := newInput(3, 4, 3, 12)
	in.Rules.Cap = shift.Cap{PerStep: ident.Whole, PerMinute: ident.Whole}
	for i := range in.Demand {
		in.Demand[i].Slots = 0.7 // 2.8 of 16 slots in use in each region; moved, that traffic needs 5.6
	}
	p := computePerSecond(t, in, plan.TrafficPlan{}, start, 3)
	for _, from := range []ident.Region{"r01", "r02"} {
		in.Config.Moves = append(in.Config.Moves, lists.Move{Service: "svc-00", From: from, To: "r00", Share: ident.Whole})
	}
	p = computePerSecond(t, in, p, start.Add(3*time.Second), 1)
	moved := ident.PPM(0)
	for _, from := range []ident.Region{"r01", "r02"} {
		for _, w := range routeWeights(t, p, "svc-00", from) {
			if w.Region == "r00" {
				moved += w.Share
			}
		}
	}
	// 85% of 16 slots minus 2.8 leave 10.8; both shifts together need 11.2.
	if want := ident.PPM(1_928_571); moved < want-2 || moved > want+2 {
		t.Errorf("%d ppm moved at once, want %d", moved, want)
	}
}

// Guards against slots that are lost, granted twice or reassigned too early when a target or an entry disappears or is
// drained, or when the lease holder changes.
func TestComputeGrants(t *testing.T) {
	granted := func(p plan.TrafficPlan, match func(plan.Grant) bool) (n ident.Slots) {
		for _, g := range p.Grants {
			if match(g) {
				n += g.MaxInUse()
			}
		}
		return n
	}
	all := func(plan.Grant) bool { return true }
	of := func(vm ident.VM) func(plan.Grant) bool { return func(g plan.Grant) bool { return g.Entry == vm } }
	in := newInput(6, 4, 3, 12)
	p := computePerSecond(t, in, plan.TrafficPlan{}, start, 3)
	before := granted(p, of("entry-0000"))
	if got := granted(p, all); got != 96 || before == 0 {
		t.Fatalf("%d slots granted of 96, %d to entry-0000", got, before)
	}
	tests := []struct {
		name    string
		change  func(in *plan.Input)
		seconds int
		all     ident.Slots
		kept    bool
	}{
		{"new lease holder does not know the entry yet", func(in *plan.Input) {
			in.Entries, in.ObservedFor = in.Entries[1:], 59*time.Second
		}, 5, 96, true},
		{"entry is silent for 60 s", func(in *plan.Input) {
			in.Entries, in.ObservedFor = in.Entries[1:], 60*time.Second
		}, 5, 96, false},
		{"target is drained", func(in *plan.Input) {
			in.Config.Drains = []lists.Drain{{Scope: lists.ScopeTarget, Name: in.VMs[0].Name}}
		}, 5, 92, true},
		{"target is gone", func(in *plan.Input) { in.VMs = in.VMs[1:] }, 5, 92, true},
		{"domain is drained", func(in *plan.Input) {
			in.Config.Drains = []lists.Drain{{Scope: lists.ScopeDomain, Name: "r00-0"}}
			for i := range in.Demand {
				if in.Demand[i].Entry == "entry-0000" {
					in.Demand[i].Slots = 2
				}
			}
		}, 5, 80, true},
		{"region begins to drain", func(in *plan.Input) {
			in.Config.Drains = []lists.Drain{{Scope: lists.ScopeRegion, Name: "r00"}}
		}, 5, 96, true},
		{"region is drained", func(in *plan.Input) {
			in.Config.Drains = []lists.Drain{{Scope: lists.ScopeRegion, Name: "r00"}}
		}, 600, 64, false},
	}
	for _, tt := range tests {
		in := newInput(6, 4, 3, 12)
		tt.change(&in)
		after := computePerSecond(t, in, p, start.Add(3*time.Second), tt.seconds)
		if got := granted(after, all); got != tt.all {
			t.Errorf("%s: %d slots granted, want %d", tt.name, got, tt.all)
		}
		if kept := granted(after, of("entry-0000")) > 0; kept != tt.kept {
			t.Errorf("%s: entry-0000 has %d slots of %d", tt.name, granted(after, of("entry-0000")), before)
		}
	}
}

// Guards against plans that differ for the same input, and against an unchanged plan that is reported as changed.
func TestComputeIsDeterministic(t *testing.T) {
	in := newInput(30, 4, 5, 40)
	p := computePerSecond(t, in, plan.TrafficPlan{}, start, 5)
	in.Config.Drains = []lists.Drain{{Scope: lists.ScopeRegion, Name: "r02"}}
	now := start.Add(5 * time.Second)
	setReportTimes(&in, now)
	a, why := plan.Compute(in, p, now)
	b, _ := plan.Compute(in, p, now)
	if diff := gocmp.Diff(a, b); diff != "" || !why.Changed {
		t.Errorf("changed %v; two results for one input: %s", why.Changed, diff)
	}
	in.Config.Drains = nil
	if _, why := plan.Compute(in, p, now); why.Changed {
		t.Error("a plan without a change was reported as changed")
	}
}

// Guards against accepting a plan that grants more slots than a target has, or whose shares don't add up to the whole.
func TestValidate(t *testing.T) {
	tests := []struct {
		name   string
		change func(p *plan.TrafficPlan)
		ok     bool
	}{
		{"valid", func(*plan.TrafficPlan) {}, true},
		{"no version", func(p *plan.TrafficPlan) { p.Version = 0 }, false},
		{"too many slots", func(p *plan.TrafficPlan) { p.Grants[0].Slots++ }, false},
		{"negative slots", func(p *plan.TrafficPlan) { p.Grants[0].Slots = -1 }, false},
		{"grant of a later version", func(p *plan.TrafficPlan) { p.Grants[0].ReservedSince = p.Version + 1 }, false},
		{"grant twice", func(p *plan.TrafficPlan) { p.Grants[1] = p.Grants[0] }, false},
		{"unknown target", func(p *plan.TrafficPlan) { p.Targets = p.Targets[1:] }, false},
		{"targets out of order", func(p *plan.TrafficPlan) { p.Targets[0], p.Targets[1] = p.Targets[1], p.Targets[0] }, false},
		{"shares below the whole", func(p *plan.TrafficPlan) { p.Routes[0].Weights[0].Share-- }, false},
		{"region twice", func(p *plan.TrafficPlan) {
			p.Routes[0].Weights = []plan.Weight{{Region: "r00", Share: 500_000}, {Region: "r00", Share: 500_000}}
		}, false},
		{"route twice", func(p *plan.TrafficPlan) { p.Routes[1] = p.Routes[0] }, false},
	}
	for _, tt := range tests {
		p := computePerSecond(t, newInput(6, 4, 3, 12), plan.TrafficPlan{}, start, 3)
		tt.change(&p)
		err := plan.Validate(p)
		if (err == nil) != tt.ok || err != nil && kinds.Of(err) != kinds.BadRequest {
			t.Errorf("%s: %v", tt.name, err)
		}
	}
	old, next := plan.TrafficPlan{Version: 5, Term: 3}, plan.TrafficPlan{Version: 6, Term: 2}
	if k := kinds.Of(plan.CheckSuccessor(old, next)); k != kinds.Fenced {
		t.Errorf("plan of an older term: %v", k)
	}
	if k := kinds.Of(plan.CheckSuccessor(old, old)); k != kinds.Conflict {
		t.Errorf("the same version: %v", k)
	}
}

func BenchmarkCompute(b *testing.B) {
	for _, n := range []struct{ sites, regions, entries int }{{6, 3, 12}, {135, 13, 800}, {540, 25, 3200}} {
		in := newInput(n.sites, 4, n.regions, n.entries)
		first, _ := plan.Compute(in, plan.TrafficPlan{}, start)
		name := fmt.Sprintf("sites=%d,entries=%d", n.sites, n.entries)
		b.Run(name+"/first", func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				plan.Compute(in, plan.TrafficPlan{}, start)
			}
		})
		b.Run(name+"/same", func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				plan.Compute(in, first, start)
			}
		})
		rush := in
		rush.Demand = slices.Clone(in.Demand)
		for i := range rush.Demand {
			rush.Demand[i].Slots = rush.Demand[len(rush.Demand)-1-i].Slots * 20
		}
		b.Run(name+"/rush", func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				plan.Compute(rush, first, start)
			}
		})
		drain := in
		drain.Config.Drains = []lists.Drain{{Scope: lists.ScopeRegion, Name: "r00"}}
		drained, _ := plan.Compute(drain, first, start)
		b.Run(name+"/drain", func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				plan.Compute(drain, drained, start.Add(time.Second))
			}
		})
	}
}
