package pick

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/currantpier/currantpier/ident"
)

// Guards against a request that stays at a target whose machine is slow now, and against a report that still counts when the pace
// has passed. A report of a fast pace attracts no requests.
func TestPaceInChoice(t *testing.T) {
	for _, tt := range []struct {
		pace   int
		age    time.Duration
		factor float64
		stays  bool
	}{{0, 0, 1, true}, {100, 0, 1, true}, {40, 0, 1, true}, {3500, 0, 35, false}, {3500, paceDecay, 13.5, false}, {3500, maxPaceAge, 1, true}, {180, 0, 1.8, true}} {
		p := New("vm", here)
		p.SetTargets(start, snapshot(5, 10))
		a := request(start, "k")
		a.Deadline = at(time.Hour)
		first, _ := p.Choose(start, a)
		p.RecordStart(start, a, first)
		p.RecordEnd(start, a, first, Outcome{Result: Served, Load: &Load{Slots: 4, Pace: tt.pace}})
		got, _ := p.Choose(at(tt.age), a)
		if stays := got.Target.ID == first.Target.ID; stays != tt.stays {
			t.Errorf("pace %d, %v old: stays = %v", tt.pace, tt.age, stays)
		}
		if x := p.byID[first.Target.ID].pace(at(tt.age)); x < tt.factor*0.99 || x > tt.factor*1.01 {
			t.Errorf("pace %d, %v old: factor %.2f, want %.2f", tt.pace, tt.age, x, tt.factor)
		}
	}
}

// Guards against a slow pace that counts as the target's own slowdown or into the route's means, which outlast it, and against a
// load report without a pace that changes any estimate by a bit. Runs the same random requests on a target of pace 250 and one
// without a pace; the expected values are those of the formulas without a pace.
func TestPaceOutsideMeans(t *testing.T) {
	rng := rand.New(rand.NewSource(3))
	p, slow := New("vm", here), New("vm", here)
	for _, x := range []*Picker{p, slow} {
		x.SetTargets(start, snapshot(5, 10))
	}
	for i := range 3000 {
		now, a := at(time.Duration(i)*20*time.Millisecond), request(start, string(rune('a'+rng.Intn(20))))
		a.Deadline = now.Add(time.Hour)
		pl := p.pools["s"]
		list, _ := p.candidates(now, pl, a, p.homeRegion(pl, a), choosing)
		e := p.newEstimator(now, pl, a, choosing)
		for j := range list {
			c := &list[j]
			e.estimate(c)
			serviceTime := e.times.unknown
			if c.known {
				serviceTime = e.times.known
			}
			wait := scale(e.times.known, c.t.queueLength(now)/4)
			if want := p.rtt(c.t) + scale(serviceTime+wait, c.t.slowdown); c.expected != want {
				t.Fatalf("step %d: expected %v without a pace, want %v", i, c.expected, want)
			}
		}
		c, _ := p.Choose(now, a)
		x, w := p.byID[c.Target.ID], p.serviceTimesOf(a.Route)
		d := time.Duration(1+rng.Intn(400)) * time.Millisecond
		o := Outcome{Result: Served, Status: 200, Duration: p.rtt(x) + d, Load: &Load{Slots: 4, Running: rng.Intn(4)}}
		mean := w.unknown
		if c.Known {
			mean = w.known
		}
		slowdown := x.slowdown
		slowdown += float64(slowdownWeight * (min(float64(d)/float64(mean), 8) - slowdown))
		if c.Load+1 > 4 {
			slowdown = x.slowdown
		}
		p.RecordStart(now, a, c)
		p.RecordEnd(now, a, c, o)
		if x.slowdown != max(slowdown, 0.7) {
			t.Fatalf("step %d: slowdown %v without a pace, want %v", i, x.slowdown, max(slowdown, 0.7))
		}
		o.Duration, o.Load = p.rtt(x)+d*5/2, &Load{Slots: 4, Running: o.Load.Running, Pace: 250}
		slow.RecordStart(now, a, c)
		slow.RecordEnd(now, a, c, o)
		if y := slow.byID[c.Target.ID]; y.slowdown != x.slowdown || *slow.serviceTimesOf(a.Route) != *w {
			t.Fatalf("step %d: pace 250: slowdown %v, times %+v; want %v, %+v", i, y.slowdown, *slow.serviceTimesOf(a.Route), x.slowdown, *w)
		}
	}
}

// Guards against VMs without new reports that all send their requests to the one target that looked best long ago.
func TestOldReportsDontAttract(t *testing.T) {
	const vms = 30
	sends, most := map[ident.Target]int{}, 0
	for vm := range vms {
		p := New(ident.VM(fmt.Sprint(vm)), here)
		p.SetTargets(start, snapshot(9, 10))
		a := request(start, "")
		for id, x := range p.byID {
			load := &Load{Running: 4, Slots: 4, Pace: 250}
			if id == "a4" {
				load = &Load{Slots: 4, Pace: 100}
			}
			p.RecordEnd(start, a, Choice{Target: x.Target}, Outcome{Result: Served, Status: 200, Load: load})
		}
		c, _ := p.Choose(at(1500*time.Millisecond), a)
		sends[c.Target.ID]++
		most = max(most, sends[c.Target.ID])
	}
	if most > vms/3 {
		t.Errorf("%d of %d VMs chose the same target: %v", most, vms, sends)
	}
}

// lateWithUnevenPace returns the share of late requests in a model in which each of 27 targets takes 2.5 times as long for 600 ms
// at a time, 15% of the time. Without objects, all work takes the time of a cached object.
func lateWithUnevenPace(seed int64, report, objects bool) float64 {
	const targets, seconds, perSecond = 27, 20, 600
	m := newModel(targets, func(p *Picker, now time.Time, a Request) (Choice, Reason) {
		if !objects {
			a.Object = 0
		}
		return p.Choose(now, a)
	})
	m.rng, m.reportPace = rand.New(rand.NewSource(seed)), report
	for i := range targets {
		t := m.targets[m.snapshot.Targets["s"][i].ID]
		for o := 0; o < modelObjects && !objects; o++ {
			t.cached, t.cacheSize = append(t.cached, NewObject("r", fmt.Append(nil, o))), modelObjects
		}
		var setNormal, setSlow func()
		setNormal = func() {
			t.pace = 100
			if m.now < seconds*time.Second {
				m.after(time.Duration(m.rng.ExpFloat64()*3.4*float64(time.Second)), setSlow)
			}
		}
		setSlow = func() {
			t.pace = 250
			m.after(600*time.Millisecond, setNormal)
		}
		m.after(time.Duration(m.rng.Int63n(int64(3*time.Second))), setNormal)
	}
	m.run(constantRate(seconds, perSecond))
	return 1 - m.servedShare(5, seconds)
}

// Guards against reports of the pace that don't help: they arrive only with responses, and most are older than a slow time lasts.
func TestUnevenPace(t *testing.T) {
	for objects, most := range map[bool]float64{true: 0.9, false: 0.5} {
		var without, with float64
		const seeds = 5
		for seed := range int64(seeds) {
			without += lateWithUnevenPace(seed, false, objects) / seeds
			with += lateWithUnevenPace(seed, true, objects) / seeds
		}
		t.Logf("objects %v: late share %.4f without pace, %.4f with it", objects, without, with)
		if with > most*without {
			t.Errorf("objects %v: late share %.4f with pace, want at most %.1f of %.4f", objects, with, most, without)
		}
	}
}
