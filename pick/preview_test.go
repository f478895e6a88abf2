package pick

import (
	"fmt"
	"math/rand"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/currantpier/currantpier/fleet"
	"github.com/currantpier/currantpier/ident"
)

// randomRun drives a Picker through random events. Two runs with one seed make the same events as long as their Pickers choose alike.
type randomRun struct {
	p        *Picker
	rng      *rand.Rand
	now      time.Time
	snapshot *fleet.Snapshot
	route    *fleet.Route
	open     []openRequest
	// busy makes the targets of the VM's own region report long queues, and requests have short deadlines. No target fails, since a
	// failure lifts the limit on moves between regions.
	busy bool
}

type openRequest struct {
	request Request
	choice  Choice
}

func newRandomRun(seed int64) *randomRun {
	r := &randomRun{rng: rand.New(rand.NewSource(seed)), now: start, snapshot: snapshot(4, 20), busy: seed%3 == 1}
	var options []Option
	if seed%2 == 0 {
		options = append(options, WithHolders())
	}
	r.p = New("vm", here, options...)
	r.p.SetVMs([]ident.VM{"vm", "vm2"}, seed%5 != 0)
	x := *route
	x.Services = []fleet.WeightedService{{Service: "s", Weight: 2}, {Service: "none", Weight: 1}}
	r.route = &x
	r.p.SetTargets(start, r.snapshot)
	return r
}

func (r *randomRun) randomRequest() Request {
	a := Request{Route: r.route, Service: "s", Deadline: r.now.Add(time.Duration(100+r.rng.Intn(2000)) * time.Millisecond)}
	if r.busy {
		a.Deadline = r.now.Add(time.Duration(200+r.rng.Intn(600)) * time.Millisecond)
	}
	switch r.rng.Intn(4) {
	case 0:
	case 1:
		a.Object = NewObject("r", []byte("hot"))
	default:
		a.Object = NewObject("r", fmt.Append(nil, r.rng.Intn(20)))
	}
	switch r.rng.Intn(10) {
	case 0:
		a.Regions = []ident.Region{"b"}
	case 1:
		a.Regions = []ident.Region{"a", "x"}
	case 2:
		a.Excluded = []ident.Target{"a0", "b1"}
	case 3:
		a.Only = []ident.Target{"a1", "c2"}
	case 4:
		a.Service = "none"
	}
	return a
}

// step makes one random event, and returns the request and its choice if the event was a request.
func (r *randomRun) step(before func(Request)) (c Choice, reason Reason, isRequest bool) {
	r.now = r.now.Add(time.Duration(r.rng.Intn(40)) * time.Millisecond)
	list := r.snapshot.Targets["s"]
	t := &list[r.rng.Intn(len(list))]
	switch x := r.rng.Intn(100); {
	case x < 50:
		a := r.randomRequest()
		before(a)
		c, reason = r.p.Choose(r.now, a)
		if reason == Chosen {
			r.p.RecordStart(r.now, a, c)
			r.open = append(r.open, openRequest{a, c})
		}
		return c, reason, true
	case x < 90 && len(r.open) > 0:
		i := r.rng.Intn(len(r.open))
		o := r.open[i]
		r.open = slices.Delete(r.open, i, i+1)
		results := []Result{Served, Served, Served, Served, Overloaded, ServerError, Invalid, TimedOut, Unreachable, Cancelled}
		if r.busy {
			results = results[:5]
		}
		end := Outcome{Result: results[r.rng.Intn(len(results))], Duration: time.Duration(1+r.rng.Intn(600)) * time.Millisecond}
		end.Refused = end.Result == Unreachable
		if end.Result == Served {
			end.Status, end.Duration = 200, end.Duration/2
			end.Load = &Load{Running: r.rng.Intn(5), Slots: 4, Pace: r.rng.Intn(2) * r.rng.Intn(300)}
			if r.busy && o.choice.Target.Place.Region == "a" {
				end.Load.Waiting = 30
			}
		}
		r.p.RecordEnd(r.now, o.request, o.choice, end)
	case x < 92:
		r.p.RecordBackOff(r.now, t, time.Duration(r.rng.Intn(800))*time.Millisecond)
	case x == 92 && r.rng.Intn(3) == 0:
		r.p.RecordLeaving(r.now, t)
	case x == 93:
		t.ColdUntil = r.now.Add(time.Second)
		r.p.SetTargets(r.now, r.snapshot)
	case x == 94:
		t.StartedUnixMS = r.now.UnixMilli()
		r.p.SetTargets(r.now, r.snapshot)
	case x == 95:
		r.p.RecordReports(r.now, []fleet.LoadReport{{Target: processHash(t), Load: uint16(r.rng.Intn(9)), Pace: 20}})
	case x == 96:
		r.p.Service(r.now, r.route, Object(r.rng.Uint64()|1))
	}
	return Choice{}, Chosen, false
}

// dump returns all state that dumps show, in a fixed order.
func (r *randomRun) dump() []any {
	targets, routes := r.p.Dump(r.now)
	slices.SortFunc(targets, func(a, b TargetState) int { return int(a.ID[0])*10 + int(a.ID[1]) - int(b.ID[0])*10 - int(b.ID[1]) })
	return []any{targets, routes, r.p.Notices(), r.p.HotObjects(r.now)}
}

