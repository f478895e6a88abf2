package pick

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/currantpier/currantpier/fleet"
	"github.com/currantpier/currantpier/ident"
)

// Guards against a choice outside the home regions of a route when no target there is free, warm, sound or left: suspects,
// requests that leave an object's home region, cold targets, parts of a split and further attempts have ways of their own
// through Choose. Targets, outcomes and routes are random.
func TestChoiceStaysInHomes(t *testing.T) {
	regions := []ident.Region{"a", "b", "c", "d"}
	services := []ident.Service{"s", "s2"}
	rapid.Check(t, func(t *rapid.T) {
		now := start
		p := New("vm", ident.Place{Region: rapid.SampledFrom(regions).Draw(t, "own region"), Domain: "x1"})
		type sent struct {
			request Request
			choice  Choice
		}
		var inProgress []sent
		update := func(t *rapid.T) {
			s := snapshot(0, 10)
			for i := range rapid.IntRange(0, 10).Draw(t, "targets") {
				region := rapid.SampledFrom(regions).Draw(t, "region")
				svc := rapid.SampledFrom(services).Draw(t, "service")
				x := fleet.Target{Entry: fleet.Entry{ID: ident.Target(fmt.Sprint("t", i)), Service: svc, Slots: 2,
					Place: ident.Place{Region: region, Domain: ident.Domain(region + "1")}}}
				if rapid.Bool().Draw(t, "cold") {
					x.ColdUntil = now.Add(time.Second)
				}
				s.Targets[svc] = append(s.Targets[svc], x)
			}
			p.SetTargets(now, s)
		}
		update(t)
		t.Repeat(map[string]func(*rapid.T){
			"update": update,
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"send": func(t *rapid.T) {
				r := *route
				r.Services = []fleet.WeightedService{{Service: "s", Weight: 1}, {Service: "s2", Weight: 1}}
				r.Regions = rapid.SliceOfNDistinct(rapid.SampledFrom(append(regions, "", "none")), 1, 3, rapid.ID).Draw(t, "homes")
				a := Request{Route: &r, Object: NewObject("r", []byte(rapid.SampledFrom([]string{"", "k", "l"}).Draw(t, "key"))),
					Deadline: now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "left")) * time.Millisecond)}
				a.Service = p.Service(now, &r, a.Object)
				a.Regions = rapid.SliceOfNDistinct(rapid.SampledFrom(regions), 0, 3, rapid.ID).Draw(t, "regions of the customer")
				for _, x := range inProgress {
					if rapid.Bool().Draw(t, "tried") {
						a.Excluded = append(a.Excluded, x.choice.Target.ID)
					}
				}
				c, reason := p.Choose(now, a)
				if reason != Chosen {
					return
				}
				customer := fleet.Route{Regions: a.Regions}
				if !r.Allows(c.Target.Place.Region) || !customer.Allows(c.Target.Place.Region) || c.Target.Service != a.Service {
					t.Fatalf("chose %s of %s in region %q for service %s with homes %q and %q", c.Target.ID, c.Target.Service, c.Target.Place.Region,
						a.Service, r.Regions, a.Regions)
				}
				p.RecordStart(now, a, c)
				inProgress = append(inProgress, sent{a, c})
			},
			"end": func(t *rapid.T) {
				if len(inProgress) == 0 {
					t.Skip("nothing in progress")
				}
				x := inProgress[0]
				inProgress = inProgress[1:]
				p.RecordEnd(now, x.request, x.choice, Outcome{Result: Result(rapid.IntRange(0, int(Cancelled)).Draw(t, "result")),
					Duration: 50 * time.Millisecond, Load: &Load{Running: 2, Waiting: rapid.IntRange(0, 20).Draw(t, "waiting"), Slots: 2}})
			},
		})
	})
}