// Guards against a preview that states another decision than the request gets, and against one that changes later decisions: the
// demand of objects, service times, pacers, random choices, the limit on moves between regions or the split among services.
func TestPreviewEqualsChoiceAndChangesNothing(t *testing.T) {
	seen := map[string]int{}
	for seed := range int64(20) {
		with, without := newRandomRun(seed), newRandomRun(seed)
		for i := range 1500 {
			var v Preview
			c, reason, isRequest := with.step(func(a Request) {
				before := with.dump()
				service := with.p.PreviewService(with.route, a.Object)
				v = with.p.Preview(with.now, a)
				if again := with.p.Preview(with.now, a); !reflect.DeepEqual(v, again) {
					t.Fatalf("seed %d, step %d: a second preview differs: %s", seed, i, cmp.Diff(v, again))
				}
				if after := with.dump(); !reflect.DeepEqual(before, after) {
					t.Fatalf("seed %d, step %d: the preview changed the state: %s", seed, i, cmp.Diff(before, after))
				}
				if got := with.p.Service(with.now, with.route, a.Object); got != service {
					t.Fatalf("seed %d, step %d: service %s, preview %s", seed, i, got, service)
				}
			})
			c2, reason2, _ := without.step(func(a Request) { without.p.Service(without.now, without.route, a.Object) })
			if reason != reason2 || !reflect.DeepEqual(c, c2) {
				t.Fatalf("seed %d, step %d: %v %s after previews, %v %s without", seed, i, reason, c.Target.ID, reason2, c2.Target.ID)
			}
			if !isRequest {
				continue
			}
			seen[v.Reason]++
			if v.Reason != reason.String() || v.Target != c.Target.ID {
				t.Fatalf("seed %d, step %d: preview %s %s, choice %s %s", seed, i, v.Reason, v.Target, reason, c.Target.ID)
			}
			checkPreview(t, &v, c)
		}
		if d := cmp.Diff(without.dump(), with.dump()); d != "" {
			t.Fatalf("seed %d: the previews changed the state: %s", seed, d)
		}
	}
	t.Log(seen)
	for _, r := range []Reason{Chosen, NoTarget, AllLeaving, BackedOff, ColdOnly, TooLate, RegionLimit} {
		if seen[r.String()] == 0 {
			t.Errorf("no request with the reason %s", r)
		}
	}
}

// checkPreview checks that the table agrees with the decision.
func checkPreview(t *testing.T, v *Preview, c Choice) {
	t.Helper()
	excluded := 0
	for _, n := range v.Excluded {
		excluded += n
	}
	if len(v.Targets) != v.Eligible+excluded {
		t.Fatalf("%d targets, %d eligible, excluded %v", len(v.Targets), v.Eligible, v.Excluded)
	}
	for i, x := range v.Targets {
		if (x.Excluded == "") != (i < v.Eligible) || (x.Terms != nil) != (i < v.Eligible) {
			t.Fatalf("target %d of %d eligible ones: %+v", i, v.Eligible, x)
		}
		if x.Terms == nil {
			continue
		}
		s := x.Terms
		if sum := s.ExpectedMS + s.FailuresMS + s.DistanceMS + s.MissMS + s.SpreadMS + s.BalanceMS; sum-x.CostMS > 1e-3 || x.CostMS-sum > 1e-3 {
			t.Fatalf("the terms of %+v have the sum %v", x, sum)
		}
	}
	if v.Target != "" && (v.Targets[0].ID != v.Target || v.Targets[0].Known != c.Known || v.Targets[0].Holder != c.Holder || v.Targets[0].Late) {
		t.Fatalf("first target %+v, choice %+v", v.Targets[0], c)
	}
}

// Guards against an exclusion that is counted under another cause.
func TestPreviewCountsExclusions(t *testing.T) {
	p := New("vm", here)
	s := snapshot(3, 0)
	s.Targets["s"][5].ColdUntil = at(time.Minute)
	p.SetTargets(start, s)
	list := s.Targets["s"]
	p.RecordLeaving(start, &list[0])
	p.RecordBackOff(start, &list[1], time.Second)
	a := request(start, "k")
	finish(p, a, list[3].ID, Unreachable)
	finish(p, a, list[4].ID, Misdirected)
	a.Excluded, a.Regions = []ident.Target{list[2].ID}, []ident.Region{"a", "b"}
	v := p.Preview(start, a)
	want := map[string]int{"leaving": 1, "backed-off": 1, "tried": 1, "replaced": 1, "cold": 1, "not-allowed": 3}
	if d := cmp.Diff(want, v.Excluded); d != "" || v.Target != list[3].ID || !v.Targets[0].Suspect {
		t.Errorf("target %s, want the suspect %s; excluded: %s", v.Target, list[3].ID, d)
	}
}

// Guards against a source whose values differ from those of rand.NewSource, which the simulations' results depend on.
func TestPeekSourceKeepsSequence(t *testing.T) {
	p, want := New("vm", here), rand.New(rand.NewSource(int64(New("vm", here).selfHash)))
	for i := range 1000 {
		if i%3 == 0 {
			p.spreadSource.peek()
		}
		if i%2 == 0 {
			if got, want := p.spread.Float64(), want.Float64(); got != want {
				t.Fatalf("value %d: %v, want %v", i, got, want)
			}
		} else if got, want := p.spread.Uint64(), want.Uint64(); got != want {
			t.Fatalf("value %d: %v, want %v", i, got, want)
		}
	}
}
